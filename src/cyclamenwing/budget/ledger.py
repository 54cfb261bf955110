"""Operations on a ledger shard.

No operation charges more units to a budget than were paid.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cyclamenwing.budget import billing
from cyclamenwing.budget import errors
from cyclamenwing.budget import messages
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import transfers
from cyclamenwing.budget import types

DOUBT_KIND = "doubt"


def apply_op(
    shard: types.LedgerShard, op: messages.LedgerOp, now: float
) -> messages.OpResult:
    """Apply one operation.

    A refused operation charges nothing; its result has the error's code.
    """
    error: str | None = None
    try:
        _APPLIERS[op["op"]](shard, op, now)
    except errors.BudgetError as err:
        error = err.code
    return _make_result(shard, op, error)


def apply_ops(
    shard: types.LedgerShard, ops: list[messages.LedgerOp], now: float
) -> list[messages.OpResult]:
    """Apply operations, first those that free units for others.

    Return the results in the order of `ops`.
    """
    ranked = sorted(
        range(len(ops)), key=lambda index: _APPLY_ORDER[ops[index]["op"]]
    )
    results = {index: apply_op(shard, ops[index], now) for index in ranked}
    return [results[index] for index in range(len(ops))]


def list_ops(batch: messages.LedgerBatch) -> list[messages.LedgerOp]:
    """Return a batch's operations in the order of their results."""
    return [
        *batch["closings"],
        *batch["settlements"],
        *batch["recoveries"],
        *batch["grants"],
    ]


def make_batch(shard: int) -> messages.LedgerBatch:
    """Return an empty batch."""
    return {
        "shard": shard,
        "closings": [],
        "settlements": [],
        "recoveries": [],
        "grants": [],
    }


def _apply_top_up(
    shard: types.LedgerShard, op: messages.TopUp, now: float
) -> None:
    earlier = shard["top_ups"].get(op["id"])
    if earlier is not None:
        if (earlier["budget"], earlier["amount"]) != (
            op["budget"],
            op["amount"],
        ):
            raise errors.TopUpReusedError(f"{op['id']!r} names another top-up")
        return
    if op["amount"] <= 0:
        raise errors.LedgerInvariantError(
            "the amount of a top-up must be positive"
        )
    if len(shard["top_ups"]) >= shards.MAX_TOP_UP_IDS:
        raise errors.ShardFullError(
            "too many top-ups within the retention time"
        )
    budget = shard["budgets"].setdefault(
        op["budget"], {"paid": 0, "settled": 0, "grants": {}}
    )
    shard["top_ups"][op["id"]] = {
        "budget": op["budget"],
        "amount": op["amount"],
        "at": now,
    }
    budget["paid"] += op["amount"]


def _apply_grant(
    shard: types.LedgerShard, op: messages.GrantRequest, now: float
) -> None:
    budget = _find_budget(shard, op["budget"])
    grant = budget["grants"].get(op["session"])
    if op["session"] in shard["closed"] or (grant and grant["closing"]):
        raise errors.StaleSessionError(f"session {op['session']!r} is closed")
    if grant is None:
        grant = shards.make_grant()
        budget["grants"][op["session"]] = grant
    grant["rate"] = op["rate"]
    free = max(0, shards.count_free(budget))
    missing = max(0, op["target"] - grant["granted"])
    needed = max(0, op["floor"] - grant["granted"])
    share = int(free * _count_share(budget, op["rate"]))
    added = min(free, max(needed, min(missing, share)))
    if added >= needed or op["partial"]:
        grant["granted"] += added


def _apply_settlement(
    shard: types.LedgerShard, op: messages.Settlement, now: float
) -> None:
    budget = _find_budget(shard, op["budget"])
    for transfer in op["transfers"]:
        transfers.apply_transfer(shard, budget, transfer)
    grant = _find_grant(budget, op["session"])
    billing.check_capacity(shard, op["bills"])
    billing.check_sequence(grant, op["next"])
    newly_returned = max(0, op["returned"] - grant["returned"])
    charged = billing.count_new_units(grant, op["bills"]) + newly_returned
    if charged > shards.count_outstanding(grant):
        raise errors.LedgerInvariantError(
            f"session {op['session']!r} spent more than its grant"
        )
    billing.apply_bills(shard, grant, op["bills"], now)
    billing.close_sequences(grant, op["next"], op["open"])
    grant["returned"] += newly_returned
    grant["rate"] = op["rate"]
    transfers.acknowledge_taken(grant, op["known"])


