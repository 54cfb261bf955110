"""Endpoints that name a limit for what all gateways together send.

Pattern: an overloaded endpoint names a rate in its answers, each gateway hears
it at another time, and the sum of what all send must keep to it.
"""

from __future__ import annotations

import asyncio
from typing import Any

import eliot
from tests.gateway import deployments

from cyclamenwing.standin import platform_endpoint

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


def test_limit_that_an_endpoint_names_is_logged_once() -> None:
    log: list[dict[str, Any]] = []

    async def check() -> None:
        async with deployments.deploy() as deployment:
            for limit in (b"2.5", b"2.5", b"no rate", b"no rate", b""):
                for endpoint in deployment.get_endpoints("api"):
                    endpoint.limit = limit
                for _ in range(4):
                    await deployment.send("read")

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
    for name in {line[0] for line in lines}:
        assert [line[1:] for line in lines if line[0] == name] == [
            (2.5, False),
            (None, True),
            (None, False),
        ]
    assert lines
