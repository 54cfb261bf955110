"""Faults that operators reported, at a gateway that is told to stop.

Pattern: answers of endpoints that are slow, stalled, broken off or repeated
while the gateway drains. It ends within its grace; sound answers are whole.
"""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.gateway import deployments
from tests.gateway import test_endless_answers
from tests.gateway import test_reported_elsewhere

from cyclamenwing.gateway import app
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1

SIZE = test_endless_answers.SIZE
GRACE_S = 4.0
# Long enough for the request to have reached its endpoint.
BEGUN_S = 0.15
MAX_LATE_S = test_endless_answers.MAX_LATE_S


async def close(deployment: deployments.Deployment) -> float:
    """Stop the gateway as SIGTERM does; return the seconds that it took."""
    started_s = time.monotonic()
    await deployment.gateways[0].close()
    return time.monotonic() - started_s


async def allow_long_streams(
    deployment: deployments.Deployment, route: str
) -> None:
    config = deployments.make_configuration(
        2,
        routes=[
            deployments.make_route(
                route,
                "streaming",
                "llm",
                attempts=2,
                timeout_ms=60_000,
                resumable=route == "resume",
            )
        ],
    )
    await deployment.store.put("op/config", config)
    await asyncio.sleep(test_endless_answers.FOLLOW_S)


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_slow_but_sound_stream_is_whole_beside_a_stop(route: str) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            for endpoint in deployment.get_endpoints("llm"):
                endpoint.pause_s = 1.5
            sent = asyncio.ensure_future(deployment.send(route, headers=SIZE))
            await asyncio.sleep(BEGUN_S)
            assert await close(deployment) <= GRACE_S
            head, body = await sent
            assert head.status == 200
            assert body.count(b"data:") == platform_endpoint.STREAM_EVENTS

    asyncio.run(check())


@pytest.mark.parametrize("route", ["chat", "resume"])
@pytest.mark.parametrize("deadline_s", [0.8, 30.0])
def test_stalled_stream_does_not_outlast_the_stop(
    route: str, deadline_s: float
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            deployment.set_behaviour("llm", "drip")
            await allow_long_streams(deployment, route)
            deadline = {"Deadline-Ms": b"%d" % (deadline_s * 1000)}
            sent = asyncio.ensure_future(
                deployment.send(route, headers=SIZE | deadline)
            )
            await asyncio.sleep(BEGUN_S)
            assert await close(deployment) <= GRACE_S
            # A failure, or an answer that breaks off; no success.
            try:
                head, _ = await sent
            except errors.TransportError:
                return
            assert head.status == 504

    asyncio.run(check())


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_stream_that_breaks_off_is_no_success_beside_a_stop(
    route: str,
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            deployment.set_behaviour("llm", "cut")
            for endpoint in deployment.get_endpoints("llm"):
                endpoint.pause_s = 0.3
            sent = asyncio.ensure_future(deployment.send(route, headers=SIZE))
            await asyncio.sleep(BEGUN_S)
            assert await close(deployment) <= GRACE_S
            with pytest.raises(errors.TransportError):
                await sent

    asyncio.run(check())


def test_stream_that_breaks_off_is_resumed_beside_a_stop() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            cutting, sound = deployment.get_endpoints("llm")
            cutting.behaviour = "cut"
            cutting.pause_s = sound.pause_s = 0.3
            sent = [
                asyncio.ensure_future(
                    deployment.send(
                        "resume",
                        headers=SIZE
                        | {
                            "Request-Id": b"own%d" % number,
                            # Prompts without a common part.
                            "Prompt-Prefix": b"%02d:800" % number,
                        },
                    )
                )
                for number in range(6)
            ]
            await asyncio.sleep(BEGUN_S)
            assert await close(deployment) <= GRACE_S
            assert cutting.runs
            for head, body in await asyncio.gather(*sent):
                assert head.status == 200
                assert body.count(b"data:") == platform_endpoint.STREAM_EVENTS

    asyncio.run(check())


@pytest.mark.parametrize("early", [True, False])
def test_late_copy_of_an_answer_reaches_no_one_beside_a_stop(
    early: bool,
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            copying = test_reported_elsewhere.CopyingEndpoint(
                test_reported_elsewhere.make_whole, early
            )
            await copying.listen()
            for endpoint in deployment.get_endpoints("api"):
                await test_endless_answers.replace_address(
                    deployment, endpoint.name, copying.address
                )
            await deployment.send("write", headers={"Request-Id": b"first"})
            closing = asyncio.ensure_future(close(deployment))
            loop = asyncio.get_running_loop()
            until_s = loop.time() + app.LOAD_BALANCER_DELAY_S - 0.5
            number = 0
            while loop.time() < until_s:
                number += 1
                request_id = b"own%d" % number
                head, body = await deployment.send(
                    "write", headers={"Request-Id": request_id}
                )
                assert head.status == 200
                assert h1.find_header(head.headers, b"request-id") == (
                    request_id
                )
                assert body == request_id
            assert copying.copies
            assert await closing <= GRACE_S
            copying.stop()

    asyncio.run(check())
