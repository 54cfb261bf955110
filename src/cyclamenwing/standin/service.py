"""Stand-in of a plain service whose calls may not be repeated."""

from __future__ import annotations

import collections
import hashlib

from cyclamenwing.transport import server


class ServiceState:
    """Count the calls that had an effect, by request id."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.records: list[str] = []


class RecordHandler(server.CodedHandler):
    """Serve the service's calls."""

    def initialize(self, state: ServiceState) -> None:
        """Take the shared state."""
        self._state = state

    async def post(self, path: str) -> None:
        """Record a call and return its number."""
        self._state.runs[self.request.headers.get("X-Request-Id", "")] += 1
        digest = hashlib.sha256(self.request.body).hexdigest()
        self._state.records.append(digest)
        self.set_status(201)
        self.write_json({
            "path": path,
            "number": len(self._state.records),
            "digest": digest,
        })

    async def get(self, path: str) -> None:
        """Return how many records there are."""
        self._state.runs[self.request.headers.get("X-Request-Id", "")] += 1
        self.write_json({"path": path, "count": len(self._state.records)})


class ServiceStandin:
    """Serve a plain service on one address.

    :param address: ``ip:port`` to bind
    :param state: the service's state
    """

    def __init__(self, address: str, state: ServiceState) -> None:
        self.state = state
        self._listener = server.Listener(
            server.make_application([
                (r"(/.*)", RecordHandler, {"state": state}),
            ]),
            address,
        )
        self.address = self._listener.address

    async def close(self) -> None:
        """Stop serving."""
        await self._listener.close()


__all__ = (
    "ServiceStandin",
    "ServiceState",
)
