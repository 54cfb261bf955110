"""HTTP/1.1 messages over Tornado streams, framed by h11.

Tornado's own HTTP server and client don't tell a gateway whether a request
reached the peer, whether a response was complete, and which request a
response belongs to; this module and `h1_client` do.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import h11
from tornado import iostream

from cyclamenwing.transport import errors

READ_BYTES = 65_536
# A write beyond this limit fails, so that a peer which stops reading can't
# exhaust the memory of a small host.
MAX_WRITE_BUFFER_BYTES = 4 * 1024 * 1024
MAX_READ_BUFFER_BYTES = 1024 * 1024
MAX_HEAD_BYTES = 65_536
# Longest time for which a reader parses data that is at hand before other
# tasks get a turn.
MAX_TURN_S = 0.005
# Slowest rate at which a request body may take longer than the timeout.
MIN_BODY_BYTES_PER_S = 1024
# Chunks of a request body. Tiny ones cost far more time than their bytes.
MAX_BODY_PIECES = 32_768

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that are not forwarded: those that concern one connection, and
# those that each connection sets itself.
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
    """Hold one request with its complete body."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class ResponseHead(NamedTuple):
    """Hold the status line and headers of a response."""

    status: int
    reason: bytes
    headers: Headers


class Limits(NamedTuple):
    """Limit the size and duration of a client's request.

    :param header_bytes: largest size of the target and headers
    :param body_bytes: largest size of the body
    :param header_timeout_s: longest wait for more data of a request
    :param idle_timeout_s: longest wait for the first byte of a request
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RequestRefusedError(errors.TransportError):
    """Report a request that violates HTTP/1.1 or a limit.

    :param status: status to respond with before the connection is closed
    """

    code = "request_refused"

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.http_status = status


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; None if it is absent.

    :param name: header name in lower case
    """
    for key, value in headers:
        if key == name:
            return value
    return None


class Turn:
    """Give back the event loop while data is always at hand.

    An awaited read that is already done does not yield, so without this no
    timeout would fire either.
    """

    def __init__(self) -> None:
        self._began_s = time.monotonic()

    async def read(self, stream: iostream.IOStream) -> bytes:
        """Read from a stream; a turn begins after a wait for data."""
        return await self.wait(stream.read_bytes(READ_BYTES, partial=True))

    async def wait(self, future: Awaitable[bytes]) -> bytes:
        """Wait for data; a turn begins unless it is here already."""
        at_hand = isinstance(future, asyncio.Future) and future.done()
        data = await future
        if not at_hand:
            self._began_s = time.monotonic()
        return data

    async def yield_if_due(self) -> None:
        """Let other tasks run once the turn has lasted long enough."""
        if time.monotonic() - self._began_s > MAX_TURN_S:
            await asyncio.sleep(0)
            self._began_s = time.monotonic()


