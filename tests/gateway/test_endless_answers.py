"""Endpoints whose answers never end, and clients that read no more.

Patterns: a refusal's body without end; a stream that sends a byte now and
then; events without end; a client that stops reading its answer.
"""

from __future__ import annotations

import asyncio
import socket
import time

import msgspec
import pytest
from tests.gateway import deployments
from tests.transport import floods

from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
FOLLOW_S = 0.3
DEADLINE_S = 0.8
MAX_LATE_S = 0.25
MAX_STANDSTILL_S = 0.12
EVENTS = floods.FORMS["chunked events"]
# Large enough to fill the buffers of a connection before the deadline.
LARGE_EVENTS = (floods.UNBOUNDED, b"id: 7\ndata: %s\n\n" % (b"7" * 16_384))


async def replace_address(
    deployment: deployments.Deployment, name: str, address: str
) -> None:
    """Let another server answer for an endpoint."""
    for endpoint in deployment.endpoints:
        if endpoint.name == name:
            entry = msgspec.json.decode(endpoint.describe())
            entry["address"] = address
            await deployment.store.put(
                f"servers/{name}", msgspec.json.encode(entry)
            )
    await asyncio.sleep(FOLLOW_S)


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
def test_refusal_without_end_does_not_delay_the_next_endpoint(
    pause_s: float,
) -> None:
    refusal = b"HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n\r\n"

    async def check() -> None:
        async with deployments.deploy() as deployment:
            flood = floods.Flood(refusal, b"x" * 4096, pause_s)
            try:
                await replace_address(deployment, "a1", flood.address)
                for _ in range(6):
                    started_s = time.monotonic()
                    head, _ = await deployment.send("read")
                    assert head.status == 200
                    assert time.monotonic() - started_s < MAX_LATE_S
                assert flood.sent_bytes
            finally:
                flood.stop()

    asyncio.run(check())


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_stream_that_sends_a_byte_now_and_then_ends_at_its_deadline(
    route: str,
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            deployment.set_behaviour("llm", "drip")
            started_s = time.monotonic()
            deadline = {"Deadline-Ms": b"%d" % (DEADLINE_S * 1000)}
            head, _ = await deployment.send(route, headers=SIZE | deadline)
            assert head.status == 504
            assert time.monotonic() - started_s <= DEADLINE_S + MAX_LATE_S
            await asyncio.sleep(0.1)
            assert deployment.gateways[0].board.active_requests == 0

    asyncio.run(check())


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_slow_but_sound_stream_is_not_cut(route: str) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            deployment.set_behaviour("llm", "slow")
            await deployment.store.put(
                "op/config",
                deployments.make_configuration(
                    2,
                    routes=[
                        deployments.make_route(
                            route,
                            "streaming",
                            "llm",
                            sticky=True,
                            attempts=2,
                            goal_ms=100,
                            timeout_ms=8000,
                            resumable=route == "resume",
                        )
                    ],
                ),
            )
            await asyncio.sleep(FOLLOW_S)
            head, body = await deployment.send(
                route, headers=SIZE | {"Deadline-Ms": b"8000"}
            )
            assert head.status == 200
            assert body.count(b"data:") == platform_endpoint.STREAM_EVENTS

    asyncio.run(check())


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_events_without_end_stop_at_the_deadline(route: str) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            flood = floods.Flood(*EVENTS)
            try:
                for name in ("m1", "m2"):
                    await replace_address(deployment, name, flood.address)
                deadline = {"Deadline-Ms": b"%d" % (DEADLINE_S * 1000)}
                async with floods.LoopWatch() as watch:
                    started_s = time.monotonic()
                    connection = await deployment.open(
                        route, b"POST", headers=SIZE | deadline
                    )
                    await connection.read_head(5.0)
                    # The answer must not look complete.
                    with pytest.raises(errors.TransportError):
                        while await connection.read_data(5.0) is not None:
                            pass
                    elapsed_s = time.monotonic() - started_s
                    connection.close()
                assert elapsed_s <= DEADLINE_S + MAX_LATE_S
                assert watch.longest_s <= MAX_STANDSTILL_S
            finally:
                flood.stop()

    asyncio.run(check())


def test_client_that_reads_no_more_is_left_after_its_deadline() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            flood = floods.Flood(*LARGE_EVENTS)
            board = deployment.gateways[0].board
            try:
                for name in ("m1", "m2"):
                    await replace_address(deployment, name, flood.address)
                deadline = {"Deadline-Ms": b"%d" % (DEADLINE_S * 1000)}
                connection = await deployment.open(
                    "chat", b"POST", headers=SIZE | deadline
                )
                connection.stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
                )
                started_s = time.monotonic()
                while not board.active_requests:
                    await asyncio.sleep(0.01)
                while board.active_requests:
                    await asyncio.sleep(0.01)
                    assert time.monotonic() - started_s < DEADLINE_S + 1.5
                connection.close()
            finally:
                flood.stop()

    asyncio.run(check())
