"""HTTP/1.1 on real connections: whole, cut, extra, late and foreign bytes."""

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
    """Reset the connection, as a process that was killed does."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def answer_with(data: bytes, reset: bool = False) -> Script:
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


def test_whole_answer_is_read() -> None:
    head, body, connection = asyncio.run(exchange(answer_with(WHOLE)))
    assert (head.status, body) == (200, b"ok")
    assert connection.reusable


def test_answer_without_length_ends_with_its_connection() -> None:
    data = b"HTTP/1.1 200 OK\r\n\r\nall of it"
    _, body, connection = asyncio.run(exchange(answer_with(data)))
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
def test_broken_answer_is_never_whole(data: bytes, reset: bool) -> None:
    with pytest.raises(errors.TransportError):
        asyncio.run(exchange(answer_with(data, reset)))


def test_bytes_behind_an_answer_end_the_connection() -> None:
    _, body, connection = asyncio.run(exchange(answer_with(WHOLE + WHOLE)))
    assert body == b"ok"
    assert not connection.reusable


def test_foreign_answer_can_be_skipped() -> None:
    async def run() -> bytes:
        other = WHOLE.replace(b"ok", b"no")
        async with serve(answer_with(other + WHOLE)) as address:
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


def test_idle_connection_that_heard_something_is_not_clean() -> None:
    async def run() -> tuple[bool, bool]:
        late = asyncio.Event()

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE)
            await late.wait()
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
            before = connection.is_healthy()
            late.set()
            await asyncio.sleep(0.1)
            after = connection.is_healthy()
            connection.close()
            return before, after

    assert asyncio.run(run()) == (True, False)


def test_request_on_a_dead_kept_connection_is_not_sent_again() -> None:
    seen = 0

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal seen
        await reader.readuntil(b"\r\n\r\n")
        seen += 1
        writer.write(WHOLE)
        await reader.readuntil(b"\r\n\r\n")
        seen += 1
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
    assert seen == 2


def test_silence_is_noticed_in_time() -> None:
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


def test_refused_connection_sent_nothing() -> None:
    with pytest.raises(errors.ConnectFailedError):
        asyncio.run(h1_client.ClientConnection.open("127.0.0.1:1", 0.5))


async def ask(
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


async def echo(connection: h1.ServerConnection, request: h1.Request) -> None:
    connection.closing = True
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
def test_requests_are_answered_by_what_they_are(
    data: bytes, status: bytes
) -> None:
    answer = asyncio.run(ask(data, echo, LIMITS))
    assert answer.startswith(b"HTTP/1.1 " + status)


def test_idle_connection_is_closed_without_an_answer() -> None:
    assert asyncio.run(ask(b"", echo, LIMITS)) == b""


def test_client_that_leaves_cancels_its_request() -> None:
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


def test_fault_in_a_handler_leaves_the_answer_incomplete() -> None:
    async def fail(connection: h1.ServerConnection, _: h1.Request) -> None:
        await connection.start(h1.ResponseHead(200, b"", ()), None)
        raise RuntimeError("planted")

    data = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    answer = asyncio.run(ask(data, fail, h1.Limits()))
    assert not answer.endswith(b"0\r\n\r\n")


def test_draining_server_announces_the_close() -> None:
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


def test_body_that_trickles_past_its_time_is_silent() -> None:
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
