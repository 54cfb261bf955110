from __future__ import annotations

from cyclamenwing.budget import ledger
from cyclamenwing.budget import types

NOW = 1_000.0


def make_paid(amount: int) -> types.LedgerShard:
    shard = ledger.make_shard()
    top_up: types.TopUp = {
        "op": "top_up",
        "id": "t1",
        "budget": "b",
        "amount": amount,
    }
    ledger.apply_op(shard, top_up, NOW)
    ledger.apply_op(shard, top_up, NOW)
    return shard


def make_request(session: str, target: int, floor: int) -> types.GrantRequest:
    return {
        "op": "grant",
        "budget": "b",
        "session": session,
        "target": target,
        "floor": floor,
    }


def test_top_up_counts_once() -> None:
    assert make_paid(100)["budgets"]["b"]["paid"] == 100


def test_grants_never_exceed_paid() -> None:
    shard = make_paid(100)
    first = ledger.apply_op(shard, make_request("s1", 70, 70), NOW)
    second = ledger.apply_op(shard, make_request("s2", 70, 70), NOW)
    third = ledger.apply_op(shard, make_request("s2", 70, 20), NOW)
    assert [first["granted"], second["granted"], third["granted"]] == [
        70,
        0,
        30,
    ]
    assert ledger.count_charged(shard["budgets"]["b"]) == 100


def test_settlement_beyond_grant_changes_nothing() -> None:
    shard = make_paid(100)
    ledger.apply_op(shard, make_request("s1", 70, 70), NOW)
    result = ledger.apply_op(
        shard,
        {
            "op": "settle",
            "budget": "b",
            "session": "s1",
            "version": 1,
            "spent": 71,
            "returned": 0,
            "bills": [],
        },
        NOW,
    )
    assert result["error"] == "ledger_invariant"
    assert shard["budgets"]["b"]["grants"]["s1"]["spent"] == 0
