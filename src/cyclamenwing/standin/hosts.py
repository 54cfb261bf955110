"""Stand-in of the platform's host list."""

from __future__ import annotations

from cyclamenwing.membership import types
from cyclamenwing.transport import server


class HostsState:
    """Hold the list of hosts that the platform reports."""

    def __init__(self) -> None:
        self.hosts: list[types.Host] = []


class HostsHandler(server.CodedHandler):
    """Serve ``/hosts``: GET returns the list, POST replaces it."""

    def initialize(self, state: HostsState) -> None:
        """Store the state that all handlers share."""
        self._state = state

    async def get(self) -> None:
        """Return the list of hosts."""
        self.write_json(self._state.hosts)

    async def post(self) -> None:
        """Replace the list of hosts."""
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
        """Stop the server."""
        await self._listener.close()


__all__ = (
    "HostsStandin",
    "HostsState",
)
