"""Clients that stop reading their answers for seconds, or for good.

Pattern: an endpoint sends fast, its client does not read. Endpoints cut such
answers off, and the gateway's memory is small.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import eliot
import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import app
from cyclamenwing.gateway import delivery
from cyclamenwing.gateway import handler
from cyclamenwing.gateway import reservation
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

PROMPT_TOKENS = 1000
TOKENS_PER_EVENT = 4
EVENTS = 400
EVENT_BYTES = 4096
SIZE = {
    "Token-Counts": b"%d,%d" % (PROMPT_TOKENS, EVENTS * TOKENS_PER_EVENT),
    "Deadline-Ms": b"8000",
}
SOCKET_BYTES = 65_536
FOLLOW_S = 0.3
PAUSE_S = 2.0
ENDPOINT_DONE_S = 1.0
CANCEL_S = 0.5
BOUND_BYTES = 2_000_000


def make_event(number: int) -> bytes:
    filler = b"%d" % (number % 10) * EVENT_BYTES
    return b"id: %d\ndata: %s\n\n" % (number, filler)


STREAM = b"".join(make_event(n) for n in range(1, EVENTS + 1))


class Runs:
    """Record how the runs at the endpoints end.

    :ivar pause_s: pause after each event
    :ivar cut_after: events after which the connection is cut, if any
    """

    def __init__(self) -> None:
        self.pause_s = 0.0
        self.cut_after: int | None = None
        self.done = 0
        self.cancelled = 0

    async def answer(
        self,
        connection: h1.ServerConnection,
        request: h1.Request,
        extra: h1.Headers,
    ) -> None:
        try:
            headers = platform_endpoint.make_headers(request, extra)
            await connection.start(h1.ResponseHead(200, b"", headers), None)
            for number in range(1, EVENTS + 1):
                await connection.write(make_event(number))
                await asyncio.sleep(self.pause_s)
                if number == self.cut_after:
                    connection.close()
                    return
            await connection.finish()
            self.done += 1
        except (errors.TransportError, asyncio.CancelledError):
            self.cancelled += 1
            raise


@pytest.fixture
def runs(monkeypatch: pytest.MonkeyPatch) -> Runs:
    recorded = Runs()
    monkeypatch.setitem(platform_endpoint.BEHAVIOURS, "serve", recorded.answer)
    return recorded


async def set_timeout(deployment: deployments.Deployment) -> None:
    """Let streams take longer than clients pause here."""
    routes = [
        deployments.make_route(
            "chat",
            "streaming",
            "llm",
            sticky=True,
            goal_ms=5000,
            timeout_ms=8000,
        ),
        deployments.make_route("write", "unsafe", "api", timeout_ms=8000),
    ]
    await deployment.store.put(
        "op/config", deployments.make_configuration(2, routes=routes)
    )
    await asyncio.sleep(FOLLOW_S)


async def open_unread(
    deployment: deployments.Deployment, headers: dict[str, bytes] = SIZE
) -> h1_client.ClientConnection:
    """Send a request whose answer its client does not read.

    The sockets on the way take in little.
    """
    server = deployment.gateways[0]._client_server
    known = set(server.connections)
    connection = await deployment.open("chat", b"POST", headers=headers)
    connection.stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES
    )
    while not (new := server.connections - known):
        await asyncio.sleep(0)
    for server_side in new:
        server_side.stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES
        )
    return connection


async def read_all(connection: h1_client.ClientConnection) -> bytes:
    head = await connection.read_head(5.0)
    assert head.status == 200
    return await connection.read_body(5.0, 2 * len(STREAM))


async def read_cut(connection: h1_client.ClientConnection) -> bytes:
    """Return what arrives of an answer that must not look complete."""
    body = b""
    with pytest.raises(errors.TransportError):
        await connection.read_head(5.0)
        while (data := await connection.read_data(5.0)) is not None:
            body += data
    return body


def record_drops(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    lines: list[dict[str, Any]] = []
    log_message = eliot.log_message

    def record(kind: str, **fields: Any) -> None:
        if kind == "answer:reader_dropped":
            lines.append(fields)
        log_message(kind, **fields)

    monkeypatch.setattr(eliot, "log_message", record)
    return lines


def record_spent(
    monkeypatch: pytest.MonkeyPatch, gateway: app.Gateway
) -> list[int]:
    spent: list[int] = []
    settle = gateway._reservations.settle

    def record(reserved: reservation.Reservation, spent_tokens: int) -> None:
        spent.append(spent_tokens)
        settle(reserved, spent_tokens)

    monkeypatch.setattr(gateway._reservations, "settle", record)
    return spent


# Guards against endpoints that wait for clients: they cut off answers that
# stay unread, and their connections are needed for other requests.
def test_client_that_pauses_gets_its_whole_answer_later(
    monkeypatch: pytest.MonkeyPatch, runs: Runs
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            gateway = deployment.gateways[0]
            spent = record_spent(monkeypatch, gateway)
            started_s = time.monotonic()
            connection = await open_unread(deployment)
            while not runs.done:
                await asyncio.sleep(0.01)
                assert time.monotonic() - started_s < ENDPOINT_DONE_S
            await asyncio.sleep(0.05)
            board = gateway.board
            running = sum(
                len(board.placement.ensure_state(endpoint).in_flight)
                for endpoint in board.directory.registered.values()
            )
            assert (board.active_requests, running) == (1, 0)
            assert any(gateway._connections._idle.values())
            await asyncio.sleep(PAUSE_S)
            assert not spent
            assert await read_all(connection) == STREAM
            connection.close()
            await asyncio.sleep(0.05)
            expected = PROMPT_TOKENS + EVENTS * TOKENS_PER_EVENT
            assert spent == [expected]
            assert gateway._handler._held_answers.bounds.held_bytes == 0

    asyncio.run(check())


# Guards against an answer that is here, but cut off at the deadline.
def test_complete_answer_is_delivered_after_its_deadline(runs: Runs) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            connection = await open_unread(
                deployment, SIZE | {"Deadline-Ms": b"800"}
            )
            await asyncio.sleep(0.8 + delivery.WRITE_MARGIN_S + 0.3)
            assert runs.done == 1
            assert await read_all(connection) == STREAM
            connection.close()

    asyncio.run(check())


# Guards against connections that are kept for clients which never read.
def test_complete_answer_that_is_never_read_is_given_up(
    monkeypatch: pytest.MonkeyPatch, runs: Runs
) -> None:
    monkeypatch.setattr(delivery, "WRITE_MARGIN_S", 0.1)
    monkeypatch.setattr(delivery, "MAX_PAUSE_S", 0.5)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            board = deployment.gateways[0].board
            connection = await open_unread(
                deployment, SIZE | {"Deadline-Ms": b"800"}
            )
            while not runs.done:
                await asyncio.sleep(0.01)
            async with asyncio.timeout(2.0):
                while board.active_requests:
                    await asyncio.sleep(0.01)
            assert len(await read_cut(connection)) < len(STREAM)
            connection.close()

    asyncio.run(check())


# Guards against charging events that were read ahead but not delivered, and
# against delivering events that are not charged.
def test_events_that_were_only_held_are_not_charged(
    monkeypatch: pytest.MonkeyPatch, runs: Runs
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            spent = record_spent(monkeypatch, deployment.gateways[0])
            connection = await open_unread(deployment)
            while not runs.done:
                await asyncio.sleep(0.01)
            await connection.read_head(5.0)
            received = b""
            while received.count(b"\n\n") < EVENTS // 4:
                received += await connection.read_data(5.0) or b""
            connection.close()
            async with asyncio.timeout(CANCEL_S):
                while not spent:
                    await asyncio.sleep(0.01)
            events = (spent[0] - PROMPT_TOKENS) / TOKENS_PER_EVENT
            assert received.count(b"\n\n") <= events < EVENTS / 2

    asyncio.run(check())


@pytest.mark.parametrize("reads", [True, False])
def test_client_that_leaves_cancels_its_run(runs: Runs, reads: bool) -> None:
    runs.pause_s = 0.01

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            connection = await open_unread(deployment)
            await asyncio.sleep(1.2)
            if reads:
                await connection.read_head(1.0)
                await connection.read_data(1.0)
            held = deployment.gateways[0]._handler._held_answers
            assert held.bounds.held_bytes
            connection.close()
            async with asyncio.timeout(CANCEL_S):
                while not runs.cancelled:
                    await asyncio.sleep(0.01)
            assert deployment.gateways[0].board.active_requests == 0
            assert held.bounds.held_bytes == 0

    asyncio.run(check())


# Guards against memory without a bound, and against dropping the answers of
# clients that read, or that stopped reading last.
def test_those_unread_for_longest_are_dropped_at_the_bound(
    monkeypatch: pytest.MonkeyPatch, runs: Runs
) -> None:
    lines = record_drops(monkeypatch)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            gateway = deployment.gateways[0]
            held = gateway._handler._held_answers
            held.bounds.max_bytes = BOUND_BYTES
            largest = 0

            async def watch() -> None:
                nonlocal largest
                while True:
                    largest = max(largest, held.bounds.held_bytes)
                    await asyncio.sleep(0)

            watching = asyncio.ensure_future(watch())
            runs.pause_s = 0.01
            early = [await open_unread(deployment) for _ in range(2)]
            await asyncio.sleep(2.0)
            reading = asyncio.ensure_future(
                deployment.open("chat", b"POST", headers=SIZE)
            )
            reader = asyncio.ensure_future(read_all(await reading))
            late = [await open_unread(deployment) for _ in range(2)]
            counts = gateway.board.metrics.counts
            async with asyncio.timeout(5.0):
                while (
                    delivery.DROPPED not in counts
                    or counts[delivery.DROPPED][()] < 2
                ):
                    await asyncio.sleep(0.01)
            whole = await asyncio.gather(
                reader, *(read_all(connection) for connection in late)
            )
            assert whole == [STREAM] * 3
            watching.cancel()
            cut = [await read_cut(connection) for connection in early]
            assert all(len(body) < len(STREAM) for body in cut)
            dropped = counts[delivery.DROPPED][()]
            assert (dropped, runs.cancelled, runs.done) == (2, 2, 3)
            assert BOUND_BYTES / 2 < largest <= BOUND_BYTES
            assert len(lines) == 2
            for line in lines:
                assert line["request"] == "r1"
                assert 0 < line["bytes"] < BOUND_BYTES < line["total"]
                assert line["unread_s"] > 0
            for connection in [*early, *late]:
                connection.close()

    asyncio.run(check())


# Guards against memory that stays counted for answers that never began.
def test_body_read_for_a_client_that_leaves_is_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def answer_by_and_by(
        connection: h1.ServerConnection, request: h1.Request, _: h1.Headers
    ) -> None:
        headers = platform_endpoint.make_headers(request)
        await connection.start(h1.ResponseHead(200, b"", headers), 1_000_000)
        while True:
            await connection.write(b"x" * 1000)
            await asyncio.sleep(0.02)

    monkeypatch.setitem(
        platform_endpoint.BEHAVIOURS, "serve", answer_by_and_by
    )

    async def check() -> None:
        async with deployments.deploy() as deployment:
            held = deployment.gateways[0]._handler._held_answers
            connection = await deployment.open("write", b"POST")
            await asyncio.sleep(0.3)
            assert held.bounds.held_bytes > 1000
            connection.close()
            await asyncio.sleep(CANCEL_S)
            assert held.bounds.held_bytes == 0

    asyncio.run(check())


# Guards against losing the events that arrived before an endpoint was lost.
def test_events_held_of_a_stream_that_breaks_are_delivered_first(
    monkeypatch: pytest.MonkeyPatch, runs: Runs
) -> None:
    runs.cut_after = EVENTS // 2

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            spent = record_spent(monkeypatch, deployment.gateways[0])
            connection = await open_unread(deployment)
            await asyncio.sleep(1.0)
            received = await read_cut(connection)
            begun = [make_event(n) for n in range(1, EVENTS // 2 + 1)]
            assert received == b"".join(begun)
            connection.close()
            await asyncio.sleep(0.05)
            expected = PROMPT_TOKENS + EVENTS // 2 * TOKENS_PER_EVENT
            assert spent == [expected]

    asyncio.run(check())


# Guards against an outcome that hides the lost endpoint.
def test_broken_stream_that_is_never_read_keeps_its_outcome(
    runs: Runs,
) -> None:
    runs.cut_after = EVENTS // 2

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            board = deployment.gateways[0].board
            connection = await open_unread(
                deployment, SIZE | {"Deadline-Ms": b"1000"}
            )
            started_s = time.monotonic()
            await asyncio.sleep(0.1)
            while board.active_requests:
                await asyncio.sleep(0.01)
            assert 0.9 < time.monotonic() - started_s < 1.5
            counts = board.metrics.counts[handler.REQUESTS]
            assert counts["stream", "answer_lost"] == 1
            assert len(await read_cut(connection)) < len(STREAM)
            connection.close()

    asyncio.run(check())


# Guards against an answer that is here, but cut as the process stops.
def test_held_answer_is_delivered_while_the_process_stops(
    monkeypatch: pytest.MonkeyPatch, runs: Runs
) -> None:
    # The grace ends before the client reads. The bound of the last answers is
    # long, so that a busy machine does not decide the outcome.
    monkeypatch.setattr(app, "SHUTDOWN_MARGIN_S", 3.4)
    monkeypatch.setattr(app, "FINAL_ANSWERS_TIMEOUT_S", 4.0)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            gateway = deployment.gateways[0]
            connection = await open_unread(deployment)
            while not runs.done:
                await asyncio.sleep(0.01)
            closing = asyncio.ensure_future(gateway.close())
            await asyncio.sleep(PAUSE_S)
            assert await read_all(connection) == STREAM
            connection.close()
            await closing
            assert gateway.board.active_requests == 0

    asyncio.run(check())


# Guards against a process that waits for such clients beyond its grace.
def test_process_ends_in_time_beside_a_client_that_never_reads(
    runs: Runs,
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            await set_timeout(deployment)
            gateway = deployment.gateways[0]
            connection = await open_unread(deployment)
            while not runs.done:
                await asyncio.sleep(0.01)
            started_s = time.monotonic()
            await gateway.close()
            grace_s = gateway._settings.bounds.grace_s
            assert time.monotonic() - started_s <= grace_s
            assert len(await read_cut(connection)) < len(STREAM)
            connection.close()

    asyncio.run(check())
