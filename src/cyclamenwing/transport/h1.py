"""HTTP/1.1 messages over tornado's streams, framed by h11.

The library's own server and client hide what a gateway needs: whether a
request reached the peer, whether an answer was complete, whose answer it is.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
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


class Head(NamedTuple):
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
        wait_s = limits.idle_timeout_s
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as err:
                raise RequestRefusedError(
                    err.error_status_hint, str(err)
                ) from err
            if event is h11.NEED_DATA:
                if not await self._fill(wait_s):
                    if head is not None or self.reading:
                        raise RequestRefusedError(408, "request not complete")
                    return None
                if not self.reading:
                    self.reading = True
                    wait_s = limits.header_timeout_s
                continue
            if isinstance(event, h11.Request):
                self.reading = True
                head = event
                _check_head(event, limits)
                if self._h11.they_are_waiting_for_100_continue:
                    go = h11.InformationalResponse(
                        status_code=100, headers=[]
                    )
                    await self._write(self._h11.send(go))
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise RequestRefusedError(413, "body is too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self.requests += 1
                return Request(
                    head.method,
                    head.target,
                    tuple(head.headers),
                    bytes(body),
                )
            else:
                return None

    async def respond(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a whole answer."""
        await self.start(
            Head(status, b"", tuple(headers)), content_length=len(body)
        )
        if body:
            await self.write(body)
        await self.finish()

    async def start(self, head: Head, content_length: int | None) -> None:
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


class ClientConnection:
    """Send requests and read answers on one connection of our own.

    Nothing is ever sent again by itself.
    """

    def __init__(self, stream: iostream.IOStream, address: str) -> None:
        self.stream = stream
        self.address = address
        self.sent = False
        self.reusable = True
        self.idle_since = 0.0
        self.idle_limit_s: float | None = None
        self.uses = 0
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._method = b"GET"
        self._parked: asyncio.Future[bytes] | None = None

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> ClientConnection:
        """Connect; raise `ConnectFailedError` if that fails in time."""
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        configure_socket(sock)
        stream = iostream.IOStream(
            sock,
            max_buffer_size=MAX_READ_BUFFER_BYTES,
            max_write_buffer_size=MAX_WRITE_BUFFER_BYTES,
        )
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((host, int(port)))
        except (TimeoutError, OSError, iostream.StreamClosedError) as err:
            stream.close()
            raise errors.ConnectFailedError(
                f"{address}: {err or 'timed out'}"
            ) from err
        except BaseException:
            stream.close()
            raise
        return cls(stream, address)

    def send(self, request: Request) -> None:
        """Hand a request to the socket without waiting for it to drain."""
        self._renew(request.method)
        data = bytearray()
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        message = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data += self._h11.send(message) or b""
        if request.body:
            data += self._h11.send(h11.Data(data=request.body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        if self.stream.closed():
            raise errors.ConnectFailedError(f"{self.address}: closed before")
        self.uses += 1
        self.sent = True
        try:
            self.stream.write(bytes(data)).add_done_callback(_ignore_failure)
        except iostream.StreamClosedError as err:
            raise errors.ConnectionLostError(self.address) from err

    async def read_head(self, timeout_s: float) -> Head:
        """Read the next answer's head; informational ones are skipped."""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    event = await self._next_event()
                    if isinstance(event, h11.Response):
                        return Head(
                            event.status_code,
                            bytes(event.reason),
                            tuple(event.headers),
                        )
        except TimeoutError as err:
            self.reusable = False
            raise errors.ConnectionSilentError(
                f"{self.address}: no answer"
            ) from err

    async def read_data(self, timeout_s: float) -> bytes | None:
        """Read a part of the body; None once it has ended as complete."""
        try:
            async with asyncio.timeout(timeout_s):
                event = await self._next_event()
        except TimeoutError as err:
            self.reusable = False
            raise errors.ConnectionSilentError(
                f"{self.address}: the answer stalled"
            ) from err
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self._finish()
        return None

    async def read_body(self, timeout_s: float, most: int) -> bytes:
        """Read a whole body."""
        body = bytearray()
        async with asyncio.timeout(timeout_s):
            while (data := await self.read_data(timeout_s)) is not None:
                body += data
                if len(body) > most:
                    raise errors.AnswerTooLargeError(self.address)
        return bytes(body)

    def skip_answer(self) -> None:
        """Get ready for another answer to the request that was sent."""
        rest, closed = self._h11.trailing_data
        self._renew(self._method)
        request = h11.Request(
            method=self._method, target=b"/", headers=[(b"Host", b"-")]
        )
        self._h11.send(request)
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(rest)
        if closed:
            self._h11.receive_data(b"")

    def park(self, now_s: float) -> None:
        """Keep the connection idle and listen for what should not come."""
        self.idle_since = now_s
        self._parked = self.stream.read_bytes(READ_BYTES, partial=True)
        self._parked.add_done_callback(_ignore_failure)

    def is_clean(self) -> bool:
        """Tell whether an idle connection is open and heard nothing."""
        silent = self._parked is None or not self._parked.done()
        return self.reusable and silent and not self.stream.closed()

    def close(self) -> None:
        """Close at once; the peer drops what it works on."""
        self.reusable = False
        self.stream.close()

    def _renew(self, method: bytes) -> None:
        self._method = method
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def _finish(self) -> None:
        rest, _ = self._h11.trailing_data
        if (
            rest
            or self.stream.writing()
            or self._h11.our_state is not h11.DONE
            or self._h11.their_state is not h11.DONE
        ):
            self.reusable = False

    async def _next_event(self) -> h11.Event:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as err:
                self.reusable = False
                raise errors.MalformedMessageError(
                    f"{self.address}: {err}", "unknown"
                ) from err
            if event is h11.NEED_DATA:
                await self._fill()
                continue
            if event is h11.PAUSED:
                self.reusable = False
                raise errors.MalformedMessageError(
                    f"{self.address}: bytes behind the answer", "unknown"
                )
            assert isinstance(event, h11.Event)
            return event

    async def _fill(self) -> None:
        try:
            waiting = self._parked or self.stream.read_bytes(
                READ_BYTES, partial=True
            )
            self._parked = None
            data = await waiting
        except iostream.StreamClosedError as err:
            self.reusable = False
            if self.stream.error is not None:
                raise errors.ConnectionLostError(
                    f"{self.address}: {self.stream.error}", "unknown"
                ) from err
            if self._h11.their_state is not h11.SEND_BODY:
                raise errors.ConnectionLostError(
                    f"{self.address}: closed without an answer", "unknown"
                ) from err
            data = b""
        self._h11.receive_data(data)


def _ignore_failure(future: asyncio.Future[Any]) -> None:
    # The reader of the answer reports the broken connection.
    if not future.cancelled():
        future.exception()


__all__ = (
    "HOP_BY_HOP",
    "ClientConnection",
    "Head",
    "Headers",
    "Limits",
    "Request",
    "RequestRefusedError",
    "ServerConnection",
    "configure_socket",
    "find_header",
)
