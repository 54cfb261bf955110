"""Handlers that bring about the faults of a table."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Protocol

import msgspec

from cyclamenwing.standin import faults
from cyclamenwing.transport import server

GARBAGE = b'{"result": [\xff\xfe'


class FaultyHandler(server.CodedHandler):
    """Serve one call of a stand-in with the fault that its table sets.

    A call that is `down` has no effect; every other fault spoils only the
    answer, after the effect.
    """

    table: faults.FaultTable

    async def prepare(self) -> None:
        """Choose the call's fault and apply what comes before it."""
        self.gone = asyncio.Event()
        self.fault = self.table.match(self.request.path)
        await self.table.delay(self.fault)
        if self.fault is not None and self.fault["kind"] == "down":
            self.write_down()

    def on_connection_close(self) -> None:
        """Take note that the caller went away."""
        self.gone.set()

    def write_down(self) -> None:
        """Answer that the stand-in is out of service."""
        self.set_status(503)
        self.write_json({"code": 14, "message": "unavailable"})

    async def answer(self, message: object) -> None:
        """Answer a call whose effect has happened."""
        kind = self.fault["kind"] if self.fault is not None else "slow"
        await _ANSWERS[kind](self, msgspec.json.encode(message))

    def cut(self) -> None:
        """Close the connection."""
        self.request.connection.stream.close()  # type: ignore[union-attr]

    async def write_whole(self, body: bytes) -> None:
        """Write the answer as it is."""
        self.set_header("Content-Type", "application/json")
        await self.finish(body)

    async def lose(self, body: bytes) -> None:
        """Close the connection without an answer."""
        self.cut()

    async def truncate(self, body: bytes) -> None:
        """Close the connection in the middle of the answer."""
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.cut()

    async def fall_silent(self, body: bytes) -> None:
        """Keep the connection open and answer nothing."""
        await self.gone.wait()

    async def garble(self, body: bytes) -> None:
        """Answer what can't be read."""
        await self.write_whole(GARBAGE)


class Standin(Protocol):
    """Hold the faults of a stand-in and what it counted."""

    table: faults.FaultTable

    def describe(self) -> dict[str, Any]:
        """Return the counts."""


class FaultHandler(server.CodedHandler):
    """Let a test replace the fault table and read the counts."""

    def initialize(self, state: Standin) -> None:
        """Take the shared state."""
        self._state = state

    async def post(self) -> None:
        """Replace the faults."""
        self._state.table.faults = self.decode_body(list[faults.Fault])
        self.write_json({"faults": len(self._state.table.faults)})

    async def get(self) -> None:
        """Return the counts."""
        self.write_json(self._state.describe())


_ANSWERS: dict[
    faults.FaultKind, Callable[[FaultyHandler, bytes], Awaitable[None]]
] = {
    "slow": FaultyHandler.write_whole,
    "lost_answer": FaultyHandler.lose,
    "cut": FaultyHandler.truncate,
    "silent": FaultyHandler.fall_silent,
    "garbage": FaultyHandler.garble,
}

__all__ = (
    "GARBAGE",
    "FaultHandler",
    "FaultyHandler",
    "Standin",
)
