"""Small calls to other processes on kept connections."""

from __future__ import annotations

import collections
import time

from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

CONNECT_TIMEOUT_S = 0.3
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# An older connection may be closing at the other end.
MAX_IDLE_S = 4.0
MAX_KEPT = 4

JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class PooledClient:
    """Call addresses; a call that was sent is never repeated."""

    def __init__(self) -> None:
        self._kept: dict[
            str, collections.deque[h1_client.ClientConnection]
        ] = collections.defaultdict(collections.deque)

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        """Return status and body; raise a `TransportError` otherwise."""
        headers = [(b"Host", address.encode())]
        if body:
            headers += JSON_HEADERS
        request = h1.Request(
            method.encode(), target.encode(), tuple(headers), body
        )
        deadline_s = time.monotonic() + timeout_s
        connection = self._take(
            address
        ) or await h1_client.ClientConnection.open(
            address, min(timeout_s, CONNECT_TIMEOUT_S)
        )
        try:
            connection.send(request)
            head = await connection.read_head(deadline_s - time.monotonic())
            answer = await connection.read_body(
                max(deadline_s - time.monotonic(), 0.001), MAX_ANSWER_BYTES
            )
        except (TimeoutError, errors.ConnectionSilentError) as err:
            connection.close()
            # What silenced this connection may have silenced its siblings.
            self._drop(address)
            raise errors.ConnectionSilentError(address) from err
        except BaseException:
            connection.close()
            raise
        self._keep(address, connection, head)
        return head.status, answer

    def close(self) -> None:
        """Close all kept connections."""
        for kept in self._kept.values():
            for connection in kept:
                connection.close()
        self._kept.clear()

    def _take(self, address: str) -> h1_client.ClientConnection | None:
        kept = self._kept[address]
        while kept:
            connection = kept.pop()
            age_s = time.monotonic() - connection.idle_since
            if connection.is_healthy() and age_s < MAX_IDLE_S:
                return connection
            connection.close()
        return None

    def _keep(
        self,
        address: str,
        connection: h1_client.ClientConnection,
        head: h1.ResponseHead,
    ) -> None:
        closing = h1.find_header(head.headers, b"connection") == b"close"
        kept = self._kept[address]
        if closing or not connection.is_healthy() or len(kept) >= MAX_KEPT:
            connection.close()
            return
        connection.mark_idle(time.monotonic())
        kept.append(connection)

    def _drop(self, address: str) -> None:
        for connection in self._kept.pop(address, ()):
            connection.close()


__all__ = (
    "JSON_HEADERS",
    "PooledClient",
)
