"""Endpoints that leave or ask for a pause in their answers.

Patterns: an endpoint leaves without telling the store; an older copy of the
store brings it back; an endpoint asks callers to wait under load; all
endpoints of a service do.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
from typing import Any

import eliot
import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import exclusions
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.transport import h1

Check = Callable[[deployments.Deployment], Coroutine[None, None, None]]

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
# Time for changes in the store to reach a gateway.
FOLLOW_S = 0.2
REQUESTS = 6


@pytest.fixture(name="log")
def capture_log() -> Iterator[list[dict[str, Any]]]:
    messages: list[dict[str, Any]] = []
    eliot.add_destinations(messages.append)
    # Messages from before the first destination are delivered late.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)


def run(check: Check) -> None:
    async def run_check() -> None:
        async with deployments.deploy() as deployment:
            await check(deployment)

    asyncio.run(run_check())


async def send_many(
    deployment: deployments.Deployment, count: int = REQUESTS
) -> list[int]:
    """Send requests one after the other; return their statuses."""
    return [(await deployment.send("write"))[0].status for _ in range(count)]


async def send_until_reached(
    deployment: deployments.Deployment,
    endpoint: platform_endpoint.EndpointStandin,
) -> h1.ResponseHead:
    """Send requests until one reaches an endpoint; return its answer."""
    for _ in range(20):
        head, _ = await deployment.send("write")
        if endpoint.arrivals:
            return head
    raise AssertionError(f"no request reached {endpoint.name}")


def forget_failures(deployment: deployments.Deployment) -> None:
    """Clear the cost of failures, which also keeps requests away."""
    for state in deployment.gateways[0].board.placement.sites.values():
        state.failure_cost_ms = 0.0


def list_lines(
    log: list[dict[str, Any]], message_type: str
) -> list[dict[str, Any]]:
    return [line for line in log if line["message_type"] == message_type]


async def change_nothing(deployment: deployments.Deployment) -> None:
    """Leave the store as it is."""


async def write_ready_again(deployment: deployments.Deployment) -> None:
    first = deployment.get_endpoints("api")[0]
    await deployment.store.put("servers/a1", first.describe("draining"))
    await asyncio.sleep(FOLLOW_S)
    await deployment.store.put("servers/a1", first.describe())
    await asyncio.sleep(FOLLOW_S)


async def remove_and_register_again(
    deployment: deployments.Deployment,
) -> None:
    first = deployment.get_endpoints("api")[0]
    await deployment.store.put("servers/a1", None)
    await asyncio.sleep(FOLLOW_S)
    await deployment.store.put("servers/a1", first.describe())
    await asyncio.sleep(FOLLOW_S)


async def read_all_again(deployment: deployments.Deployment) -> None:
    await deployment.store.put("servers/x", b"not an entry")
    deployment.store.compact()
    await asyncio.sleep(2 * FOLLOW_S)


async def lose_the_store(deployment: deployments.Deployment) -> None:
    deployment.store.error_status = 503
    await asyncio.sleep(FOLLOW_S)


@pytest.mark.parametrize("behaviour", ["serve", "fail", "shed", "unsign"])
@pytest.mark.parametrize(
    "change_store",
    [
        change_nothing,
        write_ready_again,
        remove_and_register_again,
        read_all_again,
        lose_the_store,
    ],
)
def test_endpoint_that_says_it_leaves_gets_no_more_requests(
    behaviour: str,
    change_store: Check,
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("api")
        first.behaviour = behaviour
        first.leaving = True
        await send_until_reached(deployment, first)
        first.behaviour = "serve"
        await change_store(deployment)
        forget_failures(deployment)
        assert await send_many(deployment) == [200] * REQUESTS
        assert first.arrivals == 1
        assert len(second.runs) >= REQUESTS

    run(check)


def test_leaving_is_also_learnt_from_another_process_at_the_address() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, _ = deployment.get_endpoints("api")
        first.name = "another"
        first.leaving = True
        await send_until_reached(deployment, first)
        assert await send_many(deployment) == [200] * REQUESTS
        assert first.arrivals == 1

    run(check)


def test_last_endpoint_that_leaves_is_not_used_either() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        for endpoint in deployment.get_endpoints("api"):
            endpoint.leaving = True
        assert await send_many(deployment, 4) == [200, 200, 503, 503]
        assert [e.arrivals for e in deployment.get_endpoints("api")] == [1, 1]

    run(check)


def test_requests_at_a_leaving_endpoint_go_on() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        for endpoint in deployment.get_endpoints("api"):
            endpoint.pause_s = 0.5
        earlier = [
            asyncio.ensure_future(deployment.send("write")) for _ in range(4)
        ]
        await asyncio.sleep(0.2)
        for endpoint in deployment.get_endpoints("api"):
            endpoint.leaving = True
            endpoint.pause_s = 0.0
            # Its answer says that the endpoint leaves.
            await deployment.send("write")
        assert await send_many(deployment, 1) == [503]
        answers = await asyncio.gather(*earlier)
        assert [head.status for head, _ in answers] == [200] * 4

    run(check)


def test_connections_to_a_leaving_endpoint_are_closed() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, _ = deployment.get_endpoints("api")
        first.pause_s = 0.2
        await asyncio.gather(*(deployment.send("write") for _ in range(8)))
        assert first.count_connections() > 1
        first.pause_s = 0.0
        first.leaving = True
        before = first.arrivals
        while first.arrivals == before:
            await deployment.send("write")
        await asyncio.sleep(0.1)
        assert first.count_connections() == 0

    run(check)


def test_new_incarnation_of_a_leaving_endpoint_gets_requests() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, _ = deployment.get_endpoints("api")
        first.leaving = True
        await send_until_reached(deployment, first)
        first.leaving = False
        first.started_ms += 1
        await deployment.store.put("servers/a1", first.describe())
        await deployment.store.put("servers/a2", None)
        await asyncio.sleep(FOLLOW_S)
        assert await send_many(deployment) == [200] * REQUESTS
        assert first.arrivals == 1 + REQUESTS

    run(check)


def test_broken_stream_is_not_resumed_at_a_leaving_endpoint() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("llm")
        first.leaving = second.leaving = True
        await deployment.send("chat", headers=SIZE)
        left = first if first.arrivals else second
        other = second if first.arrivals else first
        other.behaviour = "cut"
        connection = await deployment.open("resume", b"POST", headers=SIZE)
        head = await connection.read_head(5.0)
        assert head.status == 200
        await asyncio.sleep(0.3)
        assert (left.arrivals, other.arrivals) == (1, 1)
        connection.close()

    run(check)


def test_exit_of_a_leaving_endpoint_counts_as_no_crash() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("llm")
        for endpoint in (first, second):
            endpoint.leaving = True
            endpoint.behaviour = "cut"
        await (await deployment.open("chat", b"POST", headers=SIZE)).read_head(
            5.0
        )
        for endpoint in (first, second):
            endpoint.stop()
        await asyncio.sleep(0.4)
        assert not deployment.gateways[0].board.quarantine.records

    run(check)


def test_older_copy_of_the_store_brings_no_draining_endpoint_back() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, _ = deployment.get_endpoints("api")
        await write_ready_again(deployment)
        await read_all_again(deployment)
        assert await send_many(deployment) == [200] * REQUESTS
        assert first.arrivals == 0

    run(check)


def test_endpoint_that_asks_callers_to_wait_gets_nothing_meanwhile(
    log: list[dict[str, Any]],
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("api")
        first.behaviour, first.refuse_time = "shed", b"1.5"
        head = await send_until_reached(deployment, first)
        # It has not run the request, so the other endpoint may.
        assert head.status == 200
        waits_since_s = clock.read_time()
        first.behaviour = "serve"
        while clock.read_time() < waits_since_s + 1.2:
            assert (await deployment.send("write"))[0].status == 200
        assert first.arrivals == 1
        second.behaviour, second.refuse_time = "shed", b"60"
        await asyncio.sleep(0.4)
        assert await send_many(deployment) == [200] * REQUESTS
        assert first.arrivals > REQUESTS
        assert second.arrivals - len(second.runs) <= 1

    run(check)
    lines = list_lines(log, "endpoint:excluded")
    assert lines[0]["endpoint"] == "a1"
    assert lines[0]["cause"] == "waiting"
    assert lines[0]["refuse_s"] == 1.5
    assert lines[0]["until_s"] > 0


def test_many_clients_keep_to_the_time_an_endpoint_asked_for() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("api")
        first.behaviour, first.refuse_time = "shed", b"1.5"
        ended = False

        async def repeat() -> None:
            while not ended:
                forget_failures(deployment)
                await deployment.send("write")

        clients = [asyncio.ensure_future(repeat()) for _ in range(20)]
        while not first.arrivals:
            await asyncio.sleep(0.001)
        answered_s = clock.read_time()
        await asyncio.sleep(0.5)
        early = first.arrivals
        await asyncio.sleep(max(answered_s + 1.4 - clock.read_time(), 0.0))
        assert first.arrivals - early == 0
        async with asyncio.timeout(1):
            while first.arrivals == early:
                await asyncio.sleep(0.01)
        ended = True
        await asyncio.gather(*clients)
        assert len(second.runs) > REQUESTS

    run(check)


def test_service_whose_endpoints_all_wait_refuses_at_once() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("api")
        deployment.set_behaviour("api", "shed")
        first.refuse_time, second.refuse_time = b"1.2", b"30"
        started_s = clock.read_time()
        for _ in range(REQUESTS):
            head, body = await deployment.send("write")
            assert head.status == 503
            assert b'"endpoints_waiting"' in body
            after = h1.find_header(head.headers, b"retry-after")
            assert after is not None
            left_s = started_s + 1.2 - clock.read_time()
            assert left_s - 0.1 < float(after) < left_s + 0.3
        assert clock.read_time() - started_s < 1.0
        assert [e.arrivals for e in (first, second)] == [1, 1]
        deployment.set_behaviour("api", "serve")
        await asyncio.sleep(max(started_s + 1.4 - clock.read_time(), 0.0))
        assert await send_many(deployment) == [200] * REQUESTS
        assert second.arrivals == 1

    run(check)


def test_request_that_no_endpoint_wants_reserves_no_tokens() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("llm", "shed")
        for endpoint in deployment.get_endpoints("llm"):
            endpoint.refuse_time = b"30"
        await deployment.send("chat", headers=SIZE)
        # More than this gateway holds: to reserve it would take time.
        size = {"Token-Counts": b"99000,1"}
        started_s = clock.read_time()
        head, body = await deployment.send("chat", headers=size)
        assert clock.read_time() - started_s < 0.1
        assert head.status == 503
        assert b'"endpoints_waiting"' in body
        account = deployment.gateways[0].board.escrow.accounts["t1"]
        assert (account.reserved, account.spent) == (0, 0)

    run(check)


@pytest.mark.parametrize("value", [b"soon", b"-5", b"inf", b"nan", b"0"])
def test_unreadable_time_to_wait_excludes_no_endpoint(value: bytes) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("api", "shed")
        for endpoint in deployment.get_endpoints("api"):
            endpoint.refuse_time = value
        assert (await deployment.send("write"))[0].status == 503
        deployment.set_behaviour("api", "serve")
        assert (await deployment.send("write"))[0].status == 200

    run(check)


def test_request_chosen_before_the_pause_is_not_sent_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The endpoint is chosen, then a connection opens, then it is sent.
    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        first, _ = deployment.get_endpoints("api")
        acquire = gateway._connections.acquire

        async def acquire_late(endpoint: Any, *args: Any) -> Any:
            connection = await acquire(endpoint, *args)
            gateway.board.directory.record_wait(
                gateway.board.directory.registered["a1"],
                clock.read_time(),
                5.0,
            )
            return connection

        monkeypatch.setattr(gateway._connections, "acquire", acquire_late)
        assert await send_many(deployment) == [200] * REQUESTS
        assert first.arrivals == 0

    run(check)


def test_each_decision_is_counted_and_logged_once(
    log: list[dict[str, Any]],
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("api")
        first.leaving = True
        first.pause_s = 0.2
        await asyncio.gather(*(deployment.send("write") for _ in range(8)))
        second.behaviour, second.refuse_time = "shed", b"30"
        await send_many(deployment, 3)
        recorder = deployment.gateways[0].board.metrics
        assert recorder.counts[exclusions.EXCLUSIONS] == {
            ("leaving",): 1,
            ("waiting",): 1,
        }
        gauges = {
            gauge.name: read() for gauge, read in recorder.gauges.items()
        }
        assert gauges["gateway_endpoints_leaving"] == 1
        assert gauges["gateway_endpoints_waiting"] == 1

    run(check)
    lines = list_lines(log, "endpoint:excluded")
    assert [(e["endpoint"], e["cause"]) for e in lines] == [
        ("a1", "leaving"),
        ("a2", "waiting"),
    ]
    for line in lines:
        assert line["age_s"] > 0
        assert line["status"] == (503 if line["cause"] == "waiting" else 200)


def test_entry_of_an_older_copy_is_logged(log: list[dict[str, Any]]) -> None:
    run(write_ready_again)
    lines = list_lines(log, "endpoint:seen")
    assert [
        (line["draining"], line["excluded"])
        for line in lines
        if line["endpoint"] == "a1"
    ] == [(False, False), (True, True), (False, True)]
