"""Pool of idle upstream connections to endpoints."""

from __future__ import annotations

import collections

from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import exclusions
from cyclamenwing.transport import h1_client

CONNECT_TIMEOUT_S = 0.25
MAX_IDLE_PER_ENDPOINT = 16
# An endpoint may close an idle connection while a request is being sent on it,
# and the request then can't be known to have run. Requests that may run only
# once therefore use only connections with a shorter idle time.
MAX_IDLE_S = 4.0
MAX_UNSAFE_IDLE_S = 1.0
# Connections are reused up to this fraction of the keep-alive time that the
# endpoint announces.
KEEP_ALIVE_FRACTION = 0.5


class ConnectionPool:
    """Open, reuse and close connections to endpoints."""

    def __init__(self) -> None:
        self._idle: dict[
            exclusions.Incarnation,
            collections.deque[h1_client.ClientConnection],
        ] = {}

    async def acquire(
        self, endpoint: endpoints.Endpoint, repeatable: bool, wait_s: float
    ) -> h1_client.ClientConnection:
        """Return an idle connection to an endpoint, or a new one.

        :param repeatable: the request may run again from its start
        :raises ConnectFailedError: if no connection opens in time
        """
        idle = self._idle.get(endpoint.incarnation)
        max_idle_s = MAX_IDLE_S if repeatable else MAX_UNSAFE_IDLE_S
        while idle:
            connection = idle.pop()
            idle_s = clock.read_time() - connection.idle_since
            limit_s = min(max_idle_s, connection.idle_limit_s or max_idle_s)
            if connection.is_healthy() and idle_s < limit_s:
                return connection
            connection.close()
        return await h1_client.ClientConnection.open(
            endpoint.address, min(wait_s, CONNECT_TIMEOUT_S)
        )

    def release(
        self,
        endpoint: endpoints.Endpoint,
        connection: h1_client.ClientConnection,
        metadata: calls.AnswerMetadata,
    ) -> None:
        """Return a connection to the pool after a complete answer.

        It is closed instead if the endpoint closes it or data is left on it.
        """
        if metadata.closes or not connection.is_healthy():
            connection.close()
            return
        idle = self._idle.setdefault(endpoint.incarnation, collections.deque())
        if len(idle) >= MAX_IDLE_PER_ENDPOINT:
            idle.popleft().close()
        if metadata.keep_alive_s is not None:
            connection.idle_limit_s = (
                metadata.keep_alive_s * KEEP_ALIVE_FRACTION
            )
        connection.mark_idle(clock.read_time())
        idle.append(connection)

    def close_idle(self, endpoint: endpoints.Endpoint) -> None:
        """Close the idle connections to one incarnation of an endpoint."""
        for connection in self._idle.pop(endpoint.incarnation, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close connections that are idle for too long or were closed."""
        oldest_s = clock.read_time() - MAX_IDLE_S
        for key, idle in list(self._idle.items()):
            while idle and (
                idle[0].idle_since < oldest_s or not idle[0].is_healthy()
            ):
                idle.popleft().close()
            if not idle:
                del self._idle[key]


__all__ = ("ConnectionPool",)
