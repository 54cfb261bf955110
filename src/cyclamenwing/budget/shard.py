"""Encoding, limits and totals of a ledger shard."""

from __future__ import annotations

import msgspec

from cyclamenwing import decoding
from cyclamenwing.budget import errors
from cyclamenwing.budget import types

MAX_COMMIT_IDS = 64
MAX_SHARD_BYTES = 900_000
MAX_TOP_UP_IDS = 1_000
TOP_UP_RETENTION_S = 30 * 86_400.0
CLOSED_RETENTION_S = 3_600.0


class ShardCodec:
    """Convert a ledger shard to and from JSON."""

    def decode(self, value: bytes | None) -> types.LedgerShard:
        """Decode a shard; return an empty one if there is no value.

        :raises MalformedLedgerError: if the value is not a ledger shard
        """
        if value is None:
            return make_shard()
        try:
            return decoding.decode(value, types.LedgerShard)
        except msgspec.DecodeError as err:
            raise errors.MalformedLedgerError(str(err)) from err

    def encode(self, document: types.LedgerShard) -> bytes:
        """Encode a shard.

        :raises ShardFullError: if it exceeds `MAX_SHARD_BYTES`
        """
        value = msgspec.json.encode(document)
        if len(value) > MAX_SHARD_BYTES:
            raise errors.ShardFullError(
                f"{len(value)} bytes exceed the limit of a shard"
            )
        return value

    def contains(self, document: types.LedgerShard, commit_id: str) -> bool:
        """Return whether the shard contains a commit id."""
        return commit_id in document["commits"]


def make_shard() -> types.LedgerShard:
    """Return an empty shard."""
    return {
        "version": 0,
        "commits": [],
        "budgets": {},
        "top_ups": {},
        "bills": [],
        "billed": [],
        "segments": 0,
        "closed": {},
    }


def make_grant() -> types.Grant:
    """Return an empty grant."""
    return {
        "granted": 0,
        "spent": 0,
        "refunded": 0,
        "returned": 0,
        "next": 1,
        "open": [],
        "given": 1,
        "early": [],
        "taken": [],
        "rate": 0.0,
        "closing": 0.0,
        "final": False,
        "reason": "",
    }


def record_commit(shard: types.LedgerShard, commit_id: str) -> None:
    """Count a commit and add its id; keep the newest `MAX_COMMIT_IDS`."""
    shard["version"] += 1
    shard["commits"].append(commit_id)
    del shard["commits"][:-MAX_COMMIT_IDS]


def drop_expired(shard: types.LedgerShard, now: float) -> None:
    """Drop closed sessions and top-up ids after their retention time."""
    for budget in shard["budgets"].values():
        _drop_closed(budget, now)
    shard["closed"] = {
        session: at
        for session, at in shard["closed"].items()
        if now - at < CLOSED_RETENTION_S
    }
    shard["top_ups"] = {
        name: top_up
        for name, top_up in shard["top_ups"].items()
        if now - top_up["at"] < TOP_UP_RETENTION_S
    }


def _drop_closed(budget: types.Budget, now: float) -> None:
    """Drop closing grants without units after their retention time."""
    expired = [
        session
        for session, grant in budget["grants"].items()
        if grant["closing"]
        and not count_outstanding(grant)
        and now - grant["closing"] >= CLOSED_RETENTION_S
    ]
    for session in expired:
        grant = budget["grants"].pop(session)
        budget["settled"] += grant["spent"] - grant["refunded"]


def count_outstanding(grant: types.Grant) -> int:
    """Return the units that a grant may still spend."""
    return grant["granted"] - grant["spent"] - grant["returned"]


def count_settled(budget: types.Budget) -> int:
    """Return the units billed and not refunded."""
    return budget["settled"] + sum(
        grant["spent"] - grant["refunded"]
        for grant in budget["grants"].values()
    )


def count_in_doubt(budget: types.Budget) -> int:
    """Return the units that closing grants may have spent."""
    return sum(
        count_outstanding(grant)
        for grant in budget["grants"].values()
        if grant["closing"]
    )


def count_charged(budget: types.Budget) -> int:
    """Return the units billed, granted or in doubt."""
    outstanding = sum(count_outstanding(g) for g in budget["grants"].values())
    return count_settled(budget) + outstanding


def count_free(budget: types.Budget) -> int:
    """Return the units that may still be granted."""
    return budget["paid"] - count_charged(budget)


__all__ = (
    "CLOSED_RETENTION_S",
    "MAX_COMMIT_IDS",
    "MAX_SHARD_BYTES",
    "MAX_TOP_UP_IDS",
    "TOP_UP_RETENTION_S",
    "ShardCodec",
    "count_charged",
    "count_free",
    "count_in_doubt",
    "count_outstanding",
    "count_settled",
    "drop_expired",
    "make_grant",
    "make_shard",
    "record_commit",
)
