"""Endpoints that name a limit for what all gateways together send.

Pattern: an overloaded endpoint names a rate in its answers, each gateway hears
it at another time, and the sum of what all send must keep to it.
"""

from __future__ import annotations

import asyncio
from typing import Any

import eliot
from tests.gateway import deployments

from cyclamenwing.gateway import clock
from cyclamenwing.routing import endpoints
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

GATEWAYS = 4
WINDOW_S = 4.0
# Time after the first naming of a limit from which it binds.
STABLE_S = 3.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


async def send_steadily(
    deployment: deployments.Deployment, gateway: int, duration_s: float
) -> None:
    """Send requests to a gateway, six a second."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        await deployment.send("read", gateway=gateway)
        await asyncio.sleep(1 / 6)


def count_most(times: list[float], from_s: float) -> int:
    """Return the most arrivals in a window that starts after a time."""
    later = [t for t in times if t >= from_s]
    return max(
        (sum(start <= t < start + WINDOW_S for t in later) for start in later),
        default=0,
    )


def check_limit(
    endpoint: platform_endpoint.EndpointStandin, named_s: float
) -> None:
    limit_rps = float(endpoint.limit)
    allowed = EXCESS_FACTOR * limit_rps * WINDOW_S + EXCESS_REQUESTS
    arrived = count_most(endpoint.arrival_times, named_s + STABLE_S)
    assert arrived <= allowed, (endpoint.name, arrived)


# Guards against gateways that ignore an endpoint's limit, or that keep the
# whole of it each.
def test_sum_of_all_gateways_keeps_to_the_limit_of_an_endpoint() -> None:
    async def check() -> None:
        async with deployments.deploy(GATEWAYS) as deployment:
            first, second = deployment.get_endpoints("api")
            loop = asyncio.get_running_loop()
            first.limit = b"1"
            named_s = loop.time()
            await asyncio.gather(
                *(
                    send_steadily(deployment, number, 9.0)
                    for number in range(GATEWAYS)
                )
            )
            check_limit(first, named_s)
            assert len(second.runs) > GATEWAYS * 9

    asyncio.run(check())


def test_limit_of_an_endpoint_reaches_gateways_that_it_did_not_tell() -> None:
    async def check() -> None:
        async with deployments.deploy(GATEWAYS) as deployment:
            for endpoint in deployment.get_endpoints("api"):
                endpoint.limit = b"2"
            for _ in range(4):
                await deployment.send("read", gateway=0)
            await asyncio.sleep(1.5)
            for gateway in deployment.gateways[1:]:
                assert gateway.board.directory.limits.count_limited()

    asyncio.run(check())


# Guards against requests that were on their way when the limit was named.
def test_limit_named_during_a_connect_holds_for_that_request() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            directory = deployment.gateways[0].board.directory
            pool = deployment.gateways[0]._connections
            acquire = pool.acquire

            async def acquire_late(
                endpoint: endpoints.Endpoint, repeatable: bool, wait_s: float
            ) -> h1_client.ClientConnection:
                connection = await acquire(endpoint, repeatable, wait_s)
                now_s = clock.read_time()
                directory.limits.record_answer(
                    endpoint.incarnation, 1.0, now_s, now_s
                )
                return connection

            pool.acquire = acquire_late  # type: ignore[method-assign]
            head, body = await deployment.send("read")
            assert head.status == 503
            assert b'"run":"not_run"' in body
            assert [e.arrivals for e in deployment.endpoints] == [0] * 4

    asyncio.run(check())


def test_limits_of_all_endpoints_refuse_at_once_and_say_when_to_return() -> (
    None
):
    async def check() -> None:
        async with deployments.deploy(GATEWAYS) as deployment:
            for endpoint in deployment.get_endpoints("api"):
                endpoint.limit = b"2"
            for _ in range(6):
                await deployment.send("read")
            runs = deployment.count_runs("api")
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            returns = []
            for _ in range(8):
                head, body = await deployment.send("write")
                assert head.status == 503
                assert b'"run":"not_run"' in body
                value = h1.find_header(head.headers, b"retry-after")
                assert value is not None
                returns.append(float(value))
            # Far less than the latency goal for each.
            assert loop.time() - started_s < 8 * 0.1
            assert deployment.count_runs("api") == runs
            assert min(returns) > 0
            assert len(set(returns)) > 1

    asyncio.run(check())


def test_limit_that_ends_gives_the_endpoint_back() -> None:
    async def check() -> None:
        async with deployments.deploy(GATEWAYS) as deployment:
            first, second = deployment.get_endpoints("api")
            second.stop()
            await deployment.store.put("servers/a2", None)
            first.limit = b"5"
            for number in range(GATEWAYS):
                await deployment.send("read", gateway=number)
            first.limit = b""
            # Senders get answers without a limit and tell the others.
            async with asyncio.timeout(10.0):
                while any(
                    g.board.directory.limits.count_limited()
                    for g in deployment.gateways
                ):
                    for number in range(GATEWAYS):
                        await deployment.send("read", gateway=number)
                    await asyncio.sleep(0.1)
            for number in range(GATEWAYS):
                for _ in range(10):
                    head, _ = await deployment.send("read", gateway=number)
                    assert head.status == 200

    asyncio.run(check())


def test_changes_of_a_limit_are_logged_once() -> None:
    log: list[dict[str, Any]] = []

    async def check() -> None:
        async with deployments.deploy() as deployment:
            for limit in (b"500", b"500", b"no rate", b"no rate", b""):
                for endpoint in deployment.get_endpoints("api"):
                    endpoint.limit = limit
                for _ in range(8):
                    await deployment.send("read")
                    # The limit allows a request in 2.5 ms.
                    await asyncio.sleep(0.02)

    eliot.add_destinations(log.append)
    log.clear()
    try:
        asyncio.run(check())
    finally:
        eliot.remove_destination(log.append)
    lines = [
        (line["endpoint"], line["limit_rps"], line["unreadable"])
        for line in log
        if line["message_type"] == "endpoint:limit"
    ]
    assert lines
    for name in {line[0] for line in lines}:
        assert [line[1:] for line in lines if line[0] == name] == [
            (500.0, False),
            (None, True),
            (None, False),
        ]
