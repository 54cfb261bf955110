"""Stand-in of an endpoint on the platform."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec

from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_server

STAMP_HEADER = (b"Replica-Stamp", b"signed")
STREAM_EVENTS = 5
DRIP_INTERVAL_S = 0.05
SLOW_INTERVAL_S = 0.6
MS_PER_S = 1000
NO_HEADERS: h1.Headers = ()


class EndpointStandin:
    """Serve requests, or fail as its behaviour says.

    :param name: the endpoint's id, compared with ``Expect-Replica``
    :param service: the service that the endpoint belongs to
    :ivar behaviour: a key of `BEHAVIOURS`, ``shed`` or ``crash``
    :ivar pause_s: delay before each answer
    :ivar leaving: whether all answers say that it leaves
    :ivar refuse_time: time in seconds for which it asks a caller to wait
        when it sheds a request, as text; empty for none
    :ivar limit: requests per second that it names in all answers, as text;
        empty for none
    :ivar cold_left_ms: remaining cold time in its entry
    :ivar cold_ms: the same in all answers, as text; empty for none
    :ivar poison_part: part of a prompt at which the endpoint crashes as it
        begins to answer; empty for none
    :ivar zone: availability zone in its entry
    :ivar software: version of its software in its entry
    :ivar started_ms: start time in its entry, 0 for none
    :ivar arrivals: number of requests that reached it, executed or not
    :ivar arrival_times: when these arrived, by the steady clock
    :ivar runs: the requests that were executed
    :ivar cancelled: number of requests cancelled during the delay
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.behaviour = "serve"
        self.pause_s = 0.0
        self.leaving = False
        self.refuse_time = b""
        self.limit = b""
        self.cold_left_ms = 0
        self.cold_ms = b""
        self.poison_part = b""
        self.zone = "z1"
        self.software = "v1"
        self.started_ms = int(time.time() * MS_PER_S)
        self.arrivals = 0
        self.arrival_times: list[float] = []
        self.runs: list[h1.Request] = []
        self.cancelled = 0
        self.address = ""
        self._server = h1_server.Server(self._handle, h1.Limits)

    def listen(self) -> str:
        """Bind a free port and return the address."""
        self.address = self._server.bind_address("127.0.0.1:0")
        return self.address

    def describe(self, state: str = "ready") -> bytes:
        """Return the endpoint's registration record as JSON."""
        return msgspec.json.encode({
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software,
            "slots": 6,
            "state": state,
            "cold_left_ms": self.cold_left_ms,
            "seq": 1,
            "born": self.started_ms,
        })

    def count_connections(self) -> int:
        """Return the number of open connections to the endpoint."""
        return len(self._server.connections)

    def stop(self) -> None:
        """Stop immediately, as a killed process does."""
        self._server.stop()
        for connection in list(self._server.connections):
            connection.close()

    def restart(self) -> None:
        """Listen at the same address again, as a restarted process does."""
        self._server = h1_server.Server(self._handle, h1.Limits)
        self._server.bind_address(self.address)

    async def _handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        self.arrivals += 1
        self.arrival_times.append(time.monotonic())
        extra = self._make_extra_headers()
        expected = h1.find_header(request.headers, b"expect-replica")
        request_id = h1.find_header(request.headers, b"request-id")
        if request_id is not None:
            extra = (*extra, (b"Request-Id", request_id))
        if expected not in (None, self.name.encode()):
            await connection.respond(421, extra, b"")
            return
        if self.behaviour == "shed":
            headers = (*extra, (b"Not-Executed", b"1"))
            if self.refuse_time:
                headers = (*headers, (b"Retry-After", self.refuse_time))
            await connection.respond(503, headers, b"")
            return
        self.runs.append(request)
        if self.behaviour == "crash":
            self.stop()
            return
        if self.poison_part and self.poison_part in read_parts(request):
            await _stream(connection, request, extra, 0)
            self.stop()
            return
        try:
            await asyncio.sleep(self.pause_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        await BEHAVIOURS[self.behaviour](
            connection, request, self._make_extra_headers()
        )

    def _make_extra_headers(self) -> h1.Headers:
        leaving = ((b"Server-Leaving", b"1"),) if self.leaving else NO_HEADERS
        limit = ((b"Server-Limit", self.limit),) if self.limit else NO_HEADERS
        cold = ((b"Cold-Ms", self.cold_ms),) if self.cold_ms else NO_HEADERS
        return (*leaving, *limit, *cold)


def make_headers(
    request: h1.Request, extra: h1.Headers = NO_HEADERS
) -> h1.Headers:
    """Return the headers of a signed answer to a request."""
    request_id = h1.find_header(request.headers, b"request-id") or b""
    return (STAMP_HEADER, (b"Request-Id", request_id), *extra)


def read_parts(request: h1.Request) -> list[bytes]:
    """Return the names of the parts of a request's prompt."""
    header = h1.find_header(request.headers, b"prompt-prefix") or b""
    return [part.partition(b":")[0] for part in header.split(b",")]


async def _answer(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    if h1.find_header(request.headers, b"token-counts") is None:
        body = request.body or b"ok"
        await connection.respond(200, make_headers(request, extra), body)
        return
    await _stream(connection, request, extra, STREAM_EVENTS)
    await connection.finish()


async def _stream(
    connection: h1.ServerConnection,
    request: h1.Request,
    extra: h1.Headers,
    events: int,
) -> None:
    content_type = (b"Content-Type", b"text/event-stream")
    headers = (*make_headers(request, extra), content_type)
    await connection.start(h1.ResponseHead(200, b"OK", headers), None)
    last_event_id = h1.find_header(request.headers, b"last-event-id") or b"0"
    for number in range(int(last_event_id) + 1, events + 1):
        await connection.write(b"id: %d\ndata: %d\n\n" % (number, number))


async def _answer_error(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    await connection.respond(500, make_headers(request, extra), b"failed")


async def _cut_answer(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    if h1.find_header(request.headers, b"token-counts") is not None:
        await _stream(connection, request, extra, STREAM_EVENTS // 2)
        await connection.write(b"id: 3\nda")
    connection.close()


async def _drip_answer(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    """Send bytes of an event that never ends."""
    await _stream(connection, request, extra, 0)
    while not connection.closed:
        await connection.write(b"d")
        await asyncio.sleep(DRIP_INTERVAL_S)


async def _answer_slowly(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    await _stream(connection, request, extra, 0)
    for number in range(1, STREAM_EVENTS + 1):
        await asyncio.sleep(SLOW_INTERVAL_S)
        await connection.write(b"id: %d\ndata: %d\n\n" % (number, number))
    await connection.finish()


async def _answer_unframed(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    """Send an answer with neither a length nor chunks."""
    await _write_unframed(connection, request, extra, _list_events(request))


async def _cut_unframed(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    """Break such an answer off inside an event."""
    begun = _list_events(request)[: STREAM_EVENTS // 2]
    await _write_unframed(connection, request, extra, [*begun, b"id: 9\nda"])


async def _begin_unframed(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    """Break such an answer off before its first event."""
    await _write_unframed(connection, request, extra, [])


async def _write_unframed(
    connection: h1.ServerConnection,
    request: h1.Request,
    extra: h1.Headers,
    pieces: list[bytes],
) -> None:
    headers = (*make_headers(request, extra), (b"Connection", b"close"))
    head = b"".join(b"%s: %s\r\n" % header for header in headers)
    await connection.stream.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n")
    for piece in pieces:
        await connection.stream.write(piece)
    connection.close()


def _list_events(request: h1.Request) -> list[bytes]:
    """Return the events of a stream that the client has not received."""
    last_event_id = h1.find_header(request.headers, b"last-event-id") or b"0"
    return [
        b"id: %d\ndata: %d\n\n" % (number, number)
        for number in range(int(last_event_id) + 1, STREAM_EVENTS + 1)
    ]


async def _answer_other_request(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    headers = (STAMP_HEADER, (b"Request-Id", b"another"), *extra)
    await connection.respond(200, headers, b"of another request")


async def _answer_unsigned(
    connection: h1.ServerConnection, request: h1.Request, extra: h1.Headers
) -> None:
    headers = make_headers(request, extra)[1:]
    await connection.respond(200, headers, b"not signed")


BEHAVIOURS: dict[
    str,
    Callable[[h1.ServerConnection, h1.Request, h1.Headers], Awaitable[None]],
] = {
    "serve": _answer,
    "fail": _answer_error,
    "cut": _cut_answer,
    "drip": _drip_answer,
    "slow": _answer_slowly,
    "forge": _answer_other_request,
    "unsign": _answer_unsigned,
    "unframed": _answer_unframed,
    "cut unframed": _cut_unframed,
    "begin unframed": _begin_unframed,
}

__all__ = (
    "BEHAVIOURS",
    "STREAM_EVENTS",
    "EndpointStandin",
    "make_headers",
    "read_parts",
)
