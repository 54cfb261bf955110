"""HTTP client for small requests with a pool of idle connections."""

from __future__ import annotations

import collections
import time

from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

CONNECT_TIMEOUT_S = 0.3
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# The peer may be closing a connection that has been idle for longer.
MAX_IDLE_S = 4.0
MAX_IDLE_PER_ADDRESS = 4

JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class PooledClient:
    """Send requests to addresses over pooled connections.

    A request that was sent is never resent.
    """

    def __init__(self) -> None:
        self._idle: dict[
            str, collections.deque[h1_client.ClientConnection]
        ] = collections.defaultdict(collections.deque)

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        body_timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response."""
        head, response_body = await self.exchange(
            address, method, target, body, timeout_s, body_timeout_s
        )
        return head.status, response_body

    async def exchange(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        body_timeout_s: float | None = None,
    ) -> tuple[h1.ResponseHead, bytes]:
        """Send a request and return the head and body of the response.

        :param timeout_s: longest time for the whole exchange
        :param body_timeout_s: longest time for the body of the response; if
            set, `timeout_s` applies up to its head
        :raises TransportError: if the exchange fails
        """
        headers = [(b"Host", address.encode())]
        if body:
            headers += JSON_HEADERS
        request = h1.Request(
            method.encode(), target.encode(), tuple(headers), body
        )
        deadline_s = time.monotonic() + timeout_s
        connection = self._acquire(
            address
        ) or await h1_client.ClientConnection.open(
            address, min(timeout_s, CONNECT_TIMEOUT_S)
        )
        try:
            connection.send(request)
            head = await connection.read_head(deadline_s - time.monotonic())
            if body_timeout_s is None:
                body_timeout_s = deadline_s - time.monotonic()
            response_body = await connection.read_body(
                max(body_timeout_s, 0.001), MAX_RESPONSE_BYTES
            )
        except (TimeoutError, errors.ConnectionSilentError) as err:
            connection.close()
            # The peer may be unreachable, so its idle connections are not
            # reused either.
            self._close_idle(address)
            raise errors.ConnectionSilentError(address) from err
        except BaseException:
            connection.close()
            raise
        self._release(address, connection, head)
        return head, response_body

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _acquire(self, address: str) -> h1_client.ClientConnection | None:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            age_s = time.monotonic() - connection.idle_since
            if connection.is_healthy() and age_s < MAX_IDLE_S:
                return connection
            connection.close()
        return None

    def _release(
        self,
        address: str,
        connection: h1_client.ClientConnection,
        head: h1.ResponseHead,
    ) -> None:
        peer_closes = h1.find_header(head.headers, b"connection") == b"close"
        idle = self._idle[address]
        if (
            peer_closes
            or not connection.is_healthy()
            or len(idle) >= MAX_IDLE_PER_ADDRESS
        ):
            connection.close()
            return
        connection.mark_idle(time.monotonic())
        idle.append(connection)

    def _close_idle(self, address: str) -> None:
        for connection in self._idle.pop(address, ()):
            connection.close()


__all__ = (
    "JSON_HEADERS",
    "PooledClient",
)
