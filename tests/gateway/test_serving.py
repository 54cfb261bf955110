"""Answers of a gateway while endpoints, the store or peers fail.

Guards against requests that run twice, get lost or are charged wrongly, and
against tokens that are lost or spent twice.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence

import msgspec
import pytest
from tests.gateway import deployments

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import gossip_messages
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import poison_requests
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import release_loop
from cyclamenwing.gateway import token_waits
from cyclamenwing.platform import store
from cyclamenwing.standin import platform_endpoint
from cyclamenwing.store import protocol
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import pooled_client

Check = Callable[[deployments.Deployment], Coroutine[None, None, None]]

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
STREAM = b"".join(
    b"id: %d\ndata: %d\n\n" % (n, n)
    for n in range(1, platform_endpoint.STREAM_EVENTS + 1)
)


def run(check: Check, gateways: int = 1) -> None:
    async def run_check() -> None:
        async with deployments.deploy(gateways) as deployment:
            await check(deployment)

    asyncio.run(run_check())


@pytest.mark.parametrize(
    ("route", "method"),
    [("read", b"GET"), ("write", b"POST"), ("open", b"POST")],
)
def test_answer_of_an_endpoint_is_forwarded_with_its_signature(
    route: str, method: bytes
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        head, body = await deployment.send(route, method)
        assert (head.status, body) == (200, b"ok")
        assert platform_endpoint.STAMP_HEADER[1] == h1.find_header(
            head.headers, b"replica-stamp"
        )
        ran = next(r.runs[0] for r in deployment.endpoints if r.runs)
        sent = dict(ran.headers)
        assert b"key" not in sent
        expected = None if route == "open" else b"t1"
        assert sent.get(b"tenant") == expected
        assert int(sent[b"deadline-ms"]) <= 2000

    run(check)


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_stream_is_forwarded_and_charged(route: str) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        head, body = await deployment.send(route, headers=SIZE)
        assert (head.status, body) == (200, STREAM)
        account = deployment.gateways[0].board.escrow.accounts["t1"]
        assert (account.spent, account.reserved) == (
            1000 + 4 * platform_endpoint.STREAM_EVENTS,
            0,
        )

    run(check)


@pytest.mark.parametrize(
    ("route", "headers", "status"),
    [
        ("none", {}, 404),
        ("read", {"Host": b"other.example"}, 404),
        ("read", {"Key": b"stolen"}, 401),
        ("read", {"Deadline-Ms": b"soon"}, 400),
        ("chat", {}, 400),
        ("chat", {"Token-Counts": b"1"}, 400),
        ("chat", {"Token-Counts": b"100000,1"}, 402),
    ],
)
def test_invalid_request_is_refused_without_running(
    route: str, headers: dict[str, bytes], status: int
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        head, _ = await deployment.send(route, headers=headers)
        assert head.status == status
        assert deployment.count_runs("api") + deployment.count_runs("llm") == 0

    run(check)


@pytest.mark.parametrize(
    ("route", "behaviour", "status", "runs"),
    [
        # An error status of an endpoint is forwarded as its answer.
        ("read", "fail", 500, 1),
        ("write", "fail", 500, 1),
        # A request that did not run is tried elsewhere, then refused
        # as not run.
        ("read", "shed", 503, 0),
        ("write", "shed", 503, 0),
        # A request that may have run is repeated only if idempotent.
        ("read", "cut", 502, 2),
        ("write", "cut", 502, 1),
        # Answers to other requests are skipped, as the right one may
        # follow. Unsigned answers count as lost.
        ("write", "forge", 504, 1),
        ("write", "unsign", 502, 1),
        ("read", "unsign", 502, 2),
    ],
)
def test_faulty_endpoint_gives_the_right_status_and_retries(
    route: str, behaviour: str, status: int, runs: int
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("api", behaviour)
        method = b"GET" if route == "read" else b"POST"
        head, _ = await deployment.send(route, method)
        assert head.status == status
        assert deployment.count_runs("api") == runs

    run(check)


def test_idempotent_request_is_retried_at_another_endpoint() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.get_endpoints("api")[0].behaviour = "cut"
        for _ in range(4):
            head, _ = await deployment.send("read", b"GET")
            assert head.status == 200

    run(check)


def test_broken_stream_is_resumed_at_another_endpoint() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.get_endpoints("llm")[0].behaviour = "cut"
        for _ in range(3):
            head, body = await deployment.send("resume", headers=SIZE)
            assert (head.status, body) == (200, STREAM)

    run(check)


def test_broken_stream_that_is_not_resumable_stays_incomplete() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("llm", "cut")
        with pytest.raises(errors.TransportError):
            await deployment.send("chat", headers=SIZE)
        assert deployment.count_runs("llm") == 1

    run(check)


def test_refusal_has_a_retry_after_header() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("api", "shed")
        head, _ = await deployment.send("write")
        after = h1.find_header(head.headers, b"retry-after")
        assert after is not None
        assert float(after) > 0

    run(check)


def test_request_is_answered_at_its_deadline() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        for endpoint in deployment.endpoints:
            endpoint.pause_s = 30.0
        started_s = asyncio.get_running_loop().time()
        head, _ = await deployment.send(
            "write", headers={"Deadline-Ms": b"600"}
        )
        assert head.status == 504
        assert asyncio.get_running_loop().time() - started_s < 1.0

    run(check)


def test_disconnected_client_cancels_the_run_and_frees_tokens() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        for endpoint in deployment.endpoints:
            endpoint.pause_s = 30.0
        connection = await deployment.open("chat", b"POST", headers=SIZE)
        await asyncio.sleep(0.1)
        connection.close()
        await asyncio.sleep(0.3)
        assert sum(r.cancelled for r in deployment.endpoints) == 1
        account = deployment.gateways[0].board.escrow.accounts["t1"]
        assert (account.reserved, account.spent) == (0, 1000)

    run(check)


def test_draining_and_removed_endpoints_get_no_requests() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.get_endpoints("api")
        await deployment.store.put("servers/a1", first.describe("draining"))
        await asyncio.sleep(0.1)
        for _ in range(4):
            await deployment.send("write")
        assert (len(first.runs), len(second.runs)) == (0, 4)
        await deployment.store.put("servers/a2", None)
        await asyncio.sleep(2.0)
        head, _ = await deployment.send("write")
        assert head.status == 503
        assert len(second.runs) == 4

    run(check)


def test_endpoint_that_reused_an_address_runs_nothing() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        for endpoint in deployment.get_endpoints("api"):
            endpoint.name = "another"
        head, _ = await deployment.send("write")
        assert head.status == 503
        assert deployment.count_runs("api") == 0

    run(check)


def test_only_newer_configurations_are_adopted() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await deployment.store.put(
            "op/config", deployments.make_configuration(5, routes=[])
        )
        await asyncio.sleep(0.2)
        assert (await deployment.send("read", b"GET"))[0].status == 404
        await deployment.store.put(
            "op/config", deployments.make_configuration(4)
        )
        await deployment.store.put("op/config", b"unreadable")
        await asyncio.sleep(0.2)
        assert (await deployment.send("read", b"GET"))[0].status == 404

    run(check)


def test_lost_store_history_causes_a_full_read() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await deployment.store.put("servers/x", b"not an entry")
        deployment.store.compact()
        await deployment.store.put(
            "op/config", deployments.make_configuration(9, routes=[])
        )
        await asyncio.sleep(0.3)
        assert (await deployment.send("read", b"GET"))[0].status == 404

    run(check)


def test_requests_are_served_during_a_store_outage() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        assert (await deployment.send("chat", headers=SIZE))[0].status == 200
        deployment.store.error_status = 503
        await asyncio.sleep(0.3)
        assert (await deployment.send("chat", headers=SIZE))[0].status == 200
        assert (await deployment.send("write"))[0].status == 200

    run(check)


def test_gateway_without_configuration_refuses_requests() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.gateways[0].board.configuration = None
        head, _ = await deployment.send("write")
        assert head.status == 503

    run(check)


def test_gateway_fetches_a_newer_configuration_from_a_peer() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        first, second = deployment.gateways
        newer = deployments.make_configuration(7, routes=[])
        first._configurations.adopt(newer, "test")
        # The bound of the platform for a configuration to be in force.
        async with asyncio.timeout(2.0):
            while (
                second.board.configuration is None
                or second.board.configuration.version != 7
            ):
                await asyncio.sleep(0.02)

    run(check, gateways=2)


def test_tokens_are_transferred_between_gateways_in_a_store_outage() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await asyncio.sleep(0.8)
        boards = [g.board for g in deployment.gateways]
        deployment.store.error_status = 503
        held = boards[0].escrow.open_account("t1").held
        tokens = held + 500
        size = {"Token-Counts": b"%d,0" % tokens, "Deadline-Ms": b"12000"}
        for board in boards:
            board.escrow.record_peer_notice()
            board.record_written_s -= 60
            for account in board.escrow.accounts.values():
                account.usage_bounds = [
                    p._replace(since_s=p.since_s - 60)
                    for p in account.usage_bounds
                ]
        await asyncio.sleep(0.6)
        head, _ = await deployment.send("chat", headers=size)
        assert head.status == 200
        assert boards[1].escrow.open_account("t1").given > 0

    run(check, gateways=2)


def test_peer_renews_its_usage_bound_to_transfer_more_tokens() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        donor = deployment.gateways[0]
        account = donor.board.escrow.open_account("t1")
        account.wanted = 80_000
        async with asyncio.timeout(2):
            while account.held < 80_000:
                await donor._pools.wait_for_draw()
        account.wanted = 0
        account.usage_bounds = [escrow.UsageBound(100, 0.0, 0.0, 0.0)]
        status, answer = await pooled_client.PooledClient().call(
            donor.board.settings.control,
            "POST",
            peers.TRANSFER_PATH,
            msgspec.json.encode(
                gossip_messages.TransferRequest("t1", 60_000, "other")
            ),
            1.0,
        )
        assert (status, json.loads(answer)) == (200, {"tokens": 60_000})
        assert account.given == 60_000

    run(check)


def test_spent_budget_refuses_requests_until_a_top_up() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.gateways[0].board.started_s -= token_waits.STARTUP_WAIT_S
        statuses = []
        for _ in range(5):
            head, _ = await deployment.send(
                "chat", headers={"Token-Counts": b"30000,0"}
            )
            statuses.append(head.status)
        assert statuses == [200, 200, 200, 402, 402]
        tenants = [{"name": "t1", "api_keys": ["k1"], "prepaid": 200_000}]
        await deployment.store.put(
            "op/config", deployments.make_configuration(2, tenants=tenants)
        )
        await asyncio.sleep(0.3)
        head, _ = await deployment.send(
            "chat", headers={"Token-Counts": b"30000,0"}
        )
        assert head.status == 200

    run(check)


def test_lost_store_answers_neither_lose_nor_double_tokens() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.store.lose_txn_answers = True
        await deployment.send("chat", headers=SIZE)
        await asyncio.sleep(0.5)
        deployment.store.lose_txn_answers = False
        total = 0
        for _ in range(12):
            head, _ = await deployment.send(
                "chat", headers={"Token-Counts": b"12000,0"}
            )
            total += 12_000 if head.status == 200 else 0
        assert deployments.PREPAID * 0.8 < total <= deployments.PREPAID

    run(check)


def test_new_process_frees_holdings_of_a_killed_predecessor() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await deployment.send("chat", headers=SIZE)
        await asyncio.sleep(0.8)
        deployment.gateways[0].stop()
        await deployment.add_gateway("g0")
        await asyncio.sleep(0.8)
        total = 0
        for _ in range(12):
            head, _ = await deployment.send(
                "chat", gateway=1, headers={"Token-Counts": b"9000,0"}
            )
            total += 9000 if head.status == 200 else 0
        assert deployments.PREPAID * 0.7 < total < deployments.PREPAID

    run(check)


def test_idle_gateway_renews_its_record() -> None:
    # After a crash an old record would free none of its holdings.
    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        await asyncio.sleep(1.0)
        gateway._pools._renewed_s -= escrow.OUTAGE_AGE_S
        gateway.board.record_written_s -= escrow.OUTAGE_AGE_S
        await asyncio.sleep(1.0)
        age_s = clock.read_time() - gateway.board.record_written_s
        assert age_s < pools.IDLE_RENEW_INTERVAL_S

    run(check)


@pytest.mark.parametrize(
    ("part", "age_s", "due"),
    [(0.2, 0.8, False), (0.8, 0.8, True), (0.8, 0.3, False), (0.0, 1.5, True)],
)
def test_usage_bound_is_renewed_early_once_much_is_used(
    part: float, age_s: float, due: bool
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await asyncio.sleep(1.0)
        pool_client = deployment.gateways[0]._pools
        account = deployment.gateways[0].board.escrow.open_account("t1")
        headroom = account.measure_headroom(account.used)
        assert headroom > 0
        account.reserved += int(headroom * part)
        assert (
            pool_client._is_renewal_due(pool_client._renewed_s + age_s) == due
        )

    run(check)


def test_new_process_frees_holdings_of_two_killed_predecessors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await deployment.send("chat", headers=SIZE)
        await asyncio.sleep(0.8)
        deployment.gateways[0].stop()
        # The second process stops before it has freed any holdings.
        monkeypatch.setattr(release_loop, "PREDECESSOR_WINDOW_S", 0.0)
        second = await deployment.add_gateway("g0")
        second.stop()
        monkeypatch.undo()
        await deployment.add_gateway("g0")
        await asyncio.sleep(0.8)
        total = 0
        for _ in range(12):
            head, _ = await deployment.send(
                "chat", gateway=2, headers={"Token-Counts": b"9000,0"}
            )
            total += 9000 if head.status == 200 else 0
        assert deployments.PREPAID * 0.7 < total < deployments.PREPAID

    run(check)


def test_draining_gateway_finishes_requests_and_returns_holdings() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        await deployment.send("chat", headers=SIZE)
        for endpoint in deployment.endpoints:
            endpoint.pause_s = 0.5
        task = asyncio.ensure_future(deployment.send("chat", headers=SIZE))
        await asyncio.sleep(0.1)
        await deployment.gateways[0].close()
        head, body = await task
        assert (head.status, body) == (200, STREAM)
        pool = deployment.gateways[0].board.escrow.pools["t1"]
        assert pool.drawn == 2 * (1000 + 4 * platform_endpoint.STREAM_EVENTS)

    run(check)


@pytest.mark.parametrize(
    ("spent_s", "wait_ms", "status"),
    [
        # Soon after the signal any deadline is admitted.
        (1.0, b"2000", 200),
        # Clients sent it up to 3 s after the signal, which may have been
        # handled late.
        (2.9, b"2000", 503),
        # Later only a deadline before the end of the process.
        (3.2, b"100", 200),
        # The process could stop before this deadline.
        (3.2, b"2000", 503),
    ],
)
def test_draining_gateway_admits_late_requests_only_if_they_can_end(
    spent_s: float, wait_ms: bytes, status: int
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        board = deployment.gateways[0].board
        board.drain_started_s = clock.read_time() - spent_s
        board.shutdown_deadline_s = board.drain_started_s + 4.0
        head, body = await deployment.send(
            "write", headers={"Deadline-Ms": wait_ms}
        )
        assert head.status == status
        assert deployment.count_runs("api") == (status == 200)
        if status == 503:
            assert b'"leaving"' in body
            assert h1.find_header(head.headers, b"retry-after")

    run(check)


def test_gateway_reaches_an_unreachable_store_through_a_peer() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        cut_off = deployment.gateways[1]
        cut_off._store._direct = store.KeyValueStore(
            pooled_client.PooledClient(), "127.0.0.1:1"
        )
        await deployment.send("chat", gateway=1, headers=SIZE)
        # An idle record is renewed each 1.4 s, and the loop adds a little.
        sent_s = clock.read_time()
        async with asyncio.timeout(pools.IDLE_RENEW_INTERVAL_S + 0.4):
            while cut_off.board.record_written_s <= sent_s:
                await asyncio.sleep(0.02)
        assert cut_off._store._unreachable
        await deployment.store.put(
            "servers/a1", deployment.endpoints[0].describe("draining")
        )
        await asyncio.sleep(0.4)
        assert cut_off.board.directory.registered["a1"].draining
        head, _ = await deployment.send(
            "chat", gateway=1, headers={"Token-Counts": b"70000,0"}
        )
        assert head.status == 200

    run(check, gateways=2)


def test_conflicts_in_a_pool_do_not_delay_tokens_that_are_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # At the start all gateways draw from the same pools, and a gateway's
    # commits may conflict for longer than a request waits for tokens.
    async def check(deployment: deployments.Deployment) -> None:
        (gateway,) = deployment.gateways
        await deployment.send("chat", headers=SIZE)
        account = gateway.board.escrow.accounts["t1"]
        commit = gateway._pools._store.commit

        async def conflict_on_pools(
            expected: Sequence[tuple[str, int]],
            writes: Sequence[tuple[str, bytes]],
        ) -> protocol.Committed | protocol.Conflict:
            if any(key.startswith(pools.POOL_PREFIX) for key, _ in writes):
                return protocol.Conflict([])
            return await commit(expected, writes)

        monkeypatch.setattr(gateway._pools._store, "commit", conflict_on_pools)
        monkeypatch.setattr(
            escrow.WorkspaceAccount, "plan_change", lambda *_: 5000
        )
        tokens = account.count_available(clock.read_time()) + 2000
        assert tokens <= account.held
        size = {"Token-Counts": b"%d,0" % tokens}
        head, _ = await deployment.send("chat", headers=size)
        assert head.status == 200

    run(check)


def test_store_is_called_directly_again_after_an_outage() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        deployment.store.error_status = 503
        await deployment.send("chat", headers=SIZE)
        await asyncio.sleep(0.8)
        assert gateway._store._unreachable
        deployment.store.error_status = 0
        await asyncio.sleep(1.5)
        assert not gateway._store._unreachable
        assert clock.read_time() - gateway.board.record_written_s < 2.0

    run(check)


@pytest.mark.parametrize("path", ["/peers/news", "/peers/store"])
def test_malformed_peer_call_is_refused(path: str) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        status, _ = await pooled_client.PooledClient().call(
            deployment.gateways[0]._settings.control, "POST", path, b"{", 1.0
        )
        assert status == 400

    run(check)


def test_poison_request_is_quarantined_on_all_gateways() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        crashed = []
        for number in range(poison_requests.CRASHES_TO_QUARANTINE):
            endpoint = platform_endpoint.EndpointStandin(f"c{number}", "api")
            endpoint.listen()
            endpoint.behaviour = "crash"
            await deployment.store.put(
                f"servers/{endpoint.name}", endpoint.describe()
            )
            crashed.append(endpoint)
        for name in ("a1", "a2"):
            await deployment.store.put(f"servers/{name}", None)
        await asyncio.sleep(0.2)
        for _ in crashed:
            head, _ = await deployment.send("write")
            assert head.status == 502
            await asyncio.sleep(0.2)
        assert (
            sum(len(endpoint.runs) for endpoint in crashed)
            == poison_requests.CRASHES_TO_QUARANTINE
        )
        for endpoint in deployment.get_endpoints("api"):
            await deployment.store.put(
                f"servers/{endpoint.name}", endpoint.describe()
            )
        await asyncio.sleep(0.6)
        for gateway in (0, 1):
            head, _ = await deployment.send("write", gateway=gateway)
            assert head.status == 503
            other = {"Key": b"k1", "Host": deployments.HOST}
            head, _ = await deployment.send("open", b"GET", gateway, other)
            assert head.status == 200
        assert [len(r.runs) for r in deployment.get_endpoints("api")].count(
            0
        ) < 2

    run(check, gateways=2)


def test_lost_answers_without_a_crash_do_not_quarantine() -> None:
    async def check(deployment: deployments.Deployment) -> None:
        deployment.set_behaviour("api", "cut")
        for _ in range(poison_requests.CRASHES_TO_QUARANTINE + 1):
            assert (await deployment.send("write"))[0].status == 502
        await asyncio.sleep(0.2)
        deployment.set_behaviour("api", "serve")
        assert (await deployment.send("write"))[0].status == 200

    run(check)
