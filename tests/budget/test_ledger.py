"""Operations on a ledger shard.

Operations may be repeated, late or reordered. None of them may charge more
than was paid, bill a request twice or lose units of a closing session.
"""

from __future__ import annotations

import pytest

from cyclamenwing.budget import ledger
from cyclamenwing.budget import messages
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types

NOW = 1_000.0


def make_paid_shard(amount: int) -> types.LedgerShard:
    shard = shards.make_shard()
    top_up: messages.TopUp = {
        "op": "top_up",
        "id": "t1",
        "budget": "b",
        "amount": amount,
    }
    ledger.apply_op(shard, top_up, NOW)
    ledger.apply_op(shard, top_up, NOW)
    return shard


def make_request(
    session: str, target: int, floor: int, partial: bool = False
) -> messages.GrantRequest:
    return {
        "op": "grant",
        "budget": "b",
        "session": session,
        "target": target,
        "floor": floor,
        "rate": 1.0,
        "partial": partial,
    }


def make_bill(session: str, sequence: int, units: int, key: str) -> types.Bill:
    return {
        "request": f"{session}-{sequence}",
        "key": key,
        "workspace": "w",
        "budget": "b",
        "session": session,
        "sequence": sequence,
        "kind": "summary",
        "reviewer": "r",
        "units": units,
        "at": NOW,
    }


def make_settlement(
    session: str, bills: list[types.Bill], returned: int = 0
) -> messages.Settlement:
    return {
        "op": "settle",
        "budget": "b",
        "session": session,
        "next": max((bill["sequence"] for bill in bills), default=0) + 1,
        "open": [],
        "returned": returned,
        "bills": bills,
        "transfers": [],
        "known": [],
        "rate": 1.0,
    }


def make_recovery(
    session: str, bills: list[types.Bill], running: int = 0, reason: str = ""
) -> messages.Recovery:
    return {
        "op": "recover",
        "budget": "b",
        "session": session,
        "bills": bills,
        "transfers": [],
        "running": running,
        "reason": reason,
    }


def make_transfer(amount: int) -> types.Transfer:
    return {
        "budget": "b",
        "donor": "s1",
        "number": 1,
        "receiver": "s2",
        "amount": amount,
    }


def apply(shard: types.LedgerShard, op: messages.LedgerOp) -> str | None:
    result = ledger.apply_op(shard, op, NOW)
    budget = shard["budgets"]["b"]
    assert shards.count_charged(budget) <= budget["paid"]
    billed = sum(bill["units"] for bill in shard["bills"])
    assert shards.count_settled(budget) == billed
    return result["error"]


def test_top_up_counts_once_and_its_id_is_not_reused() -> None:
    shard = make_paid_shard(100)
    other: messages.TopUp = {
        "op": "top_up",
        "id": "t1",
        "budget": "b",
        "amount": 7,
    }
    assert apply(shard, other) == "top_up_reused"
    assert shard["budgets"]["b"]["paid"] == 100


def test_grants_never_exceed_paid_units() -> None:
    shard = make_paid_shard(100)
    granted = [
        ledger.apply_op(shard, op, NOW)["granted"]
        for op in (
            make_request("s1", 70, 70),
            make_request("s2", 70, 70),
            make_request("s2", 70, 20),
            make_request("s3", 70, 20, True),
        )
    ]
    assert granted == [70, 0, 20, 10]


def test_settlement_beyond_grant_charges_nothing() -> None:
    shard = make_paid_shard(100)
    apply(shard, make_request("s1", 70, 70))
    op = make_settlement("s1", [make_bill("s1", 1, 71, "")])
    assert apply(shard, op) == "ledger_invariant"
    assert shard["budgets"]["b"]["grants"]["s1"]["spent"] == 0


def test_late_and_repeated_settlements_bill_each_sequence_once() -> None:
    shard = make_paid_shard(100)
    apply(shard, make_request("s1", 70, 70))
    first = make_settlement("s1", [make_bill("s1", 1, 10, "k1")], 5)
    both = make_settlement(
        "s1", [make_bill("s1", 1, 10, "k1"), make_bill("s1", 2, 10, "k2")], 9
    )
    for op in (both, first, both):
        assert apply(shard, op) is None
    grant = shard["budgets"]["b"]["grants"]["s1"]
    assert (grant["spent"], grant["returned"], len(shard["bills"])) == (
        20,
        9,
        2,
    )


def test_second_bill_of_a_key_is_refunded() -> None:
    shard = make_paid_shard(100)
    for session in ("s1", "s2"):
        apply(shard, make_request(session, 50, 50))
        bill = make_bill(session, 1, 30, "same")
        assert apply(shard, make_settlement(session, [bill])) is None
    budget = shard["budgets"]["b"]
    assert shards.count_settled(budget) == 30
    assert shards.count_free(budget) == 30


@pytest.mark.parametrize("order", [("s1", "s2"), ("s2", "s1"), ("s2",)])
def test_transfer_is_applied_once_from_either_report(
    order: tuple[str],
) -> None:
    shard = make_paid_shard(100)
    apply(shard, make_request("s1", 60, 60))
    for session in (*order, *order):
        bills = [make_bill("s2", 1, 25, "")] if session == "s2" else []
        op = make_settlement(session, bills)
        op["transfers"] = [make_transfer(40)]
        error = apply(shard, op)
        assert error is None
    grants = shard["budgets"]["b"]["grants"]
    assert shards.count_outstanding(grants["s1"]) == 20
    assert shards.count_outstanding(grants["s2"]) == 15


def test_recovery_keeps_units_of_running_or_unknown_runs() -> None:
    shard = make_paid_shard(100)
    apply(shard, make_request("s1", 80, 80))
    assert apply(shard, make_recovery("s1", [])) == "session_open"
    apply(shard, {"op": "close", "session": "s1"})
    assert apply(shard, make_request("s1", 90, 90)) == "stale_session"
    bills = [make_bill("s1", 1, 10, "")]
    budget = shard["budgets"]["b"]
    apply(shard, make_recovery("s1", bills, reason="sidecar out of reach"))
    assert shards.count_in_doubt(budget) == 70
    apply(shard, make_recovery("s1", bills, running=30))
    assert shards.count_in_doubt(budget) == 30
    apply(shard, make_recovery("s1", [*bills, make_bill("s1", 2, 25, "")]))
    assert shards.count_free(budget) == 65
    assert shards.count_settled(budget) == 35
    late = ledger.apply_op(shard, make_settlement("s1", bills), NOW)
    assert (late["closing"], late["outstanding"]) == (True, 0)
    shards.drop_expired(shard, NOW + shards.CLOSED_RETENTION_S)
    assert (budget["grants"], budget["settled"]) == ({}, 35)


def test_units_in_doubt_are_settled_once() -> None:
    shard = make_paid_shard(100)
    apply(shard, make_request("s1", 80, 80))
    apply(shard, {"op": "close", "session": "s1"})
    op: messages.DoubtSettlement = {
        "op": "settle_doubt",
        "budget": "b",
        "session": "s1",
        "spent": 50,
        "workspace": "w",
    }
    assert apply(shard, op) is None
    assert apply(shard, op) == "stale_session"
    assert shards.count_free(shard["budgets"]["b"]) == 50
