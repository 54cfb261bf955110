"""Pattern: a peer sends bytes without end, as fast as the link takes them.

Data is at hand at each read, so a reader that only waits for data never gives
back the event loop: no timeout fires, and all other requests stand still.
"""

from __future__ import annotations

import asyncio
import socket
import time
import tracemalloc
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from tests.transport import floods

from cyclamenwing.gateway import events
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client
from cyclamenwing.transport import h1_server
from cyclamenwing.transport import pooled_client

TIMEOUT_S = 0.6
# An event of a stream reaches the client within this time.
MAX_STANDSTILL_S = 0.12
MAX_LATE_S = 0.25
MAX_MEMORY_BYTES = 4 * 1024 * 1024
MAX_BODY_BYTES = 1024 * 1024
REQUEST = h1.Request(b"GET", b"/", ((b"Host", b"a"),), b"")

Reader = Callable[[str], Awaitable[None]]


async def read_whole(address: str) -> None:
    connection = await h1_client.ClientConnection.open(address, 1.0)
    try:
        connection.send(REQUEST)
        deadline_s = time.monotonic() + TIMEOUT_S
        await connection.read_head(TIMEOUT_S)
        await connection.read_body(
            deadline_s - time.monotonic(), MAX_BODY_BYTES
        )
    finally:
        connection.close()


async def read_stream(address: str) -> None:
    connection = await h1_client.ClientConnection.open(address, 1.0)
    reader = events.EventReader()
    try:
        connection.send(REQUEST)
        deadline_s = time.monotonic() + TIMEOUT_S
        await connection.read_head(TIMEOUT_S)
        while (
            data := await connection.read_data(deadline_s - time.monotonic())
        ) is not None:
            reader.feed(data)
    finally:
        connection.close()


async def call_peer(address: str) -> None:
    """Read as the callers of the store, of peers and of delegates do."""
    client = pooled_client.PooledClient()
    try:
        await client.call(address, "GET", "/", b"", TIMEOUT_S)
    finally:
        client.close()


READERS: dict[str, Reader] = {
    "whole": read_whole,
    "stream": read_stream,
    "peer": call_peer,
}


@pytest.mark.parametrize("form", floods.FORMS)
@pytest.mark.parametrize("reader", READERS)
def test_reader_of_an_endless_answer_ends_in_time(
    reader: str, form: str
) -> None:
    async def check() -> None:
        with floods.send_flood(form) as flood:
            async with floods.LoopWatch() as watch:
                started_s = time.monotonic()
                with pytest.raises(errors.TransportError):
                    await READERS[reader](flood.address)
                elapsed_s = time.monotonic() - started_s
            assert elapsed_s <= TIMEOUT_S + MAX_LATE_S
            assert watch.longest_s <= MAX_STANDSTILL_S

    asyncio.run(check())


@pytest.mark.parametrize("form", floods.FORMS)
def test_reader_of_an_endless_stream_keeps_little(form: str) -> None:
    async def check() -> None:
        with (
            floods.send_flood(form) as flood,
            pytest.raises(errors.TransportError),
        ):
            await read_stream(flood.address)

    tracemalloc.start()
    try:
        asyncio.run(check())
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes <= MAX_MEMORY_BYTES


@pytest.mark.parametrize("form", floods.INVALID_FORMS)
def test_endless_head_is_refused_before_the_time_is_over(form: str) -> None:
    async def check() -> None:
        with floods.send_flood(form) as flood:
            started_s = time.monotonic()
            with pytest.raises(errors.MalformedMessageError):
                await read_stream(flood.address)
            assert time.monotonic() - started_s < TIMEOUT_S

    asyncio.run(check())


def test_data_at_hand_is_not_read_after_its_deadline() -> None:
    async def check() -> None:
        with floods.send_flood("body") as flood:
            connection = await h1_client.ClientConnection.open(
                flood.address, 1.0
            )
            connection.send(REQUEST)
            await connection.read_head(1.0)
            assert await connection.read_data(1.0)
            with pytest.raises(errors.ConnectionSilentError):
                await connection.read_data(0.0)
            connection.close()

    asyncio.run(check())


def test_time_for_an_event_grows_with_its_bytes_only() -> None:
    reader = events.EventReader()
    started_s = time.monotonic()
    for _ in range(events.MAX_EVENT_BYTES):
        reader.feed(b"x")
    # A search from the start for each byte takes far longer.
    assert time.monotonic() - started_s < 3.0
    with pytest.raises(errors.MalformedMessageError):
        reader.feed(b"x")


