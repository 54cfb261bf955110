"""HTTP handlers of a sidecar."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from tornado import iostream

from cyclamenwing import errors as base_errors
from cyclamenwing.request import assembly
from cyclamenwing.request import run_table
from cyclamenwing.request import types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import executor
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import lines
from cyclamenwing.transport import server

BEAT_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 5.0
FOLLOWERS_POLL_S = 0.02
UNDELIVERED_WAIT_S = 5.0
FRAME_BYTES = 64 * 1024


class SidecarHandler(server.PeerHandler):
    """Hold the shared state of a sidecar's handlers."""

    def initialize(
        self,
        execution: executor.Executor,
        board: blackboard.SidecarBoard,
    ) -> None:
        """Take the shared state."""
        self._execution = execution
        self._board = board


class FollowHandler(SidecarHandler):
    """Stream the frames of a run."""

    async def follow(self, run: run_table.Run, offset: int) -> None:
        """Send a run's frames from an offset to its end."""
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
        """Return the offset of the query."""
        text = self.get_query_argument("offset", "0")
        if not text.isascii() or not text.isdecimal():
            raise transport_errors.MalformedMessageError("bad offset")
        return int(text)

    async def _follow(self, run: run_table.Run, offset: int) -> None:
        signal = self._execution.get_signal(run)
        opened = False
        while True:
            if run.status and not opened:
                opened = True
                await self._send(_make_head(run))
            while opened and offset < len(run.answer):
                data = bytes(run.answer[offset : offset + FRAME_BYTES])
                await self._send(assembly.encode_part(offset, data))
                offset += len(data)
            closing = _make_closing(run)
            if closing is not None:
                await self._send(closing)
                await self.finish()
                run.delivered = True
                return
            if not await signal.wait(BEAT_INTERVAL_S):
                await self._send({"t": "beat"})

    async def _send(self, frame: object) -> None:
        self.write(lines.encode_frame(frame))
        await self.flush()


class RunsHandler(FollowHandler):
    """Serve ``POST /v1/runs``: start a run, or join one, and follow it."""

    async def post(self) -> None:
        """Run an order and stream its frames from the offset."""
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
        """Stream the frames of a run from the offset."""
        query = self.decode_body(types.KeyQuery)
        offset = self.read_offset()
        try:
            run = self._execution.attach(query)
        except base_errors.CodedError as err:
            await self.refuse(err)
            return
        await self.follow(run, offset)


class FindHandler(SidecarHandler):
    """Serve ``POST /v1/runs/find``: tell whether a key has a run."""

    async def post(self) -> None:
        """Find a key, and bar its attempts up to the given number."""
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
        """Return a request's course at this sidecar."""
        asked = self.decode_body(dict[str, str])
        request = asked.get("request", "")
        self.write_json({
            "request": request,
            "host": self._board.host,
            "steps": self._board.journal.find(request),
        })


class HealthHandler(SidecarHandler):
    """Serve ``POST /v1/status``."""

    async def post(self) -> None:
        """Report the sidecar's state."""
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


def _make_closing(run: run_table.Run) -> types.End | types.Refusal | None:
    if run.phase == "failed":
        return run.refusal
    if run.phase != "done":
        return None
    if run.expired:
        return _EXPIRED
    return {
        "t": "end",
        "length": len(run.answer),
        "digest": run.digest,
        "usage": run.usage,
        "billed_request": run.order["request"],
        "charges": run.order["charges"],
    }


class RunService:
    """Serve runs to entries.

    :param board: the sidecar's state
    :param execution: runs at the endpoint
    """

    def __init__(
        self, board: blackboard.SidecarBoard, execution: executor.Executor
    ) -> None:
        self._board = board
        self._execution = execution
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"execution": self._execution, "board": self._board}
        return [
            (r"/v1/runs", RunsHandler, options),
            (r"/v1/runs/attach", AttachHandler, options),
            (r"/v1/runs/find", FindHandler, options),
            (r"/v1/runs/cancel", CancelHandler, options),
            (r"/v1/explain", ExplainHandler, options),
            (r"/v1/status", HealthHandler, options),
        ]

    def start(self) -> None:
        """Start dropping runs past their retention."""
        self._task = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop dropping runs once every follower has its end.

        Answers that no entry took wait for a retry, within a bound.
        """
        while self._board.followers:
            await asyncio.sleep(FOLLOWERS_POLL_S)
        ends_at = time.monotonic() + UNDELIVERED_WAIT_S
        while self._execution.has_undelivered and time.monotonic() < ends_at:
            await asyncio.sleep(FOLLOWERS_POLL_S)
        if self._task is not None:
            self._task.cancel()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._execution.expire(time.monotonic())


_EXPIRED: types.Refusal = {
    "t": "refusal",
    "code": "answer_expired",
    "message": "the answer is no longer held",
    "run": "ran",
}

__all__ = (
    "AttachHandler",
    "CancelHandler",
    "ExplainHandler",
    "FindHandler",
    "HealthHandler",
    "RunService",
    "RunsHandler",
)
