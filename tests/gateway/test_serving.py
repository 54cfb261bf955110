"""A gateway's answers, by what endpoints and the store do."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from collections.abc import Coroutine

import msgspec
import pytest
from tests.gateway import deployments

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import app
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import funds
from cyclamenwing.gateway import news
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import suspects
from cyclamenwing.platform import store
from cyclamenwing.standin import replica
from cyclamenwing.transport import caller
from cyclamenwing.transport import errors
from cyclamenwing.transport import h1

Check = Callable[[deployments.Deployment], Coroutine[None, None, None]]

SIZE = {"Token-Counts": b"1000,100", "Prompt-Prefix": b"aa:800,bb:200"}
STREAM = b"".join(
    b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, replica.EVENTS + 1)
)


def run(check: Check, gateways: int = 1) -> None:
    async def play() -> None:
        async with deployments.deploy(gateways) as found:
            await check(found)

    asyncio.run(play())


@pytest.mark.parametrize(
    ("route", "method"),
    [("read", b"GET"), ("write", b"POST"), ("open", b"POST")],
)
def test_whole_answer_comes_back_signed(route: str, method: bytes) -> None:
    async def check(found: deployments.Deployment) -> None:
        head, body = await found.ask(route, method)
        assert (head.status, body) == (200, b"ok")
        assert replica.STAMP[1] == h1.find_header(
            head.headers, b"replica-stamp"
        )
        ran = next(r.runs[0] for r in found.replicas if r.runs)
        sent = dict(ran.headers)
        assert b"key" not in sent
        expected = None if route == "open" else b"t1"
        assert sent.get(b"tenant") == expected
        assert int(sent[b"deadline-ms"]) <= 2000

    run(check)


@pytest.mark.parametrize("route", ["chat", "resume"])
def test_stream_is_passed_on_and_paid_for(route: str) -> None:
    async def check(found: deployments.Deployment) -> None:
        head, body = await found.ask(route, headers=SIZE)
        assert (head.status, body) == (200, STREAM)
        account = found.gateways[0].board.escrow.accounts["t1"]
        assert (account.spent, account.reserved) == (
            1000 + 4 * replica.EVENTS,
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
def test_request_that_is_not_allowed_runs_nowhere(
    route: str, headers: dict[str, bytes], status: int
) -> None:
    async def check(found: deployments.Deployment) -> None:
        head, _ = await found.ask(route, headers=headers)
        assert head.status == status
        assert found.count_runs("api") + found.count_runs("llm") == 0

    run(check)


@pytest.mark.parametrize(
    ("route", "behaviour", "status", "runs"),
    [
        # An endpoint's own failure is its answer.
        ("read", "fail", 500, 1),
        ("write", "fail", 500, 1),
        # What was not run may be tried elsewhere, and is refused truly.
        ("read", "shed", 503, 0),
        ("write", "shed", 503, 0),
        # What may have run runs again only if that does no harm.
        ("read", "cut", 502, 2),
        ("write", "cut", 502, 1),
        # Answers to others are skipped, as the own one may follow; answers
        # of nobody are none.
        ("write", "forge", 504, 1),
        ("write", "unsign", 502, 1),
        ("read", "unsign", 502, 2),
    ],
)
def test_faulty_endpoints(
    route: str, behaviour: str, status: int, runs: int
) -> None:
    async def check(found: deployments.Deployment) -> None:
        found.behave("api", behaviour)
        method = b"GET" if route == "read" else b"POST"
        head, _ = await found.ask(route, method)
        assert head.status == status
        assert found.count_runs("api") == runs

    run(check)


def test_idempotent_request_is_served_by_the_next_endpoint() -> None:
    async def check(found: deployments.Deployment) -> None:
        found.get_replicas("api")[0].behaviour = "cut"
        for _ in range(4):
            head, _ = await found.ask("read", b"GET")
            assert head.status == 200

    run(check)


def test_stream_goes_on_at_another_endpoint() -> None:
    async def check(found: deployments.Deployment) -> None:
        found.get_replicas("llm")[0].behaviour = "cut"
        for _ in range(3):
            head, body = await found.ask("resume", headers=SIZE)
            assert (head.status, body) == (200, STREAM)

    run(check)


def test_stream_that_may_not_run_again_stays_incomplete() -> None:
    async def check(found: deployments.Deployment) -> None:
        found.behave("llm", "cut")
        with pytest.raises(errors.TransportError):
            await found.ask("chat", headers=SIZE)
        assert found.count_runs("llm") == 1

    run(check)


def test_refusal_names_a_time_to_come_back() -> None:
    async def check(found: deployments.Deployment) -> None:
        found.behave("api", "shed")
        head, _ = await found.ask("write")
        after = h1.find_header(head.headers, b"retry-after")
        assert after is not None
        assert float(after) > 0

    run(check)


def test_request_is_answered_at_its_route_s_time_out() -> None:
    async def check(found: deployments.Deployment) -> None:
        for item in found.replicas:
            item.pause_s = 30.0
        began_s = asyncio.get_running_loop().time()
        head, _ = await found.ask("write", headers={"Deadline-Ms": b"600"})
        assert head.status == 504
        assert asyncio.get_running_loop().time() - began_s < 1.0

    run(check)


def test_client_that_leaves_cancels_the_run_and_frees_its_tokens() -> None:
    async def check(found: deployments.Deployment) -> None:
        for item in found.replicas:
            item.pause_s = 30.0
        connection = await found.open("chat", b"POST", headers=SIZE)
        await asyncio.sleep(0.1)
        connection.close()
        await asyncio.sleep(0.3)
        assert sum(r.cancelled for r in found.replicas) == 1
        account = found.gateways[0].board.escrow.accounts["t1"]
        assert (account.reserved, account.spent) == (0, 1000)

    run(check)


def test_draining_and_removed_endpoints_get_nothing() -> None:
    async def check(found: deployments.Deployment) -> None:
        first, second = found.get_replicas("api")
        await found.store.put("servers/a1", first.describe("draining"))
        await asyncio.sleep(0.1)
        for _ in range(4):
            await found.ask("write")
        assert (len(first.runs), len(second.runs)) == (0, 4)
        await found.store.put("servers/a2", None)
        await asyncio.sleep(2.0)
        head, _ = await found.ask("write")
        assert head.status == 503
        assert len(second.runs) == 4

    run(check)


def test_address_taken_over_by_another_endpoint_runs_nothing() -> None:
    async def check(found: deployments.Deployment) -> None:
        for item in found.get_replicas("api"):
            item.name = "another"
        head, _ = await found.ask("write")
        assert head.status == 503
        assert found.count_runs("api") == 0

    run(check)


def test_newer_configuration_is_in_force_and_an_older_one_never() -> None:
    async def check(found: deployments.Deployment) -> None:
        await found.store.put(
            "op/config", deployments.make_configuration(5, routes=[])
        )
        await asyncio.sleep(0.2)
        assert (await found.ask("read", b"GET"))[0].status == 404
        await found.store.put("op/config", deployments.make_configuration(4))
        await found.store.put("op/config", b"unreadable")
        await asyncio.sleep(0.2)
        assert (await found.ask("read", b"GET"))[0].status == 404

    run(check)


def test_lost_history_is_read_again() -> None:
    async def check(found: deployments.Deployment) -> None:
        await found.store.put("servers/x", b"not an entry")
        found.store.forget()
        await found.store.put(
            "op/config", deployments.make_configuration(9, routes=[])
        )
        await asyncio.sleep(0.3)
        assert (await found.ask("read", b"GET"))[0].status == 404

    run(check)


def test_outage_of_the_store_stops_nothing() -> None:
    async def check(found: deployments.Deployment) -> None:
        assert (await found.ask("chat", headers=SIZE))[0].status == 200
        found.store.fault = 503
        await asyncio.sleep(0.3)
        assert (await found.ask("chat", headers=SIZE))[0].status == 200
        assert (await found.ask("write"))[0].status == 200

    run(check)


def test_gateway_without_configuration_says_when_to_come_back() -> None:
    async def check(found: deployments.Deployment) -> None:
        found.gateways[0].board.configuration = None
        head, _ = await found.ask("write")
        assert head.status == 503

    run(check)


def test_turned_away_gateway_learns_the_configuration_from_a_peer() -> None:
    async def check(found: deployments.Deployment) -> None:
        first, second = found.gateways
        newer = deployments.make_configuration(7, routes=[])
        first._configurations.adopt(newer, "test")
        await asyncio.sleep(0.8)
        assert second.board.configuration is not None
        assert second.board.configuration.version == 7

    run(check, gateways=2)


def test_tokens_move_between_gateways_while_the_store_is_away() -> None:
    async def check(found: deployments.Deployment) -> None:
        await asyncio.sleep(0.8)
        boards = [g.board for g in found.gateways]
        found.store.fault = 503
        held = boards[0].escrow.open_account("t1").held
        tokens = held + 500
        size = {"Token-Counts": b"%d,0" % tokens, "Deadline-Ms": b"12000"}
        for board in boards:
            board.escrow.record_peer_notice()
            board.record_at_s -= 60
            for account in board.escrow.accounts.values():
                account.promises = [
                    p._replace(since_s=p.since_s - 60)
                    for p in account.promises
                ]
        await asyncio.sleep(0.6)
        head, _ = await found.ask("chat", headers=size)
        assert head.status == 200
        assert boards[1].escrow.open_account("t1").given > 0

    run(check, gateways=2)


def test_peer_hands_over_more_than_its_promise_held_back() -> None:
    async def check(found: deployments.Deployment) -> None:
        giver = found.gateways[0]
        account = giver.board.escrow.open_account("t1")
        account.wanted = 80_000
        async with asyncio.timeout(2):
            while account.held < 80_000:
                await giver._pools.wait_for_draw()
        account.wanted = 0
        account.promises = [escrow.UsageBound(100, 0.0, 0.0, 0.0)]
        status, answer = await caller.Caller().call(
            giver.board.settings.control,
            "POST",
            peers.TRANSFER_PATH,
            msgspec.json.encode(news.TransferRequest("t1", 60_000, "other")),
            1.0,
        )
        assert (status, json.loads(answer)) == (200, {"tokens": 60_000})
        assert account.given == 60_000

    run(check)


def test_spent_budget_is_refused_for_good_and_a_top_up_ends_that() -> None:
    async def check(found: deployments.Deployment) -> None:
        found.gateways[0].board.began_s -= funds.SETTLING_S
        statuses = []
        for _ in range(5):
            head, _ = await found.ask(
                "chat", headers={"Token-Counts": b"30000,0"}
            )
            statuses.append(head.status)
        assert statuses == [200, 200, 200, 402, 402]
        tenants = [{"name": "t1", "api_keys": ["k1"], "prepaid": 200_000}]
        await found.store.put(
            "op/config", deployments.make_configuration(2, tenants=tenants)
        )
        await asyncio.sleep(0.3)
        head, _ = await found.ask("chat", headers={"Token-Counts": b"30000,0"})
        assert head.status == 200

    run(check)


def test_lost_answers_of_the_store_neither_lose_nor_double_tokens() -> None:
    async def check(found: deployments.Deployment) -> None:
        found.store.lose_answers = True
        await found.ask("chat", headers=SIZE)
        await asyncio.sleep(0.5)
        found.store.lose_answers = False
        total = 0
        for _ in range(12):
            head, _ = await found.ask(
                "chat", headers={"Token-Counts": b"12000,0"}
            )
            total += 12_000 if head.status == 200 else 0
        assert deployments.PREPAID * 0.8 < total <= deployments.PREPAID

    run(check)


def test_next_process_on_a_host_frees_what_a_killed_one_held() -> None:
    async def check(found: deployments.Deployment) -> None:
        await found.ask("chat", headers=SIZE)
        await asyncio.sleep(0.8)
        found.gateways[0].stop()
        await found.add_gateway("g0")
        await asyncio.sleep(0.8)
        total = 0
        for _ in range(12):
            head, _ = await found.ask(
                "chat", gateway=1, headers={"Token-Counts": b"9000,0"}
            )
            total += 9000 if head.status == 200 else 0
        assert deployments.PREPAID * 0.7 < total < deployments.PREPAID

    run(check)


def test_idle_gateway_keeps_its_record_fresh() -> None:
    # An old record would free nothing of what its process held.
    async def check(found: deployments.Deployment) -> None:
        gateway = found.gateways[0]
        await asyncio.sleep(1.0)
        gateway._pools._renewed_s -= escrow.OUTAGE_AGE_S
        gateway.board.record_at_s -= escrow.OUTAGE_AGE_S
        await asyncio.sleep(1.0)
        age_s = clock.read_time() - gateway.board.record_at_s
        assert age_s < pools.IDLE_RENEW_INTERVAL_S

    run(check)


@pytest.mark.parametrize(
    ("part", "age_s", "due"),
    [(0.2, 0.8, False), (0.8, 0.8, True), (0.8, 0.3, False), (0.0, 1.5, True)],
)
def test_promise_is_renewed_early_once_it_is_used(
    part: float, age_s: float, due: bool
) -> None:
    async def check(found: deployments.Deployment) -> None:
        await asyncio.sleep(1.0)
        drawing = found.gateways[0]._pools
        account = found.gateways[0].board.escrow.open_account("t1")
        start = account.measure_headroom(account.used)
        assert start > 0
        account.reserved += int(start * part)
        assert drawing._is_renewal_due(drawing._renewed_s + age_s) == due

    run(check)


def test_process_after_two_killed_ones_frees_what_both_held(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def check(found: deployments.Deployment) -> None:
        await found.ask("chat", headers=SIZE)
        await asyncio.sleep(0.8)
        found.gateways[0].stop()
        # The second process ends before it has freed anything.
        monkeypatch.setattr(app, "SUCCESSION_S", 0.0)
        second = await found.add_gateway("g0")
        second.stop()
        monkeypatch.undo()
        await found.add_gateway("g0")
        await asyncio.sleep(0.8)
        total = 0
        for _ in range(12):
            head, _ = await found.ask(
                "chat", gateway=2, headers={"Token-Counts": b"9000,0"}
            )
            total += 9000 if head.status == 200 else 0
        assert deployments.PREPAID * 0.7 < total < deployments.PREPAID

    run(check)


def test_leaving_gateway_finishes_its_work_and_returns_its_tokens() -> None:
    async def check(found: deployments.Deployment) -> None:
        await found.ask("chat", headers=SIZE)
        for item in found.replicas:
            item.pause_s = 0.5
        task = asyncio.ensure_future(found.ask("chat", headers=SIZE))
        await asyncio.sleep(0.1)
        await found.gateways[0].close()
        head, body = await task
        assert (head.status, body) == (200, STREAM)
        pool = found.gateways[0].board.escrow.pools["t1"]
        assert pool.drawn == 2 * (1000 + 4 * replica.EVENTS)

    run(check)


@pytest.mark.parametrize(
    ("spent_s", "wait_ms", "status"),
    [
        # Early in the grace, whatever the deadline.
        (1.0, b"2000", 200),
        # Late, but over before the process ends.
        (3.2, b"100", 200),
        # Late, and perhaps cut in the middle.
        (3.2, b"2000", 503),
    ],
)
def test_late_request_begins_only_if_the_leaving_gateway_can_end_it(
    spent_s: float, wait_ms: bytes, status: int
) -> None:
    async def check(found: deployments.Deployment) -> None:
        board = found.gateways[0].board
        board.leaving_s = clock.read_time() - spent_s
        board.ends_s = board.leaving_s + 4.0
        head, body = await found.ask("write", headers={"Deadline-Ms": wait_ms})
        assert head.status == status
        assert found.count_runs("api") == (status == 200)
        if status == 503:
            assert b'"leaving"' in body
            assert h1.find_header(head.headers, b"retry-after")

    run(check)


def test_cut_off_gateway_reaches_the_store_through_a_peer() -> None:
    async def check(found: deployments.Deployment) -> None:
        far = found.gateways[1]
        far._store._direct = store.KeyValueStore(
            caller.Caller(), "127.0.0.1:1"
        )
        await found.ask("chat", gateway=1, headers=SIZE)
        await asyncio.sleep(1.2)
        assert far._store._lost
        assert clock.read_time() - far.board.record_at_s < 1.0
        await found.store.put(
            "servers/a1", found.replicas[0].describe("draining")
        )
        await asyncio.sleep(0.4)
        assert far.board.directory.known["a1"].draining
        head, _ = await found.ask(
            "chat", gateway=1, headers={"Token-Counts": b"70000,0"}
        )
        assert head.status == 200

    run(check, gateways=2)


def test_store_that_is_regained_is_called_directly() -> None:
    async def check(found: deployments.Deployment) -> None:
        gateway = found.gateways[0]
        found.store.fault = 503
        await found.ask("chat", headers=SIZE)
        await asyncio.sleep(0.8)
        assert gateway._store._lost
        found.store.fault = 0
        await asyncio.sleep(1.5)
        assert not gateway._store._lost
        assert clock.read_time() - gateway.board.record_at_s < 2.0

    run(check)


@pytest.mark.parametrize("path", ["/peers/news", "/peers/store"])
def test_unreadable_call_of_a_peer_is_refused(path: str) -> None:
    async def check(found: deployments.Deployment) -> None:
        status, _ = await caller.Caller().call(
            found.gateways[0]._settings.control, "POST", path, b"{", 1.0
        )
        assert status == 400

    run(check)


def test_request_that_crashes_endpoints_is_stopped_on_all_gateways() -> None:
    async def check(found: deployments.Deployment) -> None:
        crashed = []
        for number in range(suspects.CRASHES):
            item = replica.Replica(f"c{number}", "api")
            item.listen()
            item.behaviour = "crash"
            await found.store.put(f"servers/{item.name}", item.describe())
            crashed.append(item)
        for name in ("a1", "a2"):
            await found.store.put(f"servers/{name}", None)
        await asyncio.sleep(0.2)
        for _ in crashed:
            head, _ = await found.ask("write")
            assert head.status == 502
            await asyncio.sleep(0.2)
        assert sum(len(item.runs) for item in crashed) == suspects.CRASHES
        for item in found.get_replicas("api"):
            await found.store.put(f"servers/{item.name}", item.describe())
        await asyncio.sleep(0.6)
        for gateway in (0, 1):
            head, _ = await found.ask("write", gateway=gateway)
            assert head.status == 503
            other = {"Key": b"k1", "Host": deployments.HOST}
            head, _ = await found.ask("open", b"GET", gateway, other)
            assert head.status == 200
        assert [len(r.runs) for r in found.get_replicas("api")].count(0) < 2

    run(check, gateways=2)


def test_endpoint_that_loses_answers_makes_no_request_suspect() -> None:
    async def check(found: deployments.Deployment) -> None:
        found.behave("api", "cut")
        for _ in range(suspects.CRASHES + 1):
            assert (await found.ask("write"))[0].status == 502
        await asyncio.sleep(0.2)
        found.behave("api", "serve")
        assert (await found.ask("write"))[0].status == 200

    run(check)
