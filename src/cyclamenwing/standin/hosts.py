"""Stand-in of the platform's host list, which lags."""

from __future__ import annotations

from cyclamenwing.membership import types
from cyclamenwing.transport import server


class HostsState:
    """Hold the list of hosts as the platform shows it."""

    def __init__(self) -> None:
        self.hosts: list[types.Host] = []


class HostsHandler(server.CodedHandler):
    """Serve ``GET /hosts``; a test may replace the list."""

    def initialize(self, state: HostsState) -> None:
        """Take the shared state."""
        self._state = state

    async def get(self) -> None:
        """Return the list."""
        self.write_json(self._state.hosts)

    async def post(self) -> None:
        """Replace the list."""
        self._state.hosts = self.decode_body(list[types.Host])
        self.write_json({"hosts": len(self._state.hosts)})


class HostsStandin:
    """Serve the host list on one address.

    :param address: ``ip:port`` to bind
    """

    def __init__(self, address: str) -> None:
        self.state = HostsState()
        self._listener = server.Listener(
            server.make_application([
                (r"/hosts", HostsHandler, {"state": self.state}),
            ]),
            address,
        )
        self.address = self._listener.address

    async def close(self) -> None:
        """Stop serving."""
        await self._listener.close()


__all__ = (
    "HostsStandin",
    "HostsState",
)
