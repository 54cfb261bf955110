"""HTTP/1.1 over real sockets: complete, truncated, surplus and late data."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client
from cyclamenwing.transport import h1_server

REQUEST = h1.Request(b"GET", b"/", ((b"Host", b"x"),), b"")
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

Script = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


@contextlib.asynccontextmanager
async def serve(script: Script) -> AsyncIterator[str]:
    server = await asyncio.start_server(script, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield f"127.0.0.1:{port}"


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset the connection, as happens when a process is killed."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def respond_with(data: bytes, reset: bool = False) -> Script:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        if reset:
            await asyncio.sleep(0.02)
            abort(writer)
        else:
            writer.close()

    return script


async def exchange(
    script: Script, request: h1.Request = REQUEST
) -> tuple[h1.ResponseHead, bytes, h1_client.ClientConnection]:
    async with serve(script) as address:
        connection = await h1_client.ClientConnection.open(address, 1.0)
        try:
            connection.send(request)
            head = await connection.read_head(1.0)
            return head, await connection.read_body(1.0, 1000), connection
        finally:
            connection.stream.close()


def test_complete_response_is_read() -> None:
    head, body, connection = asyncio.run(exchange(respond_with(WHOLE)))
    assert (head.status, body) == (200, b"ok")
    assert connection.reusable


def test_response_without_length_ends_when_the_peer_closes() -> None:
    data = b"HTTP/1.1 200 OK\r\n\r\nall of it"
    _, body, connection = asyncio.run(exchange(respond_with(data)))
    assert body == b"all of it"
    assert not connection.reusable


@pytest.mark.parametrize(
    ("data", "reset"),
    [
        (b"", False),
        (b"", True),
        (b"HTTP/1.1 200", False),
        (WHOLE[:-1], False),
        (WHOLE[:-1], True),
        (b"HTTP/1.1 200 OK\r\n\r\npart", True),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n",
            False,
        ),
        (b"\x00\x01 no answer\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok", False),
    ],
)
def test_truncated_or_invalid_response_raises(
    data: bytes, reset: bool
) -> None:
    with pytest.raises(errors.TransportError):
        asyncio.run(exchange(respond_with(data, reset)))


def test_data_after_a_response_rules_out_reuse() -> None:
    _, body, connection = asyncio.run(exchange(respond_with(WHOLE + WHOLE)))
    assert body == b"ok"
    assert not connection.reusable


def test_response_to_an_earlier_request_is_skipped() -> None:
    async def run() -> bytes:
        other = WHOLE.replace(b"ok", b"no")
        async with serve(respond_with(other + WHOLE)) as address:
            connection = await h1_client.ClientConnection.open(address, 1.0)
            connection.send(REQUEST)
            await connection.read_head(1.0)
            assert await connection.read_body(1.0, 10) == b"no"
            connection.skip_response()
            await connection.read_head(1.0)
            body = await connection.read_body(1.0, 10)
            connection.close()
            return body

    assert asyncio.run(run()) == b"ok"


def test_idle_connection_that_received_data_is_not_healthy() -> None:
    async def run() -> tuple[bool, bool]:
        send_extra = asyncio.Event()

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE)
            await send_extra.wait()
            writer.write(WHOLE)
            await writer.drain()
            await asyncio.sleep(0.2)
            writer.close()

        async with serve(script) as address:
            connection = await h1_client.ClientConnection.open(address, 1.0)
            connection.send(REQUEST)
            await connection.read_head(1.0)
            await connection.read_body(1.0, 10)
            connection.mark_idle(0.0)
            healthy_before = connection.is_healthy()
            send_extra.set()
            await asyncio.sleep(0.1)
            healthy_after = connection.is_healthy()
            connection.close()
            return healthy_before, healthy_after

    assert asyncio.run(run()) == (True, False)


def test_request_on_a_broken_idle_connection_is_not_resent() -> None:
    request_count = 0

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal request_count
        await reader.readuntil(b"\r\n\r\n")
        request_count += 1
        writer.write(WHOLE)
        await reader.readuntil(b"\r\n\r\n")
        request_count += 1
        abort(writer)

    async def run() -> None:
        async with serve(script) as address:
            connection = await h1_client.ClientConnection.open(address, 1.0)
            connection.send(REQUEST)
            await connection.read_head(1.0)
            await connection.read_body(1.0, 10)
            connection.mark_idle(0.0)
            connection.send(REQUEST)
            with pytest.raises(errors.ConnectionLostError):
                await connection.read_head(1.0)
            await asyncio.sleep(0.05)
            connection.close()

    asyncio.run(run())
    assert request_count == 2


def test_missing_response_times_out() -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"never")
        writer.close()

    async def run() -> None:
        async with serve(script) as address:
            connection = await h1_client.ClientConnection.open(address, 1.0)
            connection.send(REQUEST)
            with pytest.raises(errors.ConnectionSilentError):
                await connection.read_head(0.05)
            connection.close()

    asyncio.run(run())


def test_refused_connection_counts_as_not_sent() -> None:
    with pytest.raises(errors.ConnectFailedError):
        asyncio.run(h1_client.ClientConnection.open("127.0.0.1:1", 0.5))


async def send_raw_request(
    data: bytes, handler: h1_server.Handler, limits: h1.Limits
) -> bytes:
    server = h1_server.Server(handler, lambda: limits)
    address = server.bind_address("127.0.0.1:0")
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(2.0):
            return await reader.read(-1)
    finally:
        writer.close()
        server.stop()


async def echo_request(
    connection: h1.ServerConnection, request: h1.Request
) -> None:
    connection.close_after_response = True
    await connection.respond(200, (), request.body or request.target)


LIMITS = h1.Limits(400, 10, 0.1, 0.2)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n", b"200"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
            b"200",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30\r\n\r\n",
            b"413",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
            b"\r\n\r\n14\r\n01234567890123456789\r\n",
            b"413",
        ),
        (
            b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 500 + b"\r\n\r\n",
            b"431",
        ),
        (b"GET / HTTP/1.1\r\nHost", b"408"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na",
            b"408",
        ),
        (b"no request at all\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabc",
            b"400",
        ),
    ],
)
def test_requests_get_the_status_of_their_fault(
    data: bytes, status: bytes
) -> None:
    answer = asyncio.run(send_raw_request(data, echo_request, LIMITS))
    assert answer.startswith(b"HTTP/1.1 " + status)


def test_idle_connection_is_closed_without_a_response() -> None:
    assert asyncio.run(send_raw_request(b"", echo_request, LIMITS)) == b""


def test_closed_client_connection_cancels_the_handler() -> None:
    async def run() -> bool:
        cancelled = asyncio.Event()

        async def wait(_: h1.ServerConnection, request: h1.Request) -> None:
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        server = h1_server.Server(wait, h1.Limits)
        host, _, port = server.bind_address("127.0.0.1:0").rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.close()
        async with asyncio.timeout(0.5):
            await cancelled.wait()
        server.stop()
        return cancelled.is_set()

    assert asyncio.run(run())


def test_failed_handler_leaves_the_response_incomplete() -> None:
    async def fail(connection: h1.ServerConnection, _: h1.Request) -> None:
        await connection.start(h1.ResponseHead(200, b"", ()), None)
        raise RuntimeError("planted")

    data = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    answer = asyncio.run(send_raw_request(data, fail, h1.Limits()))
    assert not answer.endswith(b"0\r\n\r\n")


def test_draining_server_closes_after_the_response() -> None:
    async def run() -> bytes:
        async def quick(
            connection: h1.ServerConnection, _: h1.Request
        ) -> None:
            server.drain()
            await connection.respond(200, (), b"")

        server = h1_server.Server(quick, h1.Limits)
        host, _, port = server.bind_address("127.0.0.1:0").rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(1.0):
            answer = await reader.read(-1)
        writer.close()
        server.stop()
        return answer

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200")


def test_slow_body_times_out_although_data_arrives() -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for _ in range(20):
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(0.04)
        writer.close()

    async def run() -> None:
        async with serve(script) as address:
            connection = await h1_client.ClientConnection.open(address, 1.0)
            connection.send(REQUEST)
            await connection.read_head(1.0)
            with pytest.raises(errors.ConnectionSilentError):
                await connection.read_body(0.1, 1000)
            connection.close()

    asyncio.run(run())
