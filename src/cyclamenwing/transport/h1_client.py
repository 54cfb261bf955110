"""Client side of HTTP/1.1 connections, framed by h11."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

import h11
from tornado import iostream

from cyclamenwing.transport import errors
from cyclamenwing.transport import h1

# Informational heads before a response. Peers may send a few.
MAX_INTERIM_HEADS = 32


class ClientConnection:
    """Send requests and read responses on one connection.

    A request is never resent automatically. `sent` is set once a request
    was passed to the socket. `reusable` is cleared when the state of the
    connection rules out another request. The owner of a connection pool sets
    `idle_limit_s` to the idle time that the peer announced, if any.
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
            h11.CLIENT, max_incomplete_event_size=h1.MAX_HEAD_BYTES
        )
        self._method = b"GET"
        self._idle_read: asyncio.Future[bytes] | None = None
        # Done once the socket has taken the whole request.
        self._written: asyncio.Future[None] | None = None
        self._turn = h1.Turn()

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> ClientConnection:
        """Connect to ``ip:port``.

        :raises ConnectFailedError: if the peer refuses or does not accept
            within the timeout
        """
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        h1.configure_socket(sock)
        stream = iostream.IOStream(
            sock,
            max_buffer_size=h1.MAX_READ_BUFFER_BYTES,
            max_write_buffer_size=h1.MAX_WRITE_BUFFER_BYTES,
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

    def send(self, request: h1.Request) -> None:
        """Pass a request to the socket without waiting until it is written.

        :raises ConnectFailedError: if the connection was already closed
        :raises ConnectionLostError: if it closes during the write
        """
        self._reset_parser(request.method)
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
            raise errors.ConnectFailedError(
                f"{self.address}: the connection was closed before the request"
            )
        self.uses += 1
        self.sent = True
        try:
            self._written = self.stream.write(bytes(data))
            self._written.add_done_callback(_ignore_failure)
        except iostream.StreamClosedError as err:
            raise errors.ConnectionLostError(self.address) from err

    async def read_head(self, timeout_s: float) -> h1.ResponseHead:
        """Read the next response head; informational (1xx) ones are skipped.

        :raises ConnectionSilentError: if it is not complete in time
        """
        try:
            async with asyncio.timeout(timeout_s):
                for _ in range(MAX_INTERIM_HEADS + 1):
                    event = await self._next_event()
                    if isinstance(event, h11.Response):
                        return h1.ResponseHead(
                            event.status_code,
                            bytes(event.reason),
                            tuple(event.headers),
                        )
        except TimeoutError as err:
            self.reusable = False
            raise errors.ConnectionSilentError(
                f"{self.address}: no response head within the timeout"
            ) from err
        self.reusable = False
        raise errors.MalformedMessageError(
            f"{self.address}: too many informational heads", "unknown"
        )

    async def read_data(self, timeout_s: float) -> bytes | None:
        """Read a part of the body; None once the body is complete.

        :raises ConnectionSilentError: if nothing arrives in time, or if the
            time is over although data is at hand
        """
        try:
            if timeout_s <= 0:
                raise TimeoutError
            async with asyncio.timeout(timeout_s):
                event = await self._next_event()
        except TimeoutError as err:
            self.reusable = False
            raise errors.ConnectionSilentError(
                f"{self.address}: no response data within the timeout"
            ) from err
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self._check_reusable()
        return None

    async def read_body(self, timeout_s: float, max_bytes: int) -> bytes:
        """Read the complete body.

        :param timeout_s: longest time for the whole body
        :raises ConnectionSilentError: if it is not complete in time
        :raises ResponseTooLargeError: if it exceeds `max_bytes`
        """
        body = bytearray()
        await self._read_pieces(timeout_s, max_bytes, body.extend)
        return bytes(body)

    async def discard_body(self, timeout_s: float, max_bytes: int) -> None:
        """Read the complete body and keep none of it; see `read_body`."""
        await self._read_pieces(timeout_s, max_bytes, len)

    async def _read_pieces(
        self,
        timeout_s: float,
        max_bytes: int,
        take: Callable[[bytes], object],
    ) -> None:
        size = 0
        try:
            async with asyncio.timeout(timeout_s):
                while (data := await self.read_data(timeout_s)) is not None:
                    size += len(data)
                    if size > max_bytes:
                        raise errors.ResponseTooLargeError(self.address)
                    take(data)
        except TimeoutError as err:
            self.reusable = False
            raise errors.ConnectionSilentError(
                f"{self.address}: the response body was not complete in time"
            ) from err

    def skip_response(self) -> None:
        """Discard the response that was read and expect another one.

        Used when a response turns out to belong to an earlier request. The
        parser is reset with a placeholder request; nothing is sent.
        """
        rest, closed = self._h11.trailing_data
        self._reset_parser(self._method)
        request = h11.Request(
            method=self._method, target=b"/", headers=[(b"Host", b"-")]
        )
        self._h11.send(request)
        self._h11.send(h11.EndOfMessage())
        if rest:
            self._h11.receive_data(rest)
        if closed:
            self._h11.receive_data(b"")

    def mark_idle(self, now_s: float) -> None:
        """Record that the connection is idle and watch it for data.

        Data that arrives on an idle connection belongs to no request, so
        `is_healthy` then rejects the connection.
        """
        self.idle_since = now_s
        self._idle_read = asyncio.ensure_future(
            self.stream.read_bytes(h1.READ_BYTES, partial=True)
        )
        self._idle_read.add_done_callback(_ignore_failure)

    def is_healthy(self) -> bool:
        """Return whether an idle connection can take another request."""
        silent = self._idle_read is None or not self._idle_read.done()
        return self.reusable and silent and not self.stream.closed()

    def close(self) -> None:
        """Close at once, so that the peer abandons a request in progress."""
        self.reusable = False
        self.stream.close()

    def _reset_parser(self, method: bytes) -> None:
        self._method = method
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=h1.MAX_HEAD_BYTES
        )

    def _check_reusable(self) -> None:
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
            await self._turn.yield_if_due()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as err:
                self.reusable = False
                raise errors.MalformedMessageError(
                    f"{self.address}: {err}", "unknown"
                ) from err
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            if event is h11.PAUSED:
                self.reusable = False
                raise errors.MalformedMessageError(
                    f"{self.address}: unexpected data after the response",
                    "unknown",
                )
            assert isinstance(event, h11.Event)
            return event

    async def _receive(self) -> None:
        try:
            idle_read, self._idle_read = self._idle_read, None
            if idle_read is None:
                data = await self._turn.read(self.stream)
            else:
                data = await self._turn.wait(idle_read)
        except iostream.StreamClosedError as err:
            self.reusable = False
            if self.stream.error is not None:
                raise errors.ConnectionLostError(
                    f"{self.address}: {self.stream.error}", "unknown"
                ) from err
            if self._h11.their_state is not h11.SEND_BODY:
                raise errors.ConnectionLostError(
                    f"{self.address}: closed before a response head", "unknown"
                ) from err
            if not self._is_written():
                # Such a peer may reset the connection next, so the end of the
                # stream is no end of a body that has no length.
                raise errors.ConnectionLostError(
                    f"{self.address}: closed before it has read the request",
                    "unknown",
                ) from err
            data = b""
        self._h11.receive_data(data)

    def _is_written(self) -> bool:
        """Return whether the socket has taken the whole request."""
        written = self._written
        return written is None or (
            written.done() and written.exception() is None
        )


def _ignore_failure(future: asyncio.Future[Any]) -> None:
    # A broken connection is reported when the response is read.
    if not future.cancelled():
        future.exception()


__all__ = ("ClientConnection",)
