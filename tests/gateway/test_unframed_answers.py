"""Answers with neither a length nor chunks, which end with their connection.

Nothing but the last event tells a whole stream from one that was broken off.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

import pytest
from tests.gateway import deployments

from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
STREAM = b"".join(
    b"id: %d\ndata: %d\n\n" % (n, n)
    for n in range(1, platform_endpoint.STREAM_EVENTS + 1)
)

Check = Callable[[deployments.Deployment], Coroutine[None, None, None]]


def run(check: Check) -> None:
    async def run_check() -> None:
        async with deployments.deploy() as deployment:
            await check(deployment)

    asyncio.run(run_check())


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_whole_stream_without_framing_is_complete(route: str) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("llm", "unframed")
        head, body = await deployment.send(route, headers=SIZE)
        assert (head.status, body) == (200, STREAM)
        assert deployment.count_runs("llm") == 1

    run(check)


def test_stream_that_ends_inside_an_event_does_not_look_complete() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("llm", "cut unframed")
        with pytest.raises(errors.TransportError):
            await deployment.send("chat", headers=SIZE)

    run(check)


def test_stream_that_ends_inside_an_event_goes_on_elsewhere() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        for endpoint in deployment.get_endpoints("llm"):
            deployment.set_behaviour("llm", "serve")
            endpoint.behaviour = "cut unframed"
            head, body = await deployment.send("resume", headers=SIZE)
            assert (head.status, body) == (200, STREAM)
        # One of the two streams began at the endpoint that broke it off.
        assert deployment.count_runs("llm") == 3

    run(check)


def test_stream_that_ends_before_its_first_event_is_lost() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("llm", "begin unframed")
        head, _ = await deployment.send("chat", headers=SIZE)
        assert head.status == 502

    run(check)
