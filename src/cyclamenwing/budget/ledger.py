"""Rules of one ledger shard: no operation charges more than was paid."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from cyclamenwing.budget import errors
from cyclamenwing.budget import types

MAX_COMMIT_IDS = 64
BILLED_RETENTION_S = 3600.0


class ShardCodec:
    """Convert a ledger shard to and from JSON."""

    def decode(self, value: bytes | None) -> types.LedgerShard:
        """Read a shard; raise `MalformedLedgerError` on a wrong one."""
        if value is None:
            return make_shard()
        try:
            return msgspec.json.decode(value, type=types.LedgerShard)
        except (msgspec.ValidationError, msgspec.DecodeError) as err:
            raise errors.MalformedLedgerError(str(err)) from err

    def encode(self, document: types.LedgerShard) -> bytes:
        """Write a shard."""
        return msgspec.json.encode(document)

    def contains(self, document: types.LedgerShard, commit_id: str) -> bool:
        """Tell whether the shard holds a commit."""
        return commit_id in document["commits"]


def make_shard() -> types.LedgerShard:
    """Return an empty shard."""
    return {
        "commits": [],
        "budgets": {},
        "top_ups": {},
        "bills": [],
        "billed": {},
        "segments": 0,
    }


def record_commit(shard: types.LedgerShard, commit_id: str) -> None:
    """Remember a commit id, dropping the oldest beyond the bound."""
    shard["commits"].append(commit_id)
    del shard["commits"][:-MAX_COMMIT_IDS]


def count_outstanding(grant: types.Grant) -> int:
    """Return the units that a grant may still spend."""
    return grant["granted"] - grant["spent"] - grant["returned"]


def count_settled(budget: types.Budget) -> int:
    """Return the units spent for certain."""
    open_spent = sum(g["spent"] for g in budget["grants"].values())
    return budget["settled"] + open_spent


def count_charged(budget: types.Budget) -> int:
    """Return the units spent, granted or in doubt."""
    outstanding = sum(count_outstanding(g) for g in budget["grants"].values())
    return count_settled(budget) + outstanding + sum(budget["doubt"].values())


def count_free(budget: types.Budget) -> int:
    """Return the units that may still be granted."""
    return budget["paid"] - count_charged(budget)


def apply_op(
    shard: types.LedgerShard, op: types.LedgerOp, now: float
) -> types.OpResult:
    """Apply one operation; a refused one changes nothing."""
    try:
        return _APPLIERS[op["op"]](shard, op, now)
    except errors.BudgetError as err:
        return _make_result(shard, op, err.code)


def _apply_top_up(
    shard: types.LedgerShard, op: types.TopUp, now: float
) -> types.OpResult:
    budget = shard["budgets"].setdefault(
        op["budget"],
        {"paid": 0, "settled": 0, "grants": {}, "doubt": {}},
    )
    if op["id"] not in shard["top_ups"]:
        shard["top_ups"][op["id"]] = op["amount"]
        budget["paid"] += op["amount"]
    return _make_result(shard, op, None)


def _apply_grant(
    shard: types.LedgerShard, op: types.GrantRequest, now: float
) -> types.OpResult:
    budget = _find_budget(shard, op["budget"])
    grant = budget["grants"].setdefault(
        op["session"],
        {"granted": 0, "spent": 0, "returned": 0, "version": 0},
    )
    missing = max(0, op["target"] - grant["granted"])
    needed = max(0, op["floor"] - grant["granted"])
    given = min(missing, max(0, count_free(budget)))
    if given >= needed:
        grant["granted"] += given
    return _make_result(shard, op, None)


def _apply_settlement(
    shard: types.LedgerShard, op: types.Settlement, now: float
) -> types.OpResult:
    budget = _find_budget(shard, op["budget"])
    grant = budget["grants"].get(op["session"])
    if grant is None:
        raise errors.StaleSessionError(f"session {op['session']!r} is closed")
    if op["version"] > grant["version"]:
        if op["spent"] + op["returned"] > grant["granted"]:
            raise errors.LedgerInvariantError(
                f"session {op['session']!r} spent more than its grant"
            )
        grant["version"] = op["version"]
        grant["spent"] = op["spent"]
        grant["returned"] = op["returned"]
        for bill in op["bills"]:
            _record_bill(shard, bill)
    return _make_result(shard, op, None)


def _record_bill(shard: types.LedgerShard, bill: types.Bill) -> None:
    key = f"{bill['request']}/{bill['budget']}"
    if key in shard["billed"]:
        return
    shard["billed"][key] = bill["at"]
    shard["bills"].append(bill)


def _find_budget(shard: types.LedgerShard, name: str) -> types.Budget:
    budget = shard["budgets"].get(name)
    if budget is None:
        raise errors.UnknownBudgetError(f"budget {name!r} was never topped up")
    return budget


def _make_result(
    shard: types.LedgerShard, op: types.LedgerOp, error: str | None
) -> types.OpResult:
    budget = shard["budgets"].get(op["budget"])
    grant = None
    if budget is not None and op["op"] != "top_up":
        grant = budget["grants"].get(op["session"])
    return {
        "budget": op["budget"],
        "error": error,
        "granted": grant["granted"] if grant else 0,
        "version": grant["version"] if grant else 0,
        "free": count_free(budget) if budget else 0,
        "left": budget["paid"] - count_settled(budget) if budget else 0,
    }


_APPLIERS: dict[
    str, Callable[[types.LedgerShard, Any, float], types.OpResult]
] = {
    "top_up": _apply_top_up,
    "grant": _apply_grant,
    "settle": _apply_settlement,
}

__all__ = (
    "BILLED_RETENTION_S",
    "MAX_COMMIT_IDS",
    "ShardCodec",
    "apply_op",
    "count_charged",
    "count_free",
    "count_outstanding",
    "count_settled",
    "make_shard",
    "record_commit",
)
