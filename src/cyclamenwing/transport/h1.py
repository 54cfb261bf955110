"""HTTP/1.1 messages over tornado's streams, framed by h11.

The library's own server and client hide what a gateway needs: whether a
request reached the peer, whether an answer was complete, whose answer it is.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import h11
from tornado import iostream

from cyclamenwing.transport import errors

READ_BYTES = 65_536
# A peer that reads nothing must not fill the memory of a small host.
MAX_WRITE_BUFFER_BYTES = 4 * 1024 * 1024
MAX_READ_BUFFER_BYTES = 1024 * 1024
MAX_HEAD_BYTES = 65_536

Headers = tuple[tuple[bytes, bytes], ...]

HOP_BY_HOP = frozenset((
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
))


class Request(NamedTuple):
    """Hold one request with its whole body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class ResponseHead(NamedTuple):
    """Hold the status line and headers of an answer."""

    status: int
    reason: bytes
    headers: Headers


class Limits(NamedTuple):
    """Bound what a client may send, and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RequestRefusedError(errors.TransportError):
    """Report a request that breaks the protocol or a limit.

    :param status: status of the final answer
    """

    code = "request_refused"

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.http_status = status


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; `name` in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def configure_socket(sock: socket.socket) -> None:
    """Send small writes at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class ServerConnection:
    """Read requests and write answers on one accepted connection."""

    def __init__(self, stream: iostream.IOStream) -> None:
        self.stream = stream
        self.closing = False
        self.reading = False
        self.requests = 0
        self._chunked = False
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    @property
    def closed(self) -> bool:
        """Tell whether the client has gone or the connection was closed."""
        return bool(self.stream.closed())

    def on_close(self, call: Callable[[], None] | None) -> None:
        """Call when the client closes the connection."""
        self.stream.set_close_callback(call)

    async def read_request(self, limits: Limits) -> Request | None:
        """Read one request; None when the client has closed or is idle.

        :raises RequestRefusedError: for what is answered and closed
        """
        self.reading = False
        head = await self._next_event(limits)
        if not isinstance(head, h11.Request):
            return None
        _check_head(head, limits)
        if self._h11.they_are_waiting_for_100_continue:
            go = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._h11.send(go))
        body = bytearray()
        while isinstance(event := await self._next_event(limits), h11.Data):
            body += event.data
            if len(body) > limits.body_bytes:
                raise RequestRefusedError(413, "body is too large")
        self.requests += 1
        return Request(
            head.method, head.target, tuple(head.headers), bytes(body)
        )

    async def _next_event(self, limits: Limits) -> h11.Event | None:
        """Return what the client sent next, None if it sends no more."""
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as err:
                raise RequestRefusedError(
                    err.error_status_hint, str(err)
                ) from err
            if event is not h11.NEED_DATA:
                self.reading = isinstance(event, h11.Event)
                return event if isinstance(event, h11.Event) else None
            wait_s = (
                limits.header_timeout_s
                if self.reading
                else limits.idle_timeout_s
            )
            if not await self._fill(wait_s):
                if self.reading:
                    raise RequestRefusedError(408, "request not complete")
                return None
            self.reading = True

    async def respond(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a whole answer."""
        await self.start(
            ResponseHead(status, b"", tuple(headers)), content_length=len(body)
        )
        if body:
            await self.write(body)
        await self.finish()

    async def start(
        self, head: ResponseHead, content_length: int | None
    ) -> None:
        """Write the head of an answer; None as length sends it in chunks."""
        headers = [h for h in head.headers if h[0] not in HOP_BY_HOP]
        if content_length is not None:
            headers.append((b"Content-Length", b"%d" % content_length))
        else:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if self.closing:
            headers.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=head.status, headers=headers, reason=head.reason
        )
        await self._write(self._h11.send(response))

    async def write(self, data: bytes) -> None:
        """Write a part of an answer's body."""
        await self._write(self._h11.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """End an answer as complete and get ready for the next request."""
        await self._write(self._h11.send(h11.EndOfMessage()))
        if self._h11.our_state is h11.DONE and (
            self._h11.their_state is h11.DONE
        ):
            self._h11.start_next_cycle()
        else:
            self.closing = True

    def close(self) -> None:
        """Close; an answer in progress stays visibly incomplete."""
        self.stream.close()

    async def _fill(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                data = await self.stream.read_bytes(READ_BYTES, partial=True)
        except (TimeoutError, iostream.StreamClosedError):
            return False
        self._h11.receive_data(data)
        return True

    async def _write(self, data: bytes | None) -> None:
        if not data:
            return
        try:
            await self.stream.write(data)
        except (
            iostream.StreamClosedError,
            iostream.StreamBufferFullError,
        ) as err:
            raise errors.ConnectionLostError("the client has gone") from err


def _check_head(request: h11.Request, limits: Limits) -> None:
    size = len(request.target) + sum(
        len(key) + len(value) + 4 for key, value in request.headers
    )
    if size > limits.header_bytes:
        raise RequestRefusedError(431, "headers are too large")
    length = find_header(tuple(request.headers), b"content-length")
    if length is not None and int(length) > limits.body_bytes:
        raise RequestRefusedError(413, "body is too large")


__all__ = (
    "HOP_BY_HOP",
    "ResponseHead",
    "Headers",
    "Limits",
    "Request",
    "RequestRefusedError",
    "ServerConnection",
    "configure_socket",
    "find_header",
)
