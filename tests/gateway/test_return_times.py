"""Refusals by gateways, and when they tell clients to return.

Pattern: endpoints are full for a moment, and many clients are refused.
"""

from __future__ import annotations

import asyncio
import statistics

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import refusals
from cyclamenwing.routing import return_times
from cyclamenwing.transport import h1

CLIENTS = 24
FOLLOW_S = 0.3
LONG_MS = 15_000
WORKSPACES = [
    {"name": "first", "api_keys": ["k1"], "priority": 0},
    {"name": "last", "api_keys": ["k2"], "priority": 2},
]


async def read_after(
    deployment: deployments.Deployment, headers: dict[str, bytes]
) -> float | None:
    head, body = await deployment.send("write", headers=headers)
    assert head.status == 503
    assert b'"run":"not_run"' in body
    value = h1.find_header(head.headers, b"retry-after")
    return None if value is None else float(value)


def test_clients_refused_together_return_apart_and_by_priority() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            route = deployments.make_route(
                "write", "unsafe", "api", timeout_ms=LONG_MS
            )
            await deployment.store.put(
                "op/config",
                deployments.make_configuration(
                    2, routes=[route], tenants=WORKSPACES
                ),
            )
            await asyncio.sleep(FOLLOW_S)
            for _ in range(CLIENTS):
                await deployment.send("write")
            deployment.set_behaviour("api", "shed")
            told = await asyncio.gather(
                *(
                    read_after(
                        deployment,
                        {"Key": key, "Deadline-Ms": b"%d" % LONG_MS},
                    )
                    for _ in range(CLIENTS)
                    for key in (b"k2", b"k1")
                )
            )
            last = [t for t in told[::2] if t is not None]
            first = [t for t in told[1::2] if t is not None]
            assert len(first) == CLIENTS
            assert len(last) == CLIENTS
            assert statistics.mean(first) < 0.8 * statistics.mean(last)
            assert min(first) >= 0.1
            assert max(first + last) <= LONG_MS / 1000 / 3 + 0.01
            # Most differ though they are told in hundredths of a second.
            assert len(set(first + last)) > CLIENTS

    asyncio.run(check())


def test_client_that_cannot_be_served_later_is_told_no_time() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            deployment.set_behaviour("api", "shed")
            headers = {"Deadline-Ms": b"100"}
            assert await read_after(deployment, headers) is None
            assert await read_after(deployment, {}) is not None

    asyncio.run(check())


@pytest.mark.parametrize(
    "error",
    [
        errors.NoConfigurationError,
        errors.BudgetUnreachableError,
        errors.NoEndpointError,
        errors.OverloadedError,
        errors.StreamVersionUnknownError,
        errors.StreamVersionGoneError,
    ],
)
def test_no_refusal_has_the_same_constant_for_all(
    error: type[errors.GatewayError],
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            writer = deployment.gateways[0]._handler._refusals
            request = h1.Request(
                b"POST",
                b"/write/x",
                ((b"host", b"x"), (b"deadline-ms", b"30000")),
                b"",
            )
            usual_s = error.retry_after_s
            assert usual_s is not None
            told = [
                writer.make_refusal(request, None, error("")).retry_after_s
                for _ in range(8)
            ]
            known = [t for t in told if t is not None]
            assert len(known) == len(set(known)) == len(told)
            # A predicted time is kept, and spread after it.
            predicted = error("")
            predicted.retry_after_s = 2.5
            after_s = writer.make_refusal(
                request, None, predicted
            ).retry_after_s
            assert after_s is not None
            spread = return_times.SPREADS[return_times.Kind.PLANNED]
            assert 2.5 <= after_s <= 2.5 + spread.width_s

    asyncio.run(check())


# Guards against spreading again what the limits of endpoints spread already.
def test_limited_endpoints_keep_the_order_of_their_times() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            gateway = deployment.gateways[0]
            writer = gateway._handler._refusals
            directory = gateway.board.directory
            now_s = clock.read_time()
            for _ in range(40):
                writer._returns.record_answer("", now_s)
            for endpoint in directory.registered.values():
                directory.limits.record_answer(
                    endpoint.incarnation, 2.0, now_s, now_s
                )
            request = h1.Request(b"POST", b"/", ((b"host", b"x"),), b"")
            spread = return_times.SPREADS[return_times.Kind.IN_TURN]
            for number in range(40):
                error = errors.EndpointsWaitingError("")
                error.retry_after_s = 0.2 + number * 0.001
                after_s = writer.make_refusal(
                    request, None, error
                ).retry_after_s
                assert after_s is not None
                added_s = after_s - error.retry_after_s
                assert 0 <= added_s <= spread.width_s + 1e-9

    asyncio.run(check())


def test_errors_with_a_constant_time_are_all_planned() -> None:
    kept = {"leaving", "quarantined"}
    constant = {
        kind.code
        for kind in errors.GatewayError.__subclasses__()
        if kind.retry_after_s is not None
    }
    assert constant - kept <= set(refusals.KINDS)
