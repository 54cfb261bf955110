"""Endpoint that records what it runs and fails as its behaviour says."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
from tests.soak import trace

from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_server

STREAM_EVENTS = 5
SERVE_S = 0.01
# Each `LONG_EVERY`-th request takes longer, so that some are always running.
LONG_EVERY = 3
LONG_S = 0.3
SLOW_S = 0.6
LIMIT_HEADER = b"server-limit"
# Tells a behaviour the version of its endpoint.
SOFTWARE_HEADER = b"software"
EVENT_GAP_S = 0.04


class Endpoint:
    """Serve requests until it is crashed; it can be started again.

    :ivar behaviour: a key of `BEHAVIOURS`, or ``shed``
    :ivar software: version of its software, which its events name
    :ivar limit: requests per second that it names in its answers, as text
    """

    def __init__(
        self,
        name: str,
        service: str,
        recorder: trace.Trace,
        software: str = "v1",
    ) -> None:
        self.name = name
        self.service = service
        self.software = software
        self.behaviour = "serve"
        self.limit = b""
        self._trace = recorder
        self._server = h1_server.Server(self._handle, h1.Limits)
        self.address = self._server.bind_address("127.0.0.1:0")

    def describe(self, address: str, state: str) -> bytes:
        """Return the registration with a proxy's address as JSON."""
        return msgspec.json.encode({
            "service": self.service,
            "address": address,
            "zone": "z1",
            "version": self.software,
            "slots": 64,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
        })

    def crash(self) -> None:
        """Close the listener and all connections."""
        self._server.stop()
        for connection in list(self._server.connections):
            connection.close()

    def restart(self) -> None:
        """Listen on the same address again."""
        self._server = h1_server.Server(self._handle, h1.Limits)
        self._server.bind_address(self.address)

    async def _handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        expected = h1.find_header(request.headers, b"expect-replica")
        if expected != self.name.encode():
            await connection.respond(421, (), b"")
            return
        request_id = h1.find_header(request.headers, b"request-id") or b""
        self._trace.record_arrival(request_id.decode(), self.name)
        request = request._replace(
            headers=(
                *request.headers,
                (SOFTWARE_HEADER, self.software.encode()),
                *([(LIMIT_HEADER, self.limit)] if self.limit else ()),
            )
        )
        if self.behaviour == "shed":
            headers = (*_make_headers(request), (b"Not-Executed", b"1"))
            await connection.respond(503, headers, b"")
            return
        self._trace.record_run(request_id.decode(), self.name)
        await BEHAVIOURS[self.behaviour](connection, request)


def _make_headers(request: h1.Request) -> h1.Headers:
    limit = h1.find_header(request.headers, LIMIT_HEADER)
    extra = ((LIMIT_HEADER, limit),) if limit else ()
    return platform_endpoint.make_headers(request, extra)


def make_body(request_id: bytes, body: bytes) -> bytes:
    """Return the body that answers a request."""
    return b"%s|%s" % (request_id, body)


def make_event(request_id: bytes, number: int, software: bytes) -> bytes:
    """Return an event of the stream that answers a request."""
    return b"id: %d\ndata: %s %d %s\n\n" % (
        number,
        request_id,
        number,
        software,
    )


def read_software(event: bytes) -> bytes:
    """Return the version that an event names."""
    return event.rpartition(b" ")[2].strip()


def _read_id(request: h1.Request) -> bytes:
    return h1.find_header(request.headers, b"request-id") or b""


async def _serve(connection: h1.ServerConnection, request: h1.Request) -> None:
    is_long = zlib.crc32(_read_id(request)) % LONG_EVERY == 0
    await asyncio.sleep(LONG_S if is_long else SERVE_S)
    if h1.find_header(request.headers, b"token-counts") is not None:
        await _stream(connection, request, STREAM_EVENTS)
        await connection.finish()
        return
    await connection.respond(
        200,
        _make_headers(request),
        make_body(_read_id(request), request.body),
    )


async def _stream(
    connection: h1.ServerConnection, request: h1.Request, events: int
) -> None:
    head = h1.ResponseHead(200, b"", _make_headers(request))
    await connection.start(head, None)
    last = int(h1.find_header(request.headers, b"last-event-id") or b"0")
    software = h1.find_header(request.headers, SOFTWARE_HEADER) or b""
    for number in range(last + 1, events + 1):
        await connection.write(make_event(_read_id(request), number, software))
        await asyncio.sleep(EVENT_GAP_S)


async def _serve_slowly(
    connection: h1.ServerConnection, request: h1.Request
) -> None:
    await asyncio.sleep(SLOW_S)
    await _serve(connection, request)


async def _lose(connection: h1.ServerConnection, request: h1.Request) -> None:
    await asyncio.sleep(SERVE_S)
    connection.close()


async def _cut(connection: h1.ServerConnection, request: h1.Request) -> None:
    if h1.find_header(request.headers, b"token-counts") is not None:
        await _stream(connection, request, 2)
        await connection.write(b"id: 3\nda")
    else:
        head = h1.ResponseHead(200, b"", _make_headers(request))
        await connection.start(head, 1000)
        await connection.write(b"half")
    connection.close()


async def _garble(
    connection: h1.ServerConnection, request: h1.Request
) -> None:
    await connection.stream.write(b"\x00\xffHTTP/9 ?? \r\n\r\n")
    connection.close()


async def _answer_other(
    connection: h1.ServerConnection, request: h1.Request
) -> None:
    headers = (platform_endpoint.STAMP_HEADER, (b"Request-Id", b"another"))
    await connection.respond(200, headers, b"of another request")


BEHAVIOURS: dict[
    str, Callable[[h1.ServerConnection, h1.Request], Awaitable[None]]
] = {
    "serve": _serve,
    "slow": _serve_slowly,
    "lose": _lose,
    "cut": _cut,
    "garble": _garble,
    "other": _answer_other,
}
FAULTY_BEHAVIOURS = (*sorted(set(BEHAVIOURS) - {"serve"}), "shed")

__all__ = (
    "BEHAVIOURS",
    "FAULTY_BEHAVIOURS",
    "STREAM_EVENTS",
    "Endpoint",
    "make_body",
    "make_event",
    "read_software",
)
