"""HTTP handlers with which entries start and follow runs."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from tornado import iostream

from cyclamenwing import errors as base_errors
from cyclamenwing import tasks
from cyclamenwing.request import assembly
from cyclamenwing.request import run_table
from cyclamenwing.request import types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import executor
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import frame_codec
from cyclamenwing.transport import server

KEEPALIVE_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 5.0
FOLLOWERS_POLL_S = 0.02
UNDELIVERED_WAIT_S = 5.0
FRAME_BYTES = 64 * 1024


class SidecarHandler(server.PeerHandler):
    """Hold the state that the handlers of a sidecar share."""

    def initialize(
        self,
        execution: executor.Executor,
        board: blackboard.SidecarBoard,
    ) -> None:
        """Set the shared state."""
        self._execution = execution
        self._board = board


class FollowHandler(SidecarHandler):
    """Stream the frames of a run."""

    async def follow(self, run: run_table.Run, offset: int) -> None:
        """Send the frames of a run, with its answer from an offset."""
        self._board.followers += 1
        run.followers += 1
        try:
            await self._follow(run, offset)
        except iostream.StreamClosedError:
            return
        finally:
            run.followers -= 1
            self._board.followers -= 1

    async def refuse(self, error: base_errors.CodedError) -> None:
        """Send a refusal as the only frame."""
        try:
            await self._send({"t": "refusal", **error.describe()})
        except iostream.StreamClosedError:
            return

    def read_offset(self) -> int:
        """Return the offset in the query string.

        :raises MalformedMessageError: if it is not a decimal number
        """
        text = self.get_query_argument("offset", "0")
        if not text.isascii() or not text.isdecimal():
            raise transport_errors.MalformedMessageError(
                "the offset is not a decimal number"
            )
        return int(text)

    async def _follow(self, run: run_table.Run, offset: int) -> None:
        progress_event = self._execution.get_progress_event(run)
        head_sent = False
        while True:
            if run.status and not head_sent:
                head_sent = True
                await self._send(_make_head(run))
            while head_sent and offset < len(run.answer):
                data = bytes(run.answer[offset : offset + FRAME_BYTES])
                await self._send(assembly.encode_part(offset, data))
                offset += len(data)
            final_frame = _make_final_frame(run)
            if final_frame is not None:
                await self._send(final_frame)
                await self.finish()
                run.delivered = True
                return
            if not await progress_event.wait(KEEPALIVE_INTERVAL_S):
                await self._send({"t": "beat"})

    async def _send(self, frame: object) -> None:
        self.write(frame_codec.encode_frame(frame))
        await self.flush()


class RunsHandler(FollowHandler):
    """Serve ``POST /v1/runs``: start or join a run and follow it."""

    async def post(self) -> None:
        """Start or join the run of an order and stream its frames."""
        order = self.decode_body(types.RunOrder)
        offset = self.read_offset()
        resumed = self.get_query_argument("resumed", "") == "1"
        try:
            run = self._execution.start(order, resumed)
        except base_errors.CodedError as err:
            await self.refuse(err)
            return
        await self.follow(run, offset)


class AttachHandler(FollowHandler):
    """Serve ``POST /v1/runs/attach``: follow the run of a key."""

    async def post(self) -> None:
        """Stream the frames of a run, with its answer from the offset."""
        query = self.decode_body(types.KeyQuery)
        offset = self.read_offset()
        try:
            run = self._execution.attach(query)
        except base_errors.CodedError as err:
            await self.refuse(err)
            return
        await self.follow(run, offset)


class FindHandler(SidecarHandler):
    """Serve ``POST /v1/runs/find``: return whether a key has a run."""

    async def post(self) -> None:
        """Look up a key; fence its attempts up to the given number."""
        query = self.decode_body(types.KeyQuery)
        self.write_json(self._execution.find(query))


class CancelHandler(SidecarHandler):
    """Serve ``POST /v1/runs/cancel``."""

    async def post(self) -> None:
        """Cancel the run of a key."""
        query = self.decode_body(types.KeyQuery)
        self.write_json({"cancelled": self._execution.cancel(query["key"])})


class ExplainHandler(SidecarHandler):
    """Serve ``POST /v1/explain``."""

    async def post(self) -> None:
        """Return the timeline of a request at this sidecar."""
        query = self.decode_body(dict[str, str])
        request = query.get("request", "")
        self.write_json({
            "request": request,
            "host": self._board.host,
            "steps": self._board.journal.find(request),
        })


class StatusHandler(SidecarHandler):
    """Serve ``POST /v1/status``."""

    async def post(self) -> None:
        """Return the state of the sidecar."""
        self.write_json({
            "host": self._board.host,
            "route": self._board.route,
            "running": self._execution.running,
            "followers": self._board.followers,
            "held_bytes": self._board.runs.held_bytes,
            "held_runs": len(self._board.runs.runs),
            "leaving": self._board.runs.draining,
            "revision": self._board.revision,
        })


def _make_head(run: run_table.Run) -> types.Head:
    return {
        "t": "head",
        "status": run.status,
        "headers": run.headers,
        "request": run.order["request"],
    }


def _make_final_frame(run: run_table.Run) -> types.End | types.Refusal | None:
    if run.phase == "failed":
        return run.refusal
    if run.phase != "done":
        return None
    if run.expired:
        return _EXPIRED_REFUSAL
    return {
        "t": "end",
        "length": len(run.answer),
        "digest": run.digest,
        "usage": run.usage,
        "billed_request": run.order["request"],
        "charges": run.order["charges"],
    }


class RunService:
    """Provide the handlers for runs and expire old runs.

    :param board: state of the sidecar
    :param execution: executor of runs at the endpoint
    """

    def __init__(
        self, board: blackboard.SidecarBoard, execution: executor.Executor
    ) -> None:
        self._board = board
        self._execution = execution
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return the HTTP handlers for peers as Tornado rules."""
        options = {"execution": self._execution, "board": self._board}
        return [
            (r"/v1/runs", RunsHandler, options),
            (r"/v1/runs/attach", AttachHandler, options),
            (r"/v1/runs/find", FindHandler, options),
            (r"/v1/runs/cancel", CancelHandler, options),
            (r"/v1/explain", ExplainHandler, options),
            (r"/v1/status", StatusHandler, options),
        ]

    def start(self) -> None:
        """Start the loop that drops runs past their retention."""
        self._task = tasks.start_loop(self._expire)

    async def close(self) -> None:
        """Wait until all followers are done, then stop the loop.

        Answers that were not delivered are kept for a retry of the entry
        for at most `UNDELIVERED_WAIT_S`.
        """
        while self._board.followers:
            await asyncio.sleep(FOLLOWERS_POLL_S)
        deadline = time.monotonic() + UNDELIVERED_WAIT_S
        while self._execution.has_undelivered and time.monotonic() < deadline:
            await asyncio.sleep(FOLLOWERS_POLL_S)
        if self._task is not None:
            self._task.cancel()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._execution.expire(time.monotonic())


_EXPIRED_REFUSAL: types.Refusal = {
    "t": "refusal",
    "code": "answer_expired",
    "message": "the answer has expired",
    "run": "ran",
}

__all__ = (
    "AttachHandler",
    "CancelHandler",
    "ExplainHandler",
    "FindHandler",
    "RunService",
    "RunsHandler",
    "StatusHandler",
)
