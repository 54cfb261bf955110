"""HTTP handlers of a sidecar."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from tornado import iostream

from cyclamenwing import errors as base_errors
from cyclamenwing.request import assembly
from cyclamenwing.request import runs
from cyclamenwing.request import types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import executor
from cyclamenwing.transport import lines
from cyclamenwing.transport import server

BEAT_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 5.0
FRAME_BYTES = 64 * 1024


class RunsHandler(server.PeerHandler):
    """Serve ``POST /v1/runs``: start a run, or join one, and follow it."""

    def initialize(
        self,
        execution: executor.Executor,
    ) -> None:
        """Take the shared state."""
        self._execution = execution

    async def post(self) -> None:
        """Run an order and stream its frames from the offset."""
        order = self.decode_body(types.RunOrder)
        offset = int(self.get_query_argument("offset", "0"))
        try:
            run = self._execution.start(order)
        except base_errors.CodedError as err:
            await self._send({"t": "refusal", **err.describe()})
            return
        try:
            await self._follow(run, offset)
        except iostream.StreamClosedError:
            return

    async def _follow(self, run: runs.Run, offset: int) -> None:
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
                return
            if not await signal.wait(BEAT_INTERVAL_S):
                await self._send({"t": "beat"})

    async def _send(self, frame: object) -> None:
        self.write(lines.encode_frame(frame))
        await self.flush()


class HealthHandler(server.PeerHandler):
    """Serve ``POST /v1/status``."""

    def initialize(
        self,
        execution: executor.Executor,
        board: blackboard.SidecarBoard,
    ) -> None:
        """Take the shared state."""
        self._execution = execution
        self._board = board

    async def post(self) -> None:
        """Report the sidecar's state."""
        self.write_json({
            "host": self._board.host,
            "route": self._board.route,
            "running": self._execution.running,
            "held_bytes": self._board.runs.held_bytes,
            "leaving": self._board.runs.leaving,
            "revision": self._board.revision,
        })


def _make_head(run: runs.Run) -> types.Head:
    return {
        "t": "head",
        "status": run.status,
        "content_type": run.content_type,
        "request": run.order["request"],
    }


def _make_closing(run: runs.Run) -> types.End | types.Refusal | None:
    if run.phase == "failed":
        return run.refusal
    if run.phase != "done":
        return None
    return {
        "t": "end",
        "length": len(run.answer),
        "digest": run.digest,
        "usage": run.usage,
        "billed_request": run.order["request"],
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
        runs_options = {"execution": self._execution}
        status_options = runs_options | {"board": self._board}
        return [
            (r"/v1/runs", RunsHandler, runs_options),
            (r"/v1/status", HealthHandler, status_options),
        ]

    def start(self) -> None:
        """Start dropping runs past their retention."""
        self._task = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop dropping runs."""
        if self._task is not None:
            self._task.cancel()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._execution.expire(time.monotonic())


__all__ = (
    "HealthHandler",
    "RunService",
    "RunsHandler",
)
