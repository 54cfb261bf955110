from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types
from cyclamenwing.cli import bills
from cyclamenwing.cli import settle
from cyclamenwing.demo import fleet
from cyclamenwing.demo import tour
from cyclamenwing.entry import app
from cyclamenwing.entry import reports
from cyclamenwing.membership import rank
from cyclamenwing.request import types as request_types
from cyclamenwing.store import keys

BUDGET = "panels-tokens"
TARGET_S = 10.0
PATIENCE_S = 30.0


async def kill(entry: app.EntryApp) -> None:
    """Stop an entry at once: nothing is settled, announced or returned."""
    for item in entry._parts:
        task = getattr(item, "_task", None)
        if task is not None:
            task.cancel()
    await entry._callers.close()
    await entry._peers.close()


async def read_budget(made: fleet.Fleet) -> types.Budget:
    number = rank.pick_shard(BUDGET, fleet.SHARDS)
    found = await made.store_client.get(keys.name_ledger(number))
    assert found is not None
    return shards.ShardCodec().decode(found.value)["budgets"][BUDGET]


async def wait_for(check: Callable[[], Awaitable[bool]]) -> float:
    started = time.monotonic()
    async with asyncio.timeout(PATIENCE_S):
        while not await check():
            await asyncio.sleep(0.05)
    return time.monotonic() - started


async def spend(made: fleet.Fleet, entry: app.EntryApp) -> None:
    async def is_served() -> bool:
        return len(entry.board.served) == len(made.sidecars)

    await wait_for(is_served)
    answer = await tour._send(made, entry.address, tour.SAMPLES[0])
    assert answer.status == 200


def test_grant_of_a_killed_entry_returns() -> None:
    async def run() -> tuple[float, types.Budget]:
        made = await fleet.Fleet.start()
        try:
            victim = made.entries.pop()
            await spend(made, victim)
            await kill(victim)

            async def is_back() -> bool:
                budget = await read_budget(made)
                closing = [
                    g for g in budget["grants"].values() if g["closing"]
                ]
                return bool(closing) and shards.count_doubt(budget) == 0

            elapsed_s = await wait_for(is_back)
            found, faults = await bills.read_bills(made.store_client)
            assert (len(found), faults) == (1, [])
            assert await settle.list_doubts(made.store_client, 0.0) == []
            return elapsed_s, await read_budget(made)
        finally:
            await made.close()

    elapsed_s, budget = asyncio.run(run())
    assert elapsed_s < TARGET_S
    settled = shards.count_settled(budget)
    assert 0 < settled < 1_000
    assert shards.count_free(budget) == budget["paid"] - settled


def test_paused_entry_is_refused_and_takes_a_new_session() -> None:
    async def run() -> None:
        made = await fleet.Fleet.start()
        try:
            victim = made.entries[1]
            await spend(made, victim)
            old = victim.board.session
            for sidecar in made.sidecars:
                sidecar.accounts.close_session(old)
            # The sidecars refuse the old session as not run.
            answer = await tour._send(made, victim.address, tour.SAMPLES[0])
            assert answer.status != 200
            assert b'"not_run"' in answer.body
            victim.board.holder.stale = True

            async def is_renewed() -> bool:
                return victim.board.session != old and bool(
                    victim.board.served
                )

            await wait_for(is_renewed)
            await spend(made, victim)
        finally:
            await made.close()

    asyncio.run(run())


@pytest.mark.parametrize("ran", [True, False])
def test_unknown_run_is_settled_by_what_the_sidecars_tell(ran: bool) -> None:
    async def run() -> int:
        made = await fleet.Fleet.start()
        try:
            entry = made.entries[0]
            await spend(made, entry)
            account = entry.board.holder.accounts[BUDGET]
            spent = account.spent
            controller = entry._money._controller
            held = controller.reserve(
                entry.board.holder, BUDGET, 500, "tokens", 0.0
            )
            assert held is not None
            if ran:
                owner = made.sidecars[0].accounts
                order = make_order(entry, held, owner._board.incarnation)
                owner.admit(order, 0.0)
                owner.settle(order, {"prompt": 3, "completion": 4}, 0.0)
            bill = account.bills[0] if account.bills else make_bill(entry)
            controller.doubt(entry.board.holder, held, bill, 0.0)
            assert account.reserved == 500
            asked = reports.Reports(entry.board, entry._client)
            await asked.resolve_doubts()
            assert account.reserved == 0
            return account.spent - spent
        finally:
            await made.close()

    assert asyncio.run(run()) == (7 if ran else 0)


def make_bill(entry: app.EntryApp) -> types.Bill:
    return {
        "request": "r",
        "key": "",
        "workspace": "panels",
        "budget": BUDGET,
        "session": entry.board.session,
        "sequence": 0,
        "kind": "summary",
        "reviewer": "",
        "units": 0,
        "at": 0.0,
    }


def make_order(
    entry: app.EntryApp, held: types.Reservation, incarnation: str
) -> request_types.RunOrder:
    return {
        "request": "r",
        "key": "panels/r",
        "submission": "r",
        "fingerprint": "f",
        "sidecar": incarnation,
        "attempt": 1,
        "workspace": "panels",
        "route": "assistant",
        "kind": "summary",
        "reviewer": "",
        "protocol": "chat",
        "idempotent": True,
        "method": "POST",
        "path": "/",
        "headers": {},
        "body": "",
        "charges": [
            {
                "budget": held.budget,
                "session": held.session,
                "sequence": held.sequence,
                "amount": held.amount,
                "unit": held.unit,
            }
        ],
        "max_tokens": 1,
        "priority": 0,
        "deadline_ms": 1_000,
        "revision": 1,
    }
