"""HTTP handlers that inject the faults of a fault table."""

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
    """Serve one call of a stand-in and apply the fault of its table.

    A call with the fault `down` has no effect. Every other fault changes
    only the answer, after the call took effect.
    """

    table: faults.FaultTable

    async def prepare(self) -> None:
        """Choose the call's fault; apply its delay and a `down` fault."""
        self.disconnected = asyncio.Event()
        self.fault = self.table.match(self.request.path)
        await self.table.delay(self.fault)
        if self.fault is not None and self.fault["kind"] == "down":
            self.write_unavailable()

    def on_connection_close(self) -> None:
        """Record that the client closed the connection."""
        self.disconnected.set()

    def write_unavailable(self) -> None:
        """Answer 503, as a service that is unavailable."""
        self.set_status(503)
        self.write_json({"code": 14, "message": "unavailable"})

    async def answer(self, message: object) -> None:
        """Answer a call that took effect, with its fault applied."""
        kind = self.fault["kind"] if self.fault is not None else "slow"
        await _ANSWER_WRITERS[kind](self, msgspec.json.encode(message))

    def close_connection(self) -> None:
        """Close the client's connection."""
        self.request.connection.stream.close()  # type: ignore[union-attr]

    async def write_answer(self, body: bytes) -> None:
        """Write the complete answer."""
        self.set_header("Content-Type", "application/json")
        await self.finish(body)

    async def drop_answer(self, body: bytes) -> None:
        """Close the connection without an answer."""
        self.close_connection()

    async def truncate_answer(self, body: bytes) -> None:
        """Close the connection in the middle of the answer."""
        self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.close_connection()

    async def withhold_answer(self, body: bytes) -> None:
        """Keep the connection open without answering."""
        await self.disconnected.wait()

    async def write_garbage(self, body: bytes) -> None:
        """Answer with a body that is not valid JSON."""
        await self.write_answer(GARBAGE)


class StandinState(Protocol):
    """Interface of a stand-in's state: its faults and call counts."""

    table: faults.FaultTable

    def describe(self) -> dict[str, Any]:
        """Return the call counts."""


class FaultHandler(server.CodedHandler):
    """Serve ``/faults``: replace the fault table and read the counts."""

    def initialize(self, state: StandinState) -> None:
        """Store the state that all handlers share."""
        self._state = state

    async def post(self) -> None:
        """Replace the fault table."""
        self._state.table.faults = self.decode_body(list[faults.Fault])
        self.write_json({"faults": len(self._state.table.faults)})

    async def get(self) -> None:
        """Return the call counts."""
        self.write_json(self._state.describe())


_ANSWER_WRITERS: dict[
    faults.FaultKind, Callable[[FaultyHandler, bytes], Awaitable[None]]
] = {
    "slow": FaultyHandler.write_answer,
    "lost_answer": FaultyHandler.drop_answer,
    "cut": FaultyHandler.truncate_answer,
    "silent": FaultyHandler.withhold_answer,
    "garbage": FaultyHandler.write_garbage,
}

__all__ = (
    "GARBAGE",
    "FaultHandler",
    "FaultyHandler",
    "StandinState",
)
