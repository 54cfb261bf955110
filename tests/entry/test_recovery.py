"""Units of stopped entries return to their budgets.

An entry that is killed, whose session is closed at the sidecars, or that
lost the answer of a run must neither keep units nor bill a run twice.
"""

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
from cyclamenwing.demo import sample_requests
from cyclamenwing.entry import app
from cyclamenwing.entry import reconciliation
from cyclamenwing.membership import rendezvous
from cyclamenwing.request import types as request_types
from cyclamenwing.store import keys

BUDGET = "panels-tokens"
RECOVERY_TARGET_S = 10.0
WAIT_TIMEOUT_S = 30.0


async def kill(entry: app.EntryApp) -> None:
    """Stop an entry without settling, announcing or returning anything."""
    for item in entry._components:
        task = getattr(item, "_task", None)
        if task is not None:
            task.cancel()
    await entry._callers.close()
    await entry._peers.close()


async def read_budget(demo_fleet: fleet.Fleet) -> types.Budget:
    number = rendezvous.pick_shard(BUDGET, fleet.LEDGER_SHARDS)
    stored = await demo_fleet.store_client.get(keys.name_ledger(number))
    assert stored is not None
    return shards.ShardCodec().decode(stored.value)["budgets"][BUDGET]


async def wait_for(check: Callable[[], Awaitable[bool]]) -> float:
    started = time.monotonic()
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await check():
            await asyncio.sleep(0.05)
    return time.monotonic() - started


async def spend(demo_fleet: fleet.Fleet, entry: app.EntryApp) -> None:
    async def is_served() -> bool:
        return len(entry.board.served) == len(demo_fleet.sidecars)

    await wait_for(is_served)
    answer = await sample_requests._send_sample(
        demo_fleet, entry.address, sample_requests.SAMPLES[0]
    )
    assert answer.status == 200


def test_grant_of_a_killed_entry_returns_to_its_budget() -> None:
    async def run() -> tuple[float, types.Budget]:
        demo_fleet = await fleet.Fleet.start()
        try:
            stopped_entry = demo_fleet.entries.pop()
            await spend(demo_fleet, stopped_entry)
            await kill(stopped_entry)

            async def is_returned() -> bool:
                budget = await read_budget(demo_fleet)
                closing = [
                    g for g in budget["grants"].values() if g["closing"]
                ]
                return bool(closing) and shards.count_in_doubt(budget) == 0

            elapsed_s = await wait_for(is_returned)
            records, faults = await bills.read_bills(demo_fleet.store_client)
            assert (len(records), faults) == (1, [])
            assert await settle.list_doubts(demo_fleet.store_client, 0.0) == []
            return elapsed_s, await read_budget(demo_fleet)
        finally:
            await demo_fleet.close()

    elapsed_s, budget = asyncio.run(run())
    assert elapsed_s < RECOVERY_TARGET_S
    settled = shards.count_settled(budget)
    assert 0 < settled < 1_000
    assert shards.count_free(budget) == budget["paid"] - settled


def test_entry_with_a_closed_session_opens_a_new_one() -> None:
    async def run() -> None:
        demo_fleet = await fleet.Fleet.start()
        try:
            entry = demo_fleet.entries[1]
            await spend(demo_fleet, entry)
            old = entry.board.session
            for sidecar in demo_fleet.sidecars:
                sidecar.accounts.close_session(old)
            # The sidecars refuse requests of the closed session as not run.
            answer = await sample_requests._send_sample(
                demo_fleet, entry.address, sample_requests.SAMPLES[0]
            )
            assert answer.status != 200
            assert b'"not_run"' in answer.body
            entry.board.holder.stale = True

            async def is_renewed() -> bool:
                return entry.board.session != old and bool(entry.board.served)

            await wait_for(is_renewed)
            await spend(demo_fleet, entry)
        finally:
            await demo_fleet.close()

    asyncio.run(run())


@pytest.mark.parametrize("ran", [True, False])
def test_reservation_in_doubt_is_settled_by_sidecar_records(ran: bool) -> None:
    async def run() -> int:
        demo_fleet = await fleet.Fleet.start()
        try:
            entry = demo_fleet.entries[0]
            await spend(demo_fleet, entry)
            account = entry.board.holder.accounts[BUDGET]
            spent = account.spent
            controller = entry._budgets._controller
            reservation = controller.reserve(
                entry.board.holder, BUDGET, 500, "tokens", 0.0
            )
            assert reservation is not None
            if ran:
                owner = demo_fleet.sidecars[0].accounts
                order = make_order(
                    entry, reservation, owner._board.incarnation
                )
                owner.admit(order, 0.0)
                owner.settle(order, {"prompt": 3, "completion": 4}, 0.0)
            bill = account.bills[0] if account.bills else make_bill(entry)
            controller.mark_in_doubt(
                entry.board.holder, reservation, bill, 0.0
            )
            assert account.reserved == 500
            reconciler = reconciliation.Reconciliation(
                entry.board, entry._client
            )
            await reconciler.resolve_in_doubt()
            assert account.reserved == 0
            return account.spent - spent
        finally:
            await demo_fleet.close()

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
    entry: app.EntryApp, reservation: types.Reservation, incarnation: str
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
                "budget": reservation.budget,
                "session": reservation.session,
                "sequence": reservation.sequence,
                "amount": reservation.amount,
                "unit": reservation.unit,
            }
        ],
        "max_tokens": 1,
        "priority": 0,
        "deadline_ms": 1_000,
        "revision": 1,
    }
