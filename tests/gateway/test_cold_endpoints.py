"""Endpoints that are cold: new, restarted, or cold again without a restart.

Pattern: several gateways under load send to an endpoint with an empty queue
at the same moment, and it crashes well above the rate that it tolerates.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from collections.abc import AsyncIterator
from collections.abc import Iterable
from typing import Any

import eliot
import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import cold_notices
from cyclamenwing.routing import endpoints
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

GATEWAYS = 4
COLD_S = 2.0
COLD_PER_S = 5.6
# Default bounds of the settings: 1.5 x 5.6 and 5.
BOUND = 13
# An hour: these endpoints are not new.
OLD_MS = 3_600_000
# Gossip and the watch take some rounds.
HEARD_S = 0.8


@contextlib.asynccontextmanager
async def deploy(
    gateways: int = GATEWAYS, cold_s: float = COLD_S
) -> AsyncIterator[deployments.Deployment]:
    """Start gateways and warm endpoints, with a service that may be cold."""
    async with deployments.deploy(gateways) as deployment:
        for endpoint in deployment.endpoints:
            endpoint.started_ms -= OLD_MS
            await register(deployment, endpoint)
        await deployment.store.put(
            "op/config",
            deployments.make_configuration(
                2,
                services=[
                    {
                        "name": "api",
                        "cold_s": cold_s,
                        "cold_per_s": COLD_PER_S,
                    },
                    {"name": "llm"},
                ],
            ),
        )
        async with asyncio.timeout(5.0):
            while any(
                g.board.configuration is None
                or g.board.configuration.version < 2
                or count_new(g.board.directory.registered.values())
                for g in deployment.gateways
            ):
                await asyncio.sleep(0.02)
        # Gateways that have just started send nothing to cold endpoints.
        await asyncio.sleep(2.1)
        yield deployment


def count_new(entries: Iterable[endpoints.Endpoint]) -> int:
    old_ms = time.time() * 1000 - OLD_MS / 2
    return sum(e.started_ms > old_ms for e in entries)


async def register(
    deployment: deployments.Deployment,
    endpoint: platform_endpoint.EndpointStandin,
) -> None:
    await deployment.store.put(f"servers/{endpoint.name}", endpoint.describe())


async def start_new(
    deployment: deployments.Deployment, name: str, cold_left_ms: int
) -> platform_endpoint.EndpointStandin:
    endpoint = platform_endpoint.EndpointStandin(name, "api")
    endpoint.cold_left_ms = cold_left_ms
    deployment.endpoints.append(endpoint)
    endpoint.listen()
    await register(deployment, endpoint)
    return endpoint


async def send_steadily(
    deployment: deployments.Deployment, gateway: int, duration_s: float
) -> None:
    """Send 40 requests a second to a gateway, whether answered or not."""

    async def send() -> None:
        with contextlib.suppress(transport_errors.TransportError):
            await deployment.send("read", gateway=gateway)

    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    sent = []
    while loop.time() < end_s:
        sent.append(asyncio.ensure_future(send()))
        await asyncio.sleep(1 / 40)
    await asyncio.gather(*sent)


@contextlib.asynccontextmanager
async def load(
    deployment: deployments.Deployment, duration_s: float
) -> AsyncIterator[None]:
    """Send steadily to all gateways, more than the endpoints run at once."""
    for endpoint in deployment.endpoints:
        endpoint.pause_s = 0.1
    tasks = [
        asyncio.ensure_future(send_steadily(deployment, number, duration_s))
        for number in range(len(deployment.gateways))
    ]
    try:
        yield
        await asyncio.gather(*tasks)
    finally:
        for task in tasks:
            task.cancel()


def count_most(
    endpoint: platform_endpoint.EndpointStandin, from_s: float, to_s: float
) -> int:
    """Return the most arrivals in a second within a span."""
    times = [t for t in endpoint.arrival_times if from_s <= t < to_s]
    return max(
        (sum(start <= t < start + 1.0 for t in times) for start in times),
        default=0,
    )


# Guards against gateways that do not read the remaining time in an entry, or
# send before they have applied it.
def test_endpoint_that_registers_cold_gets_few_requests() -> None:
    async def check() -> None:
        async with deploy() as deployment, load(deployment, 4.0):
            await asyncio.sleep(0.5)
            new = await start_new(deployment, "a3", int(COLD_S * 1000))
            started_s = time.monotonic()
            await asyncio.sleep(COLD_S)
            most = count_most(new, started_s, started_s + COLD_S)
            # Some, as the senders use it, and not as many as there are.
            assert 0 < most <= BOUND

    asyncio.run(check())


# Guards against an entry that says nothing of the cold time.
def test_start_time_alone_makes_an_endpoint_cold() -> None:
    async def check() -> None:
        async with deploy() as deployment, load(deployment, 3.0):
            new = await start_new(deployment, "a3", 0)
            started_s = time.monotonic()
            await asyncio.sleep(COLD_S)
            assert count_most(new, started_s, started_s + COLD_S) <= BOUND

    asyncio.run(check())


# Guards against retries of all gateways at the moment when a crashed endpoint
# listens again, with the entry of its former process. If the store is away,
# that entry stays.
@pytest.mark.parametrize("store_status", [0, 503])
def test_endpoint_that_comes_back_under_its_name_gets_no_burst(
    store_status: int,
) -> None:
    async def check() -> None:
        async with deploy() as deployment, load(deployment, 5.0):
            first, _ = deployment.get_endpoints("api")
            await asyncio.sleep(0.5)
            deployment.store.error_status = store_status
            first.stop()
            await asyncio.sleep(HEARD_S)
            for gateway in deployment.gateways:
                directory = gateway.board.directory
                endpoint = directory.registered[first.name]
                assert directory.limits.cold.starts.read(
                    endpoint.incarnation, clock.read_time()
                )
            first.restart()
            back_s = time.monotonic()
            await asyncio.sleep(COLD_S)
            assert 0 < count_most(first, back_s, back_s + COLD_S) <= BOUND

    asyncio.run(check())


# Guards against gateways that take a changed remaining time for an unchanged
# entry, as name, address and start time are the same.
def test_endpoint_that_turns_cold_without_a_restart_gets_few_requests() -> (
    None
):
    async def check() -> None:
        async with deploy() as deployment, load(deployment, 4.0):
            first, _ = deployment.get_endpoints("api")
            await asyncio.sleep(0.5)
            first.cold_left_ms = 2500
            await register(deployment, first)
            # The requests from before leave the window in a second.
            from_s = time.monotonic() + HEARD_S
            await asyncio.sleep(2.4)
            assert count_most(first, from_s, from_s + 1.6) <= BOUND

    asyncio.run(check())


# Guards against gateways that know the cold time from entries alone.
def test_cold_time_in_an_answer_reaches_gateways_that_it_did_not_tell() -> (
    None
):
    async def check() -> None:
        async with deploy(cold_s=0.5) as deployment:
            for endpoint in deployment.get_endpoints("api"):
                endpoint.cold_ms = b"5000"
            for _ in range(4):
                await deployment.send("read", gateway=0)
            await asyncio.sleep(1.5)
            for gateway in deployment.gateways[1:]:
                directory = gateway.board.directory
                cold = {
                    entry.name
                    for entry in directory.registered.values()
                    if directory.limits.cold.starts.measure_cold(
                        entry.incarnation, clock.read_time()
                    )
                    > 2
                }
                assert cold and cold <= {"a1", "a2"}

    asyncio.run(check())


# Guards against a zone whose endpoints all come back cold at once.
def test_burst_at_a_zone_that_returns_cold_is_refused_at_once() -> None:
    async def check() -> None:
        async with deploy() as deployment:
            for gateway in deployment.gateways:
                directory = gateway.board.directory
                marked = directory.mark_cold(
                    [e.incarnation for e in directory.registered.values()],
                    None,
                    "evacuation",
                    clock.read_time(),
                )
                assert {i.name for i in marked} == {"a1", "a2"}
            started_s = time.monotonic()
            answers = await asyncio.gather(
                *(
                    deployment.send("write", gateway=number)
                    for number in itertools.islice(
                        itertools.cycle(range(GATEWAYS)), 200
                    )
                )
            )
            assert time.monotonic() - started_s < COLD_S
            for endpoint in deployment.get_endpoints("api"):
                assert count_most(endpoint, 0.0, 1e12) <= BOUND
            returns = set()
            for head, body in answers:
                if head.status == 200:
                    continue
                assert head.status == 503
                assert b'"endpoints_waiting"' in body
                assert b'"run":"not_run"' in body
                value = h1.find_header(head.headers, b"retry-after")
                assert value is not None
                returns.add(float(value))
            assert min(returns) > 0
            # Spread, and not beyond the growth of the limit.
            assert len(returns) > 20
            assert max(returns) <= COLD_S + 1.2

    asyncio.run(check())


# Guards against a gateway that starts while an endpoint is cold and uses it
# before it knows the other gateways.
def test_gateway_that_has_just_started_sends_nothing_to_cold_endpoints() -> (
    None
):
    async def check() -> None:
        async with deploy(3, cold_s=30.0) as deployment:
            new = await start_new(deployment, "a3", 30_000)
            await asyncio.sleep(HEARD_S)
            await deployment.add_gateway("g9", with_record=False)
            head, _ = await deployment.send("read", gateway=3)
            for _ in range(20):
                head, _ = await deployment.send("read", gateway=3)
                assert head.status == 200
            assert new.arrivals == 0

    asyncio.run(check())


# Guards against requests that were on their way when it became known.
def test_cold_time_known_during_a_connect_holds_for_that_request() -> None:
    async def check() -> None:
        async with deploy(1) as deployment:
            directory = deployment.gateways[0].board.directory
            pool = deployment.gateways[0]._connections
            acquire = pool.acquire

            async def acquire_late(
                endpoint: endpoints.Endpoint, repeatable: bool, wait_s: float
            ) -> h1_client.ClientConnection:
                connection = await acquire(endpoint, repeatable, wait_s)
                directory.mark_cold(
                    [e.incarnation for e in directory.registered.values()],
                    None,
                    "test",
                    clock.read_time(),
                )
                return connection

            pool.acquire = acquire_late  # type: ignore[method-assign]
            head, body = await deployment.send("read")
            assert head.status == 503
            assert b'"run":"not_run"' in body
            assert [e.arrivals for e in deployment.endpoints] == [0] * 4

    asyncio.run(check())


# Guards against limits where the configuration has none: all is as before.
@pytest.mark.parametrize("rate", [{}, {"cold_s": 3.0}, {"cold_per_s": 5.6}])
def test_service_without_cold_limits_uses_all_endpoints(
    rate: dict[str, float],
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            await deployment.store.put(
                "op/config",
                deployments.make_configuration(
                    2, services=[{"name": "api"} | rate, {"name": "llm"}]
                ),
            )
            for endpoint in deployment.get_endpoints("api"):
                endpoint.cold_left_ms = 60_000
                endpoint.cold_ms = b"60000"
                await register(deployment, endpoint)
            await asyncio.sleep(0.5)
            for _ in range(40):
                head, _ = await deployment.send("read")
                assert head.status == 200
            directory = deployment.gateways[0].board.directory
            assert not directory.limits.any_limited
            used = [e.arrivals for e in deployment.get_endpoints("api")]
            assert sum(used) == 40
            assert max(used) > BOUND

    asyncio.run(check())


# Guards against a gateway that is killed while it is a sender, and whose
# successors send beside it or not at all.
def test_gateway_that_is_killed_leaves_the_limit_to_the_others() -> None:
    async def check() -> None:
        async with deploy(cold_s=8.0) as deployment:
            new = await start_new(deployment, "a3", 8000)
            started_s = time.monotonic()
            async with load(deployment, 7.0):
                await asyncio.sleep(1.0)
                deployment.gateways[0].stop()
            assert count_most(new, started_s, started_s + 8.0) <= BOUND
            assert any(t > started_s + 5.0 for t in new.arrival_times)

    asyncio.run(check())


def test_start_and_end_of_the_cold_time_are_logged() -> None:
    log: list[dict[str, Any]] = []

    async def check() -> None:
        async with deploy(1) as deployment:
            log.clear()
            await start_new(deployment, "a3", 500)
            async with asyncio.timeout(10.0):
                while not any(
                    line["message_type"] == "endpoint:warm" for line in log
                ):
                    await asyncio.sleep(0.1)

    eliot.add_destinations(log.append)
    try:
        asyncio.run(check())
    finally:
        eliot.remove_destination(log.append)
    cold = [x for x in log if x["message_type"] == "endpoint:cold"]
    warm = [x for x in log if x["message_type"] == "endpoint:warm"]
    assert [x["endpoint"] for x in cold] == ["a3"]
    assert cold[0]["source"] == "entry"
    assert 0 < cold[0]["left_s"] <= 0.5
    assert cold[0]["limit_rps"] == COLD_PER_S
    assert 0 < cold[0]["allowed_rps"] < COLD_PER_S
    assert [x["endpoint"] for x in warm] == ["a3"]


@pytest.mark.parametrize(
    ("cause", "cold"),
    [
        (ConnectionRefusedError(), True),
        (ConnectionResetError(), False),
        (TimeoutError(), False),
    ],
)
def test_only_refused_connections_are_evidence(
    cause: OSError, cold: bool
) -> None:
    """Guards against limits on endpoints that reset connections when full."""

    async def check() -> None:
        async with deploy(1) as deployment:
            board = deployment.gateways[0].board
            endpoint = board.directory.registered["a1"]
            error = transport_errors.ConnectFailedError("failed")
            error.__cause__ = cause
            cold_notices.record_failed(board, endpoint, error)
            limit = board.directory.limits.cold.starts.read(
                endpoint.incarnation, clock.read_time()
            )
            assert (limit is not None) == cold

    asyncio.run(check())


def test_endpoints_of_a_restored_zone_are_cold() -> None:
    """Guards against a burst at endpoints that were cold when it ended."""

    async def check() -> None:
        async with deploy(2) as deployment:
            await deployment.store.put("op/evacuate/z1", b"{}")
            boards = [g.board for g in deployment.gateways]
            async with asyncio.timeout(5.0):
                while not all(b.directory.evacuations.active for b in boards):
                    await asyncio.sleep(0.02)
                await deployment.store.put("op/evacuate/z1", None)
                while any(b.directory.evacuations.active for b in boards):
                    await asyncio.sleep(0.02)
            for board in boards:
                for endpoint in board.directory.registered.values():
                    limit = board.directory.limits.cold.starts.read(
                        endpoint.incarnation, clock.read_time()
                    )
                    # The other service has no cold limits.
                    assert (limit is not None) == (endpoint.service == "api")

    asyncio.run(check())
