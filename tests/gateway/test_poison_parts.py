"""Load in which one part of many prompts crashes each endpoint that runs it.

The requests with this part are all different and come at any gateway. Sound
requests come beside them, with the same key and the same first part.
"""

from __future__ import annotations

import asyncio
import json
import time
import types
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import poison_requests
from cyclamenwing.routing import poison_parts
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors

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
) -> str:
    """Send a request to a gateway, each number to the next one.

    :return: "served", or the code of the refusal
    """
    head, body = await deployment.send(
        f"chat/{number}",
        gateway=number % len(deployment.gateways),
        headers=make_headers(number, *parts),
    )
    return "served" if head.status == 200 else json.loads(body)["code"]


def set_poison(deployment: deployments.Deployment) -> None:
    for endpoint in deployment.get_endpoints("llm"):
        endpoint.poison_part = POISON.encode()


def count_ended(deployment: deployments.Deployment) -> int:
    return sum(
        POISON.encode() in platform_endpoint.read_parts(request)
        for endpoint in deployment.get_endpoints("llm")
        for request in endpoint.runs
    )


def suspect(deployment: deployments.Deployment, part: str, count: int) -> None:
    """Let the first gateway have seen crashes under a part."""
    now_ms = int(time.time() * 1000)
    for number in range(count):
        at_ms = now_ms - number * 1000
        deployment.gateways[0].board.poison_parts.record_crash(
            ["first", part, "own"], f"x{number}", 1, at_ms, at_ms
        )


def count_crashes(deployment: deployments.Deployment, part: str) -> int:
    return deployment.gateways[0].board.poison_parts.count_crashes(part)


def test_part_that_crashes_endpoints_is_refused_at_all_gateways() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        set_poison(deployment)
        for number in range(REQUESTS):
            await send(deployment, 2 * number, POISON)
            assert await send(deployment, 2 * number + 1, "sound") == "served"
            await asyncio.sleep(SETTLE_S)
        assert count_ended(deployment) <= MAX_ENDED
        for number in range(100, 104):
            assert await send(deployment, number, POISON) == "quarantined"
            assert await send(deployment, number + 100) == "served"

    run(check)


async def quarantine_part(deployment: deployments.Deployment) -> None:
    """Crash endpoints until all gateways refuse the part."""
    set_poison(deployment)
    for number in range(poison_parts.CRASHES_TO_QUARANTINE):
        await send(deployment, number, POISON)
        await asyncio.sleep(SETTLE_S)
    for endpoint in deployment.get_endpoints("llm"):
        endpoint.poison_part = b""


def test_gateway_that_starts_learns_of_the_part_from_its_peers() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await quarantine_part(deployment)
        await deployment.add_gateway("late")
        await asyncio.sleep(SETTLE_S)
        assert await send(deployment, 4, POISON) == "quarantined"
        assert await send(deployment, 9) == "served"

    run(check)


def test_part_is_still_refused_after_a_restart_of_all_gateways() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await quarantine_part(deployment)
        for gateway in deployment.gateways:
            gateway.stop()
        deployment.gateways.clear()
        for number in range(2):
            await deployment.add_gateway(f"g{number}")
        await asyncio.sleep(SETTLE_S)
        for number in (10, 11):
            assert await send(deployment, number, POISON) == "quarantined"
            assert await send(deployment, number + 10) == "served"

    run(check, gateways=2)


def test_request_that_waits_for_a_connection_is_refused_meanwhile() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        ran = deployment.count_runs("llm")
        headers = make_headers(1, POISON)
        task = asyncio.ensure_future(
            deployment.send("resume", gateway=0, headers=headers)
        )
        await asyncio.sleep(0)
        suspect(deployment, POISON, poison_parts.CRASHES_TO_QUARANTINE)
        head, _ = await task
        assert head.status == 503
        assert deployment.count_runs("llm") == ran

    run(check, gateways=1)


def test_stream_that_had_an_event_does_not_make_its_parts_suspect() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("llm", "slow")
        connection = await deployment.open(
            "chat", b"POST", headers=make_headers(1, "beside")
        )
        await connection.read_head(5.0)
        for endpoint in deployment.get_endpoints("llm"):
            endpoint.stop()
        with pytest.raises(errors.TransportError):
            await connection.read_body(5.0, 100_000)
        await asyncio.sleep(SETTLE_S)
        assert count_crashes(deployment, "beside") == 0

    run(check, gateways=1)


def test_answer_of_failure_acquits_nothing() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        suspect(deployment, "beside", 2)
        deployment.set_behaviour("llm", "fail")
        await deployment.send("chat", headers=make_headers(1, "beside"))
        assert count_crashes(deployment, "beside") == 2
        deployment.set_behaviour("llm", "serve")
        await deployment.send("chat", headers=make_headers(2, "beside"))
        assert count_crashes(deployment, "beside") == 0

    run(check, gateways=1)


@pytest.mark.parametrize(
    ("cause", "crashes"), [(ConnectionRefusedError(), 1), (TimeoutError(), 0)]
)
def test_host_that_answers_nothing_is_no_crash(
    monkeypatch: pytest.MonkeyPatch, cause: Exception, crashes: int
) -> None:
    class Connection:
        @staticmethod
        async def open(address: str, timeout_s: float) -> None:
            raise errors.ConnectFailedError(address) from cause

    async def check(deployment: deployments.Deployment) -> None:
        set_poison(deployment)
        monkeypatch.setattr(
            poison_requests,
            "h1_client",
            types.SimpleNamespace(ClientConnection=Connection),
        )
        await send(deployment, 1, POISON)
        await asyncio.sleep(SETTLE_S)
        assert count_crashes(deployment, POISON) == crashes

    run(check, gateways=1)


def test_request_is_not_sent_if_its_part_was_quarantined_on_the_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        pool = deployment.gateways[0]._connections
        acquire = pool.acquire

        async def acquire_slowly(*args: Any) -> Any:
            connection = await acquire(*args)
            suspect(deployment, POISON, poison_parts.CRASHES_TO_QUARANTINE)
            return connection

        monkeypatch.setattr(pool, "acquire", acquire_slowly)
        assert await send(deployment, 1, POISON) == "quarantined"
        assert not deployment.count_runs("llm")

    run(check, gateways=1)
