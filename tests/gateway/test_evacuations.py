"""Availability zones that operators evacuate while requests run.

A gateway that sends to an evacuated zone does so because it did not hear of
the order, forgot it, or chose the endpoint before it heard. Refusing more than
that, or breaking off what runs, harms clients for nothing.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import eliot
import msgspec
import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import app
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import gossip_messages
from cyclamenwing.membership import delegates
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import evacuations
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.store import errors as store_errors
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
# Small enough for hundreds of requests from the budget.
SMALL = {"Token-Counts": b"10,20"}
STREAM = b"".join(
    b"id: %d\ndata: %d\n\n" % (n, n)
    for n in range(1, platform_endpoint.STREAM_EVENTS + 1)
)
BOUND_S = 5.0
# Each watch and each hop of gossip takes a fraction of a second in a small
# deployment on a machine that is not busy.
HEARD_S = 3.0
ATTACHED = delegates.MIN_DELEGATES + 1

Check = Callable[[deployments.Deployment], Awaitable[None]]


def run(check: Check, gateways: int = 1) -> None:
    async def run_check() -> None:
        async with deployments.deploy(gateways) as deployment:
            # The first endpoint of each service is in z1, the other in z2.
            for endpoint in deployment.endpoints:
                if endpoint.name.endswith("2"):
                    endpoint.zone = "z2"
                    await deployment.store.put(
                        f"servers/{endpoint.name}", endpoint.describe()
                    )
            for gateway in deployment.gateways:
                await wait_until(functools.partial(has_zones, gateway))
            await check(deployment)

    asyncio.run(run_check())


def has_zones(gateway: app.Gateway) -> bool:
    registered = gateway.board.directory.registered.values()
    return sum(e.zone == "z2" for e in registered) == 2


async def wait_until(
    condition: Callable[[], bool], timeout_s: float = HEARD_S
) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


def knows(gateway: app.Gateway, *zones: str) -> bool:
    """Return whether a gateway obeys orders on just these zones."""
    known = gateway.board.directory.evacuations
    return known.count_zones() == len(zones) and all(
        known.is_evacuated(zone, clock.read_time()) for zone in zones
    )


async def evacuate(deployment: deployments.Deployment, *zones: str) -> None:
    for zone in zones:
        await deployment.store.put(f"op/evacuate/{zone}", b"")


async def wait_known(deployment: deployments.Deployment, *zones: str) -> None:
    for gateway in deployment.gateways:
        await wait_until(functools.partial(knows, gateway, *zones))


def cut_watches(gateway: app.Gateway, prefix: str = "") -> None:
    """Cut off the watches below a prefix, the calls in progress too."""
    watched: Any = gateway._watched
    follow = watched.follow

    async def fail(*args: Any) -> Any:
        raise store_errors.StoreUnavailableError("cut off")

    async def cut_follow(
        watched_prefix: str, revision: int, era: int, wait_s: float
    ) -> Any:
        if watched_prefix.startswith(prefix):
            await fail()
        return await follow(watched_prefix, revision, era, wait_s)

    read = watched.read

    async def cut_read(watched_prefix: str) -> Any:
        if watched_prefix.startswith(prefix):
            await fail()
        return await read(watched_prefix)

    watched.follow = cut_follow
    watched.read = cut_read


def check_refused(head: h1.ResponseHead, body: bytes, code: str) -> float:
    """Check a refusal that has not run; return its return time."""
    assert head.status == 503
    assert b'"run":"not_run"' in body
    assert code.encode() in body
    value = h1.find_header(head.headers, b"retry-after")
    assert value is not None
    return float(value)


# Guards against gateways that hear of an order and send on, or too late.
@pytest.mark.parametrize("gateways", [1, 3, ATTACHED])
def test_no_request_reaches_the_zone_after_the_bound(gateways: int) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        loop = asyncio.get_running_loop()
        api, llm = (deployment.get_endpoints(s) for s in ("api", "llm"))
        number = 0

        async def send_for(duration_s: float) -> None:
            nonlocal number
            until_s = loop.time() + duration_s
            while loop.time() < until_s:
                number += 1
                gateway = number % gateways
                parts = b"p%d:8,own:2" % number
                for route, headers in (
                    ("read", {}),
                    ("chat", SMALL | {"Prompt-Prefix": parts}),
                ):
                    head, _ = await deployment.send(
                        route, gateway=gateway, headers=headers
                    )
                    assert head.status == 200
                await asyncio.sleep(0.01)

        await send_for(0.5)
        assert api[0].runs
        assert llm[0].runs
        ordered_s = loop.time()
        await evacuate(deployment, "z1")
        await send_for(BOUND_S + 0.5)
        for endpoint in (api[0], llm[0]):
            late = [
                t - ordered_s
                for t in endpoint.arrival_times
                if t > ordered_s + BOUND_S
            ]
            assert not late
        assert all(knows(g, "z1") for g in deployment.gateways)

    run(check, gateways)


# Guards against all prompts being read anew elsewhere in the same instant.
def test_parts_leave_the_zone_one_after_the_other() -> None:
    model = evacuations.Evacuations(BOUND_S)
    model.apply(evacuations.Order("z1", 1, 1, True), 0.0, live=True)
    spread_s = BOUND_S * evacuations.SPREAD_SHARE
    names = [f"p{number}" for number in range(1000)]
    early = next(p for p in names if model.is_evacuated("z1", 0.02, p))
    late = next(
        p for p in names if not model.is_evacuated("z1", spread_s * 0.98, p)
    )

    async def check(deployment: deployments.Deployment) -> None:
        async def send(part: str) -> int:
            headers = SMALL | {"Prompt-Prefix": f"{part}:8,own:2".encode()}
            head, _ = await deployment.send("chat", headers=headers)
            return head.status

        await evacuate(deployment, "z2")
        await wait_known(deployment, "z2")
        gateway = deployment.gateways[0]
        follower = gateway._configurations.follower
        assert follower is not None
        await wait_until(lambda: follower.last_failure_s is None, 10.0)
        await evacuate(deployment, "z1")
        await wait_known(deployment, "z1", "z2")
        await asyncio.sleep(0.05)
        assert await send(early) == 503
        assert await send(late) == 200
        assert len(deployment.get_endpoints("llm")[0].runs) == 1
        await asyncio.sleep(spread_s)
        assert await send(late) == 503

    run(check)


# Guards against parts that stay in the zone beyond the bound, as the order was
# old when it arrived: the process was paused, or the store or a link slow.
@pytest.mark.parametrize("late", ["gap", "failure"])
def test_parts_leave_at_once_if_the_order_may_be_old(late: str) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        follower = gateway._configurations.follower
        assert follower is not None
        await wait_until(lambda: follower.last_failure_s is None, 10.0)
        if late == "gap":
            gateway._watched.caches["op/"].answered_s -= 4.0
        else:
            follower.last_failure_s = clock.read_time()
        await evacuate(deployment, "z1")
        await wait_known(deployment, "z1")
        known = gateway.board.directory.evacuations
        now_s = clock.read_time()
        assert all(
            known.is_evacuated("z1", now_s, f"p{number}")
            for number in range(100)
        )

    run(check)


# Guards against answers that are broken off because their zone is evacuated.
def test_request_in_progress_ends_in_the_zone() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await evacuate(deployment, "z2")
        await wait_known(deployment, "z2")
        first = deployment.get_endpoints("llm")[0]
        first.pause_s = 1.2
        connection = await deployment.open("chat", b"POST", headers=SIZE)
        await wait_until(lambda: bool(first.runs))
        await evacuate(deployment, "z1")
        await wait_known(deployment, "z1", "z2")
        assert not first.cancelled
        head = await connection.read_head(3.0)
        assert head.status == 200
        assert await connection.read_body(3.0, 100_000) == STREAM
        connection.close()

    run(check)


# Guards against a gateway that chose an endpoint, and sends to it although it
# heard of the order while it connected.
def test_order_during_a_connect_holds_for_that_request() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await evacuate(deployment, "z2")
        await wait_known(deployment, "z2")
        gateway = deployment.gateways[0]
        pool = gateway._connections
        acquire = pool.acquire

        async def acquire_late(
            endpoint: endpoints.Endpoint, repeatable: bool, wait_s: float
        ) -> h1_client.ClientConnection:
            connection = await acquire(endpoint, repeatable, wait_s)
            gateway.board.directory.evacuations.apply(
                evacuations.Order("z1", 9, 9, True), 0.0, live=False
            )
            return connection

        pool.acquire = acquire_late  # type: ignore[method-assign]
        head, body = await deployment.send("read")
        check_refused(head, body, "zones_evacuated")
        assert [e.arrivals for e in deployment.endpoints] == [0] * 4

    run(check)


# Guards against a gateway that hears of orders by its watch alone.
def test_gateway_off_the_store_learns_by_gossip() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        cut = deployment.gateways[1]
        cut_watches(cut)
        # Until its long polls in progress have ended.
        await asyncio.sleep(3.2)
        await evacuate(deployment, "z1")
        await wait_until(lambda: knows(cut, "z1"), BOUND_S)
        for _ in range(5):
            head, _ = await deployment.send("read", gateway=1)
            assert head.status == 200
        assert not deployment.get_endpoints("api")[0].runs
        await deployment.store.put("op/evacuate/z1", None)
        await wait_until(lambda: knows(cut), BOUND_S)

    run(check, gateways=3)


# Guards against an upgrade during which gateways can't read each other's
# messages.
def test_message_without_orders_is_read() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await evacuate(deployment, "z1")
        await wait_known(deployment, "z1")
        gossip = deployment.gateways[0]._peers.gossip
        message = gossip.build_message("peer:1")
        assert [n.order.zone for n in message.evacuations] == ["z1"]
        sent = msgspec.json.decode(msgspec.json.encode(message))
        assert msgspec.convert(sent, gossip_messages.GossipMessage) == message
        del sent["evacuations"]
        older = msgspec.convert(sent, gossip_messages.GossipMessage)
        assert older.evacuations == []
        gossip.merge_message(
            msgspec.structs.replace(older, host="old", number=10**9)
        )
        assert knows(deployment.gateways[0], "z1")

    run(check)


# Guards against a process that serves before it knows the orders.
@pytest.mark.parametrize("from_peer", [False, True])
def test_gateway_that_restarts_knows_the_orders_before_it_serves(
    from_peer: bool,
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await evacuate(deployment, "z1")
        await wait_known(deployment, "z1")
        from_config = app.Gateway.from_config
        known_at_adoption: list[bool] = []

        def prepare(*args: Any) -> app.Gateway:
            gateway = from_config(*args)
            if from_peer:
                cut_watches(gateway, "op/")
            adopt = gateway._configurations.adopt

            def adopt_checked(value: bytes, source: str) -> None:
                known_at_adoption.append(knows(gateway, "z1"))
                assert (source == "store") != from_peer
                adopt(value, source)

            gateway._configurations.adopt = (  # type: ignore[method-assign]
                adopt_checked
            )
            gateway._peers._adopt = adopt_checked
            return gateway

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(app.Gateway, "from_config", prepare)
            await deployment.add_gateway("g1")
        assert known_at_adoption
        assert all(known_at_adoption)
        for _ in range(5):
            head, _ = await deployment.send("read", gateway=1)
            assert head.status == 200
        assert not deployment.get_endpoints("api")[0].runs
        await deployment.store.put("op/evacuate/z1", None)
        await wait_known(deployment)

    run(check)


# Guards against clients that wait for tokens or endpoints in vain, and that
# return all at the same time.
def test_all_zones_evacuated_refuses_at_once_with_spread_returns() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await evacuate(deployment, "z1", "z2")
        await wait_known(deployment, "z1", "z2")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        returns = [
            check_refused(*await deployment.send("write"), "zones_evacuated")
            for _ in range(8)
        ]
        assert loop.time() - started_s < 8 * 0.1
        assert len(set(returns)) > 4
        assert min(returns) > 0
        # Parts have left both zones by then.
        await asyncio.sleep(BOUND_S * evacuations.SPREAD_SHARE)
        head, body = await deployment.send("chat", headers=SIZE)
        check_refused(head, body, "zones_evacuated")
        assert [e.arrivals for e in deployment.endpoints] == [0] * 4
        await deployment.store.put("op/evacuate/z2", None)
        await wait_known(deployment, "z1")
        head, _ = await deployment.send("write")
        assert head.status == 200
        assert not deployment.get_endpoints("api")[0].runs

    run(check)


# Guards against a stream that is resumed in the zone which it had to leave.
def test_broken_stream_is_not_resumed_in_the_zone() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("llm")
        first.behaviour = second.behaviour = "slow"
        await evacuate(deployment, "z2")
        await wait_known(deployment, "z2")
        connection = await deployment.open("resume", b"POST", headers=SIZE)
        await connection.read_head(3.0)
        await asyncio.sleep(0.9)
        await deployment.store.put("op/evacuate/z2", None)
        await evacuate(deployment, "z1")
        await wait_known(deployment, "z1")
        await asyncio.sleep(BOUND_S * evacuations.SPREAD_SHARE)
        connection.close()
        headers = SIZE | {
            "Request-Id": b"r2",
            "Resumes": b"r1",
            "Last-Event-Id": b"1",
        }
        second.behaviour = "serve"
        head, body = await deployment.send("resume", headers=headers)
        assert (head.status, body) == (200, STREAM[STREAM.index(b"id: 2") :])
        assert (len(first.runs), len(second.runs)) == (1, 1)

    run(check)


def test_stream_that_breaks_has_no_endpoint_left_outside_the_zone() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("llm", "cut")
        # Both zones are evacuated while the first attempt runs.
        gateway = deployment.gateways[0]
        attempts: Any = gateway._handler._attempts
        run_attempt = attempts.run

        async def run_once(*args: Any) -> None:
            for zone in ("z1", "z2"):
                gateway.board.directory.evacuations.apply(
                    evacuations.Order(zone, 9, 9, True), 0.0, live=False
                )
            await run_attempt(*args)

        connection = await deployment.open("resume", b"POST", headers=SIZE)
        await connection.read_head(3.0)
        attempts.run = run_once
        with pytest.raises(errors.TransportError):
            await connection.read_body(3.0, 100_000)
        connection.close()
        assert deployment.count_runs("llm") <= 2
        runs = deployment.count_runs("llm")
        head, _ = await deployment.send("resume", headers=SIZE)
        assert head.status == 503
        assert deployment.count_runs("llm") == runs

    run(check)


# Guards against a zone that stays out of use, and against lines that repeat.
def test_order_that_is_taken_back_is_logged_and_ends() -> None:
    log: list[dict[str, Any]] = []

    async def check(deployment: deployments.Deployment) -> None:
        await evacuate(deployment, "z1")
        await wait_known(deployment, "z1")
        await evacuate(deployment, "z1")
        await deployment.store.put("op/evacuate/z1", None)
        await wait_known(deployment)
        directory = deployment.gateways[0].board.directory
        # The zone's endpoints were taken as cold, if they can be.
        assert not directory.evacuations.take_ended()
        runs = len(deployment.get_endpoints("api")[0].runs)
        for _ in range(20):
            await deployment.send("read")
        assert len(deployment.get_endpoints("api")[0].runs) > runs

    eliot.add_destinations(log.append)
    log.clear()
    try:
        run(check, gateways=3)
    finally:
        eliot.remove_destination(log.append)
    for kind in ("zone:evacuated", "zone:restored"):
        lines = [line for line in log if line["message_type"] == kind]
        assert len(lines) == 3
        for line in lines:
            assert line["zone"] == "z1"
            assert line["source"] in {"store", "g0", "g1", "g2"}
            assert {"era", "revision", "age_s"} <= set(line)


# Guards against orders of the time after the copy that stay in force, and
# against those that the copy has and that count as withdrawn.
@pytest.mark.parametrize("gateways", [1, ATTACHED])
def test_store_that_returns_from_a_copy_replaces_the_orders(
    gateways: int,
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await evacuate(deployment, "z1")
        copy = deployment.store.copy()
        await deployment.store.put("op/evacuate/z1", None)
        await evacuate(deployment, "z2")
        await wait_known(deployment, "z2")
        await deployment.store.restore(copy)
        await wait_known(deployment, "z1")

    run(check, gateways)


# Guards against a delegate whose cache drops a withdrawal, and against
# history that is lost between an order and its end.
def test_lost_history_ends_orders_that_are_gone() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await evacuate(deployment, "z1")
        await wait_known(deployment, "z1")
        deployment.store.error_status = 503
        # Until all long polls in progress have ended.
        await asyncio.sleep(3.2)
        await deployment.store.put("op/evacuate/z1", None)
        await evacuate(deployment, "z2")
        deployment.store.compact()
        assert knows(deployment.gateways[0], "z1")
        deployment.store.error_status = 0
        await wait_known(deployment, "z2")

    run(check)
