"""Rules of one ledger shard: no operation charges more than was paid."""

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
    """Apply one operation; a refused one charges nothing."""
    error: str | None = None
    try:
        _APPLIERS[op["op"]](shard, op, now)
    except errors.BudgetError as err:
        error = err.code
    return _make_result(shard, op, error)


def apply_ops(
    shard: types.LedgerShard, ops: list[messages.LedgerOp], now: float
) -> list[messages.OpResult]:
    """Apply operations, those first that free units for the others.

    The results are in the order of the operations given.
    """
    ranked = sorted(range(len(ops)), key=lambda place: _RANK[ops[place]["op"]])
    results = {place: apply_op(shard, ops[place], now) for place in ranked}
    return [results[place] for place in range(len(ops))]


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
    known = shard["top_ups"].get(op["id"])
    if known is not None:
        if (known["budget"], known["amount"]) != (op["budget"], op["amount"]):
            raise errors.TopUpReusedError(f"{op['id']!r} is another payment")
        return
    if op["amount"] <= 0:
        raise errors.LedgerInvariantError("a top-up must be positive")
    if len(shard["top_ups"]) >= shards.MAX_TOP_UP_IDS:
        raise errors.ShardFullError("too many top-ups within their retention")
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
    given = min(free, max(needed, min(missing, share)))
    if given >= needed or op["partial"]:
        grant["granted"] += given


def _apply_settlement(
    shard: types.LedgerShard, op: messages.Settlement, now: float
) -> None:
    budget = _find_budget(shard, op["budget"])
    for transfer in op["transfers"]:
        transfers.fold_transfer(shard, budget, transfer)
    grant = _find_grant(budget, op["session"])
    billing.check_room(shard, op["bills"])
    billing.check_step(grant, op["next"])
    added = max(0, op["returned"] - grant["returned"])
    charged = billing.count_new(grant, op["bills"]) + added
    if charged > shards.count_outstanding(grant):
        raise errors.LedgerInvariantError(
            f"session {op['session']!r} spent more than its grant"
        )
    billing.fold_bills(shard, grant, op["bills"], now)
    billing.close_sequences(grant, op["next"], op["open"])
    grant["returned"] += added
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
        transfers.fold_transfer(shard, budget, transfer)
    grant = _find_closing(budget, op["session"])
    billing.check_room(shard, op["bills"])
    new = billing.count_new(grant, op["bills"])
    if new > shards.count_outstanding(grant):
        grant["reason"] = "a transfer to this session is not known"
        raise errors.LedgerInvariantError(grant["reason"])
    billing.fold_bills(shard, grant, op["bills"], now)
    grant["reason"] = op["reason"]
    if op["reason"]:
        return
    grant["reason"] = "runs in progress" if op["running"] else ""
    outstanding = shards.count_outstanding(grant)
    grant["returned"] += max(0, outstanding - op["running"])


def _apply_doubt_settlement(
    shard: types.LedgerShard, op: messages.DoubtSettlement, now: float
) -> None:
    budget = _find_budget(shard, op["budget"])
    grant = _find_closing(budget, op["session"])
    if not shards.count_outstanding(grant):
        raise errors.StaleSessionError("nothing is in doubt")
    if not 0 <= op["spent"] <= shards.count_outstanding(grant):
        raise errors.LedgerInvariantError("not within the doubt")
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
    billing.check_room(shard, [bill])
    billing.fold_bills(shard, grant, [bill], now)
    grant["returned"] += shards.count_outstanding(grant)
    grant["reason"] = ""


def _count_share(budget: types.Budget, rate: float) -> float:
    """Return a session's part of the demand of all that may ask."""
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

_RANK = {
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