def configure_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, so that small writes are sent at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class ServerConnection:
    """Read requests and write responses on one accepted connection.

    `request_in_progress` is set from the first byte of a request until the
    next call of `read_request`. `close_after_response` announces with the
    response head that the server closes the connection after it.
    """

    def __init__(self, stream: iostream.IOStream) -> None:
        self.stream = stream
        self.close_after_response = False
        self.request_in_progress = False
        self.requests = 0
        self._chunked = False
        self._turn = Turn()
        # Time by which the part of the request that is read is complete.
        self._request_until_s: float | None = None
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    @property
    def closed(self) -> bool:
        """Return whether either side has closed the connection."""
        return bool(self.stream.closed())

    @property
    def idle(self) -> bool:
        """Return whether the connection waits for the first byte of a request.

        Once a byte has arrived the stream is not reading any more, though
        the coroutine that parses the request may not have resumed yet.
        """
        return not self.request_in_progress and bool(self.stream.reading())

    @property
    def response_pending(self) -> bool:
        """Return whether a request waits for the head of its response."""
        return self._h11.our_state is h11.SEND_RESPONSE

    def set_close_callback(self, call: Callable[[], None] | None) -> None:
        """Set or remove the call made when the connection closes."""
        self.stream.set_close_callback(call)

    async def read_request(self, limits: Limits) -> Request | None:
        """Read one request; None if the client closes or stays idle.

        :raises RequestRefusedError: for a request that gets an error status
            before the connection is closed
        """
        self.request_in_progress = False
        self._request_until_s = None
        head = await self._next_event(limits)
        if not isinstance(head, h11.Request):
            return None
        _check_limits(head, limits)
        if self._h11.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._h11.send(interim))
        body = bytearray()
        pieces = 0
        self._request_until_s = time.monotonic() + limits.header_timeout_s
        while isinstance(event := await self._next_event(limits), h11.Data):
            body += event.data
            self._request_until_s += len(event.data) / MIN_BODY_BYTES_PER_S
            pieces += 1
            if len(body) > limits.body_bytes or pieces > MAX_BODY_PIECES:
                raise RequestRefusedError(
                    413, "the request body exceeds the size limit"
                )
        self.requests += 1
        return Request(
            head.method, head.target, tuple(head.headers), bytes(body)
        )

    async def _next_event(self, limits: Limits) -> h11.Event | None:
        """Return the next event of the client; None if it sends no more."""
        while True:
            await self._turn.yield_if_due()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as err:
                raise RequestRefusedError(
                    err.error_status_hint, str(err)
                ) from err
            if event is not h11.NEED_DATA:
                self.request_in_progress = isinstance(event, h11.Event)
                return event if isinstance(event, h11.Event) else None
            wait_s = limits.idle_timeout_s
            if self.request_in_progress:
                wait_s = self._measure_left(limits.header_timeout_s)
            if wait_s <= 0 or not await self._receive(wait_s):
                if self.request_in_progress:
                    raise RequestRefusedError(
                        408, "the request was not complete within the timeout"
                    )
                return None
            self.request_in_progress = True

    def _measure_left(self, timeout_s: float) -> float:
        """Return the longest wait for more data of the request.

        Each part of it has to be complete in time, however often some of its
        bytes arrive.
        """
        now_s = time.monotonic()
        if self._request_until_s is None:
            self._request_until_s = now_s + timeout_s
        return min(self._request_until_s - now_s, timeout_s)

    async def respond(
        self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a complete response."""
        await self.start(
            ResponseHead(status, b"", tuple(headers)), content_length=len(body)
        )
        if body:
            await self.write(body)
        await self.finish()

    async def start(
        self, head: ResponseHead, content_length: int | None
    ) -> None:
        """Write the head of a response.

        :param content_length: size of the body; None selects the chunked
            transfer encoding
        """
        await self._wait(self.pass_head(head, content_length))

    def pass_head(
        self, head: ResponseHead, content_length: int | None
    ) -> asyncio.Future[None]:
        """Pass the head of a response to the socket, as `pass_data` does."""
        headers = [h for h in head.headers if h[0] not in HOP_BY_HOP]
        if content_length is not None:
            headers.append((b"Content-Length", b"%d" % content_length))
        else:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if self.close_after_response:
            headers.append((b"Connection", b"close"))
        response = h11.Response(
            status_code=head.status, headers=headers, reason=head.reason
        )
        return self._pass(self._h11.send(response))

    def pass_data(self, data: bytes) -> asyncio.Future[None]:
        """Pass a part of a response body to the socket without waiting.

        The future is done once the socket has taken all of it, which it has
        at once if the client reads. What it has not taken is held meanwhile.

        :raises ConnectionLostError: if the connection is closed
        """
        return self._pass(self._h11.send(h11.Data(data=data)))

    async def write(self, data: bytes) -> None:
        """Write a part of a response body.

        :raises ConnectionLostError: if the connection is closed or its
            write buffer is full
        """
        await self._write(self._h11.send(h11.Data(data=data)))

    async def finish(self) -> None:
        """Complete the response and prepare for the next request.

        The connection closes instead if either side rules out another one.
        """
        await self._write(self._h11.send(h11.EndOfMessage()))
        if self._h11.our_state is h11.DONE and (
            self._h11.their_state is h11.DONE
        ):
            self._h11.start_next_cycle()
        else:
            self.close_after_response = True

    def close(self) -> None:
        """Close the connection.

        The client can tell that a response in progress is incomplete.
        """
        self.stream.close()

    async def _receive(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                data = await self._turn.read(self.stream)
        except (TimeoutError, iostream.StreamClosedError):
            return False
        self._h11.receive_data(data)
        return True

    async def _write(self, data: bytes | None) -> None:
        if data:
            await self._wait(self._pass(data))

    def _pass(self, data: bytes | None) -> asyncio.Future[None]:
        try:
            return self.stream.write(data or b"")
        except (
            iostream.StreamClosedError,
            iostream.StreamBufferFullError,
        ) as err:
            raise _make_lost_error() from err

    async def _wait(self, future: asyncio.Future[None]) -> None:
        try:
            await future
        except iostream.StreamClosedError as err:
            raise _make_lost_error() from err


def _make_lost_error() -> errors.ConnectionLostError:
    return errors.ConnectionLostError(
        "the client closed the connection or reads too slowly"
    )


def _check_limits(request: h11.Request, limits: Limits) -> None:
    size = len(request.target) + sum(
        len(key) + len(value) + 4 for key, value in request.headers
    )
    if size > limits.header_bytes:
        raise RequestRefusedError(
            431, "the request headers exceed the size limit"
        )
    length = find_header(tuple(request.headers), b"content-length")
    if length is not None and int(length) > limits.body_bytes:
        raise RequestRefusedError(
            413, "the request body exceeds the size limit"
        )


__all__ = (
    "HOP_BY_HOP",
    "Headers",
    "Limits",
    "Request",
    "RequestRefusedError",
    "ResponseHead",
    "ServerConnection",
    "Turn",
    "configure_socket",
    "find_header",
)