def _apply_closing(
    shard: types.LedgerShard, op: messages.Closing, now: float
) -> None:
    shard["closed"].setdefault(op["session"], now)
    for budget in shard["budgets"].values():
        grant = budget["grants"].get(op["session"])
        if grant is not None and not grant["closing"]:
            grant["closing"] = now
            grant["reason"] = "closing"


def _apply_recovery(
    shard: types.LedgerShard, op: messages.Recovery, now: float
) -> None:
    budget = _find_budget(shard, op["budget"])
    for transfer in op["transfers"]:
        transfers.apply_transfer(shard, budget, transfer)
    grant = _find_closing(budget, op["session"])
    billing.check_capacity(shard, op["bills"])
    new_units = billing.count_new_units(grant, op["bills"])
    if new_units > shards.count_outstanding(grant):
        grant["reason"] = "a transfer to this session is not known"
        raise errors.LedgerInvariantError(grant["reason"])
    billing.apply_bills(shard, grant, op["bills"], now)
    grant["reason"] = op["reason"]
    if op["reason"]:
        return
    grant["final"] = True
    grant["reason"] = "runs in progress" if op["running"] else ""
    outstanding = shards.count_outstanding(grant)
    grant["returned"] += max(0, outstanding - op["running"])


def _apply_doubt_settlement(
    shard: types.LedgerShard, op: messages.DoubtSettlement, now: float
) -> None:
    budget = _find_budget(shard, op["budget"])
    grant = _find_closing(budget, op["session"])
    if not shards.count_outstanding(grant):
        raise errors.StaleSessionError("the session has no units in doubt")
    if not 0 <= op["spent"] <= shards.count_outstanding(grant):
        raise errors.LedgerInvariantError(
            "the units spent must be between 0 and the units in doubt"
        )
    bill: types.Bill = {
        "request": f"doubt/{op['session']}",
        "key": "",
        "workspace": op["workspace"],
        "budget": op["budget"],
        "session": op["session"],
        "sequence": grant["next"],
        "kind": DOUBT_KIND,
        "reviewer": "",
        "units": op["spent"],
        "at": now,
    }
    billing.check_capacity(shard, [bill])
    billing.apply_bills(shard, grant, [bill], now)
    grant["returned"] += shards.count_outstanding(grant)
    grant["reason"] = ""


def _count_share(budget: types.Budget, rate: float) -> float:
    """Return a session's share of the demand of all open sessions."""
    total = sum(
        grant["rate"]
        for grant in budget["grants"].values()
        if not grant["closing"]
    )
    return rate / total if total > 0 else 1.0


def _find_budget(shard: types.LedgerShard, name: str) -> types.Budget:
    budget = shard["budgets"].get(name)
    if budget is None:
        raise errors.UnknownBudgetError(f"budget {name!r} was never topped up")
    return budget


def _find_grant(budget: types.Budget, session: str) -> types.Grant:
    grant = budget["grants"].get(session)
    if grant is None:
        raise errors.StaleSessionError(f"session {session!r} has no grant")
    return grant


def _find_closing(budget: types.Budget, session: str) -> types.Grant:
    grant = _find_grant(budget, session)
    if not grant["closing"]:
        raise errors.SessionOpenError(f"session {session!r} is not closing")
    return grant


def _make_result(
    shard: types.LedgerShard, op: Any, error: str | None
) -> messages.OpResult:
    name = op.get("budget", "")
    budget = shard["budgets"].get(name)
    grants = budget["grants"] if budget else {}
    grant = grants.get(op.get("session", ""), _NO_GRANT)
    return {
        "budget": name,
        "error": error,
        "version": shard["version"],
        "granted": grant["granted"],
        "next": grant["next"],
        "open": list(grant["open"]),
        "given": grant["given"],
        "taken": list(grant["taken"]),
        "closing": grant["closing"] > 0,
        "outstanding": shards.count_outstanding(grant),
        "free": shards.count_free(budget) if budget else 0,
        "left": budget["paid"] - shards.count_settled(budget) if budget else 0,
        "rate": sum(other["rate"] for other in grants.values()),
    }


_NO_GRANT = shards.make_grant()
_APPLIERS: dict[str, Callable[[types.LedgerShard, Any, float], None]] = {
    "top_up": _apply_top_up,
    "grant": _apply_grant,
    "settle": _apply_settlement,
    "close": _apply_closing,
    "recover": _apply_recovery,
    "settle_doubt": _apply_doubt_settlement,
}

_APPLY_ORDER = {
    "close": 0,
    "top_up": 1,
    "settle": 2,
    "settle_doubt": 3,
    "recover": 3,
    "grant": 4,
}

__all__ = (
    "DOUBT_KIND",
    "apply_op",
    "apply_ops",
    "list_ops",
    "make_batch",
)
