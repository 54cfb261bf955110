"""Load in which one part of many prompts crashes each endpoint that runs it.

The requests with this part are all different and come at any gateway. Sound
requests come beside them, with the same key and the same first part.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from tests.gateway import deployments

from cyclamenwing.standin import platform_endpoint

POISON = "poison"
ENDPOINTS = 16
# Endpoints that may end under one part until all gateways refuse it.
MAX_ENDED = 5
REQUESTS = 12
# Longest time until all gateways know of a crash.
SETTLE_S = 0.8

Check = Callable[[deployments.Deployment], Coroutine[None, None, None]]


def run(check: Check, gateways: int = 4) -> None:
    async def run_check() -> None:
        async with deployments.deploy(gateways) as deployment:
            for number in range(ENDPOINTS):
                await add_endpoint(deployment, f"c{number}")
            await asyncio.sleep(0.3)
            await check(deployment)

    asyncio.run(run_check())


async def add_endpoint(deployment: deployments.Deployment, name: str) -> None:
    endpoint = platform_endpoint.EndpointStandin(name, "llm")
    endpoint.listen()
    deployment.endpoints.append(endpoint)
    await deployment.store.put(f"servers/{name}", endpoint.describe())


def make_headers(number: int, *parts: str) -> dict[str, bytes]:
    """Return the headers of a request with parts and a last part of its own.

    :param number: differs for each request
    """
    names = ["first", *parts, f"last{number}"]
    return {
        "Request-Id": b"r%d" % number,
        "Token-Counts": b"%d,20" % (10 * len(names)),
        "Prompt-Prefix": ",".join(f"{name}:10" for name in names).encode(),
    }


async def send(
    deployment: deployments.Deployment, number: int, *parts: str
) -> int:
    """Send a request to a gateway, each number to the next one."""
    head, _ = await deployment.send(
        "chat",
        gateway=number % len(deployment.gateways),
        headers=make_headers(number, *parts),
    )
    return head.status


def set_poison(deployment: deployments.Deployment) -> None:
    for endpoint in deployment.get_endpoints("llm"):
        endpoint.poison_part = POISON.encode()


def count_ended(deployment: deployments.Deployment) -> int:
    return sum(
        POISON.encode() in platform_endpoint.read_parts(request)
        for endpoint in deployment.get_endpoints("llm")
        for request in endpoint.runs
    )


def test_part_that_crashes_endpoints_is_refused_at_all_gateways() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        set_poison(deployment)
        for number in range(REQUESTS):
            await send(deployment, 2 * number, POISON)
            assert await send(deployment, 2 * number + 1, "sound") == 200
            await asyncio.sleep(SETTLE_S)
        assert count_ended(deployment) <= MAX_ENDED
        for number in range(100, 104):
            assert await send(deployment, number, POISON) == 503
            assert await send(deployment, number + 100) == 200

    run(check)