def test_sound_streams_keep_their_pauses_beside_an_endless_answer() -> None:
    streams, events_each, interval_s = 50, 12, 0.05
    pauses: list[float] = []

    async def serve(
        connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        await connection.start(h1.ResponseHead(200, b"", ()), None)
        for _ in range(events_each):
            await connection.write(b"data: 1\n\n")
            await asyncio.sleep(interval_s)
        await connection.finish()

    async def read_sound(address: str) -> int:
        connection = await h1_client.ClientConnection.open(address, 1.0)
        connection.send(REQUEST)
        await connection.read_head(5.0)
        count, last_s = 0, time.monotonic()
        delay_s = floods.read_run_delay()
        while await connection.read_data(5.0) is not None:
            # Time in which the process waited for a processor is left out.
            waited_s = floods.read_run_delay() - delay_s
            pauses.append(time.monotonic() - last_s - waited_s)
            count, last_s = count + 1, time.monotonic()
            delay_s += waited_s
        connection.close()
        return count

    async def check() -> None:
        server = h1_server.Server(serve, h1.Limits)
        address = server.bind_address("127.0.0.1:0")
        with floods.send_flood("chunks of 1 byte") as flood:
            sound = [
                asyncio.create_task(read_sound(address))
                for _ in range(streams)
            ]
            with pytest.raises(errors.TransportError):
                await read_stream(flood.address)
            counts = await asyncio.gather(*sound)
        server.stop()
        assert counts == [events_each] * streams
        assert max(pauses) <= interval_s + MAX_STANDSTILL_S

    asyncio.run(check())


CLIENT_FORMS: dict[str, tuple[bytes, bytes]] = {
    "request line": (b"GET /", b"0123456789"),
    "head": (b"GET / HTTP/1.1\r\nHost: a\r\n", b"X-Filler: 0123456789\r\n"),
    "chunks of 1 byte": (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "trailers": (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n",
        b"X-Filler: 0123456789\r\n",
    ),
    "blank lines": (b"", b"\r\n"),
}


async def refuse_all(
    connection: h1.ServerConnection, request: h1.Request
) -> None:
    await connection.respond(200, (), b"")


@pytest.mark.parametrize("form", CLIENT_FORMS)
def test_endless_request_is_refused_in_time(form: str) -> None:
    start, repeated = CLIENT_FORMS[form]
    limits = h1.Limits(header_timeout_s=TIMEOUT_S, body_bytes=MAX_BODY_BYTES)

    def send(address: str) -> float:
        host, _, port = address.rpartition(":")
        block = repeated * (floods.BLOCK_BYTES // len(repeated))
        started_s = time.monotonic()
        with socket.create_connection((host, int(port))) as client:
            client.settimeout(floods.MAX_SECONDS)
            try:
                client.sendall(start)
                while time.monotonic() - started_s < floods.MAX_SECONDS:
                    client.sendall(block)
            except OSError:
                pass
        return time.monotonic() - started_s

    async def check() -> None:
        server = h1_server.Server(refuse_all, lambda: limits)
        address = server.bind_address("127.0.0.1:0")
        async with floods.LoopWatch() as watch:
            elapsed_s = await asyncio.to_thread(send, address)
        server.stop()
        # The body may take as long as its size allows at a slow rate.
        assert elapsed_s <= 5 * TIMEOUT_S
        assert watch.longest_s <= MAX_STANDSTILL_S

    asyncio.run(check())


@pytest.mark.parametrize(
    "start",
    [
        b"G",
        b"GET / HTTP/1.1\r\nX-",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n",
    ],
)
def test_request_that_arrives_byte_by_byte_is_refused_in_time(
    start: bytes,
) -> None:
    limits = h1.Limits(header_timeout_s=0.4)

    async def check() -> None:
        server = h1_server.Server(refuse_all, lambda: limits)
        address = server.bind_address("127.0.0.1:0")
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        started_s = time.monotonic()
        writer.write(start)
        answer = asyncio.create_task(reader.read())
        while not answer.done() and time.monotonic() - started_s < 10:
            writer.write(b"x")
            await asyncio.sleep(0.05)
        assert time.monotonic() - started_s <= 0.4 + MAX_LATE_S
        assert answer.done()
        assert b" 408 " in answer.result().split(b"\r\n")[0]
        writer.close()
        server.stop()

    asyncio.run(check())


def test_slow_but_sound_body_is_read_whole() -> None:
    limits = h1.Limits(header_timeout_s=0.4)
    bodies: list[bytes] = []

    async def keep(
        connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        bodies.append(request.body)
        await connection.respond(200, (), b"")

    async def check() -> None:
        server = h1_server.Server(keep, lambda: limits)
        address = server.bind_address("127.0.0.1:0")
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 32000\r\n\r\n"
        )
        # Far longer than the timeout in all.
        for _ in range(8):
            await asyncio.sleep(0.2)
            writer.write(b"x" * 4000)
        line = await reader.readline()
        assert b" 200 " in line
        assert bodies == [b"x" * 32000]
        writer.close()
        server.stop()

    asyncio.run(check())
