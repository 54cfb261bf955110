"""Stand-in of a plain service with calls that are not idempotent."""

from __future__ import annotations

import collections
import hashlib
from typing import Any

from cyclamenwing.standin import fault_handlers
from cyclamenwing.standin import faults
from cyclamenwing.transport import server


class ServiceState:
    """Hold the service's records and count its runs and effects.

    :param table: faults by path
    :ivar runs: number of calls by request id
    :ivar effects: number of effects by the body's SHA-256 digest
    :ivar records: the digests of the added records
    """

    def __init__(self, table: faults.FaultTable | None = None) -> None:
        self.table = table or faults.FaultTable()
        self.runs: collections.Counter[str] = collections.Counter()
        self.effects: collections.Counter[str] = collections.Counter()
        self.records: list[str] = []

    def describe(self) -> dict[str, Any]:
        """Return the counts of effects and runs."""
        return {"effects": self.effects, "runs": self.runs}


class RecordHandler(fault_handlers.FaultyHandler):
    """Serve the service: GET counts, POST adds and PUT sets records."""

    def initialize(self, state: ServiceState) -> None:
        """Store the state that all handlers share."""
        self._state = state
        self.table = state.table

    async def post(self, path: str) -> None:
        """Add a record and return its number; not idempotent."""
        digest = self._count_run()
        self._state.records.append(digest)
        self._state.effects[digest] += 1
        self.set_status(201)
        await self.answer({
            "path": path,
            "number": len(self._state.records),
            "digest": digest,
        })

    async def put(self, path: str) -> None:
        """Set a record; idempotent."""
        digest = self._count_run()
        self._state.effects[digest] = 1
        await self.answer({"path": path, "digest": digest})

    async def get(self, path: str) -> None:
        """Return the number of records."""
        self._count_run()
        await self.answer({"path": path, "count": len(self._state.records)})

    def _count_run(self) -> str:
        self._state.runs[self.request.headers.get("X-Request-Id", "")] += 1
        return hashlib.sha256(self.request.body).hexdigest()


class ServiceStandin:
    """Serve a plain service on one address.

    :param address: ``ip:port`` to bind
    :param state: the service's state
    """

    def __init__(self, address: str, state: ServiceState) -> None:
        self.state = state
        options = {"state": state}
        self._listener = server.Listener(
            server.make_application([
                (r"/faults", fault_handlers.FaultHandler, options),
                (r"(/.*)", RecordHandler, options),
            ]),
            address,
        )
        self.address = self._listener.address

    async def close(self) -> None:
        """Stop the server."""
        await self._listener.close()


__all__ = (
    "ServiceStandin",
    "ServiceState",
)
