"""Connections to endpoints, kept while they are surely open."""

from __future__ import annotations

import collections

from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.routing import endpoints
from cyclamenwing.transport import h1client

CONNECT_TIMEOUT_S = 0.25
MAX_KEPT = 16
# An endpoint may close an idle connection while a request is on its way to
# it; what may run only once takes only connections that were used just now.
MAX_IDLE_S = 4.0
MAX_UNSAFE_IDLE_S = 1.0
# Part of the idle time that an endpoint announces which is used.
IDLE_PART = 0.5


class Connections:
    """Open, keep and close connections to endpoints."""

    def __init__(self) -> None:
        self._kept: dict[
            tuple[str, int, str], collections.deque[h1client.ClientConnection]
        ] = {}

    async def open(
        self, endpoint: endpoints.Endpoint, repeatable: bool, wait_s: float
    ) -> h1client.ClientConnection:
        """Return a connection; raise `ConnectFailedError` without one."""
        kept = self._kept.get(endpoint.incarnation)
        most_s = MAX_IDLE_S if repeatable else MAX_UNSAFE_IDLE_S
        while kept:
            connection = kept.pop()
            idle_s = clock.read_time() - connection.idle_since
            limit_s = min(most_s, connection.idle_limit_s or most_s)
            if connection.is_clean() and idle_s < limit_s:
                return connection
            connection.close()
        return await h1client.ClientConnection.open(
            endpoint.address, min(wait_s, CONNECT_TIMEOUT_S)
        )

    def keep(
        self,
        endpoint: endpoints.Endpoint,
        connection: h1client.ClientConnection,
        marks: calls.AnswerMetadata,
    ) -> None:
        """Keep a connection whose answer has ended, or close it."""
        if marks.closes or not connection.is_clean():
            connection.close()
            return
        kept = self._kept.setdefault(endpoint.incarnation, collections.deque())
        if len(kept) >= MAX_KEPT:
            kept.popleft().close()
        if marks.keep_alive_s is not None:
            connection.idle_limit_s = marks.keep_alive_s * IDLE_PART
        connection.park(clock.read_time())
        kept.append(connection)

    def drop(self, endpoint: endpoints.Endpoint) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self._kept.pop(endpoint.incarnation, ()):
            connection.close()

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        oldest_s = clock.read_time() - MAX_IDLE_S
        for key, kept in list(self._kept.items()):
            while kept and (
                kept[0].idle_since < oldest_s or not kept[0].is_clean()
            ):
                kept.popleft().close()
            if not kept:
                del self._kept[key]


__all__ = ("Connections",)
