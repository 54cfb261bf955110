"""Requests that must stay in the home regions of their route or workspace.

A body that is sent to a host in another region can't be called back, so an
endpoint elsewhere must not get even a retry.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import eliot
import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import attempts
from cyclamenwing.gateway import unavailability
from cyclamenwing.platform import configuration
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
STREAM = b"".join(
    b"id: %d\ndata: %d\n\n" % (n, n)
    for n in range(1, platform_endpoint.STREAM_EVENTS + 1)
)
REST = STREAM[STREAM.index(b"id: 3") :]
REQUESTS = 12

Check = Callable[[deployments.Deployment], Awaitable[None]]


def run(
    check: Check,
    route: list[str] | None = None,
    workspace: list[str] | None = None,
) -> None:
    """Run a check with the home regions of all routes and the workspace.

    The first endpoint of each service is in the north, the other in the south.
    """

    async def run_check() -> None:
        deployment = deployments.Deployment()
        deployment.regions = {"z1": "north", "z2": "south"}
        for endpoint in deployment.endpoints:
            endpoint.zone = f"z{endpoint.name[-1]}"
        try:
            await deployment.start()
            await set_homes(deployment, route, workspace)
            await check(deployment)
        finally:
            for gateway in deployment.gateways:
                gateway.stop()
            for endpoint in deployment.endpoints:
                endpoint.stop()
            deployment.store.stop()

    asyncio.run(run_check())


async def set_homes(
    deployment: deployments.Deployment,
    route: list[str] | None,
    workspace: list[str] | None,
) -> None:
    kinds: tuple[tuple[str, str, str, dict[str, Any]], ...] = (
        ("read", "idempotent", "api", {"attempts": 2}),
        ("write", "unsafe", "api", {}),
        ("open", "unsafe", "api", {"public": True}),
        ("resume", "streaming", "llm", {"attempts": 2, "resumable": True}),
    )
    more = {} if route is None else {"home_regions": route}
    tenant: dict[str, Any] = {
        "name": "t1",
        "api_keys": ["k1"],
        "prepaid": deployments.PREPAID,
    }
    if workspace is not None:
        tenant["home_regions"] = workspace
    value = deployments.make_configuration(
        2,
        routes=[
            deployments.make_route(name, kind, service, **others, **more)
            for name, kind, service, others in kinds
        ],
        tenants=[tenant],
    )
    await deployment.store.put(configuration.KEY, value)
    async with asyncio.timeout(4.0):
        while (
            config := deployment.gateways[0].board.configuration
        ) is None or config.version < 2:
            await asyncio.sleep(0.01)


def list_arrivals(deployment: deployments.Deployment) -> list[int]:
    return [endpoint.arrivals for endpoint in deployment.endpoints]


def check_refused(head: h1.ResponseHead, body: bytes) -> None:
    assert head.status == 503
    assert b"no_home_endpoint" in body
    assert b'"run":"not_run"' in body
    value = h1.find_header(head.headers, b"retry-after")
    assert value is not None
    assert float(value) > 0


@pytest.mark.parametrize(
    ("route", "workspace"),
    [
        (["north"], None),
        (["north"], []),
        (None, ["north"]),
        (["north", "south"], ["north"]),
        (["west", "north"], ["north", "east"]),
    ],
)
def test_first_attempts_stay_at_home(
    route: list[str] | None, workspace: list[str] | None
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        for _ in range(REQUESTS):
            assert (await deployment.send("read"))[0].status == 200
            head, _ = await deployment.send("resume", headers=SIZE)
            assert head.status == 200
        assert list_arrivals(deployment) == [REQUESTS, 0, REQUESTS, 0]

    run(check, route, workspace)


# A retry that prefers another endpoint is the likeliest way out of a home.
@pytest.mark.parametrize("behaviour", ["cut", "shed"])
def test_retry_stays_at_home(behaviour: str) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.get_endpoints("api")[0].behaviour = behaviour
        head, _ = await deployment.send("read")
        assert head.status in {502, 503}
        second = deployment.get_endpoints("api")[1]
        assert not second.arrivals
        # It is not even chosen.
        counts = deployment.gateways[0].board.metrics.counts
        outcomes = list(counts.get(attempts.ATTEMPTS, ()))
        assert ("excluded",) not in outcomes

    run(check, ["north"])


def test_stream_is_not_resumed_away_from_home() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("llm")
        first.behaviour = "cut"
        with pytest.raises(errors.TransportError):
            await deployment.send("resume", headers=SIZE)
        # The client returns with what it has.
        first.behaviour = "serve"
        headers = SIZE | {
            "Request-Id": b"r2",
            "Resumes": b"r1",
            "Last-Event-Id": b"2",
        }
        head, body = await deployment.send("resume", headers=headers)
        assert (head.status, body) == (200, REST)
        assert second.arrivals == 0

    run(check, ["north"])


# Guards against lists of which the latter replaces the former.
def test_homes_without_a_common_region_refuse_at_once() -> None:
    log: list[dict[str, Any]] = []

    async def check(deployment: deployments.Deployment) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for _ in range(4):
            check_refused(*await deployment.send("write"))
            check_refused(*await deployment.send("resume", headers=SIZE))
        assert loop.time() - started_s < 8 * 0.1
        # Public routes have no workspace.
        head, _ = await deployment.send("open")
        assert head.status == 200
        assert sum(list_arrivals(deployment)) == 1
        metrics = deployment.gateways[0].board.metrics
        counts = metrics.counts[unavailability.HOME_REFUSALS]
        assert sum(counts.values()) == 8

    eliot.add_destinations(log.append)
    log.clear()
    try:
        run(check, ["north"], ["south"])
    finally:
        eliot.remove_destination(log.append)
    refused = [
        line for line in log if line["message_type"] == "request:refused"
    ]
    assert len(refused) == 8
    assert all("home regions" in line["reason"] for line in refused)


def test_endpoint_in_an_unknown_zone_is_in_no_home() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first = deployment.get_endpoints("api")[0]
        first.zone = "z3"
        await deployment.store.put("servers/a1", first.describe())
        directory = deployment.gateways[0].board.directory
        async with asyncio.timeout(4.0):
            while directory.registered["a1"].zone != "z3":
                await asyncio.sleep(0.01)
        check_refused(*await deployment.send("read"))
        assert sum(list_arrivals(deployment)) == 0

    run(check, ["north"])


# Guards against a request that leaves its home rather than be refused.
def test_loss_of_all_endpoints_at_home_refuses_at_once() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        assert (await deployment.send("read"))[0].status == 200
        # Otherwise the removal is in doubt, and the endpoint kept for a time.
        gateway = deployment.gateways[0]
        follower = gateway._endpoints.follower
        assert follower is not None
        async with asyncio.timeout(10.0):
            while follower.last_failure_s is not None:
                await asyncio.sleep(0.05)
        await deployment.store.put("servers/a1", None)
        async with asyncio.timeout(4.0):
            while "a1" in gateway.board.directory.registered:
                await asyncio.sleep(0.01)
        check_refused(*await deployment.send("read"))
        assert list_arrivals(deployment) == [1, 0, 0, 0]

    run(check, ["north"])


# Guards against deployments that lose half of their endpoints because the
# settings name regions.
def test_requests_without_homes_use_all_endpoints() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        for endpoint in deployment.endpoints:
            endpoint.pause_s = 0.2
        answers = await asyncio.gather(
            *(deployment.send("read") for _ in range(REQUESTS))
        )
        assert all(head.status == 200 for head, _ in answers)
        assert all(list_arrivals(deployment)[:2])

    run(check)
