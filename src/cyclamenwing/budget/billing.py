"""Bills of a shard: folded once by sequence, refunded by request key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from cyclamenwing.budget import errors
from cyclamenwing.budget import types

BILLED_RETENTION_S = 3_600.0
BILLED_SPAN_S = 60.0
MAX_BILLED_KEYS = 30_000
SEGMENT_BILLS = 1_000
MAX_BILLS = 2_000
MAX_SEQUENCE_STEP = 20_000


def check_room(shard: types.LedgerShard, bills: list[types.Bill]) -> None:
    """Raise `ShardFullError` unless the bills fit."""
    if not bills:
        return
    keyed = sum(1 for bill in bills if bill["key"])
    held = sum(len(span["digests"]) for span in shard["billed"])
    if len(shard["bills"]) + len(bills) > MAX_BILLS:
        raise errors.ShardFullError("too many bills not yet moved")
    if held + keyed > MAX_BILLED_KEYS:
        raise errors.ShardFullError("too many keys billed within the hour")


def check_step(grant: types.Grant, ends: int) -> None:
    """Raise `LedgerInvariantError` on sequences far beyond the known."""
    if ends - grant["next"] > MAX_SEQUENCE_STEP:
        raise errors.LedgerInvariantError(f"sequence {ends} is out of range")


def is_folded(grant: types.Grant, sequence: int) -> bool:
    """Tell whether a sequence is over."""
    return sequence < grant["next"] and sequence not in grant["open"]


def count_new(grant: types.Grant, bills: list[types.Bill]) -> int:
    """Return the units of bills whose sequence is not over."""
    return sum(
        bill["units"]
        for bill in bills
        if not is_folded(grant, bill["sequence"])
    )


def fold_bills(
    shard: types.LedgerShard,
    grant: types.Grant,
    bills: Iterable[types.Bill],
    now: float,
) -> None:
    """Charge each bill's sequence once; refund a key billed before."""
    for bill in bills:
        if is_folded(grant, bill["sequence"]):
            continue
        grant["spent"] += bill["units"]
        close_sequence(grant, bill["sequence"])
        _record(shard, grant, bill, now)


def close_sequence(grant: types.Grant, sequence: int) -> None:
    """Take note that a sequence is over."""
    if sequence >= grant["next"]:
        grant["open"].extend(range(grant["next"], sequence))
        grant["next"] = sequence + 1
    elif sequence in grant["open"]:
        grant["open"].remove(sequence)


def close_sequences(
    grant: types.Grant, ends: int, still_open: list[int]
) -> None:
    """Take note that all sequences below `ends` but some are over."""
    kept = set(still_open)
    candidates = [
        *grant["open"],
        *range(grant["next"], max(ends, grant["next"])),
    ]
    grant["open"] = [
        sequence
        for sequence in candidates
        if sequence >= ends or sequence in kept
    ]
    grant["next"] = max(grant["next"], ends)


def expire_keys(shard: types.LedgerShard, now: float) -> None:
    """Drop billed keys past their retention."""
    shard["billed"] = [
        span
        for span in shard["billed"]
        if now - span["at"] < BILLED_RETENTION_S + BILLED_SPAN_S
    ]


def make_bill_key(key: str, request: str, fingerprint: str) -> str:
    """Return what names a request's bill, empty if the caller gave no key.

    The fingerprint is part of it: another request under the same key, at a
    sidecar that has forgotten the first, is billed too.
    """
    return "" if key.endswith(f"/{request}") else f"{key}/{fingerprint}"


def digest_key(budget: str, key: str) -> str:
    """Return a short digest of a request's key within a budget."""
    return xxhash.xxh64_hexdigest(f"{budget}\0{key}".encode())


def _record(
    shard: types.LedgerShard,
    grant: types.Grant,
    bill: types.Bill,
    now: float,
) -> None:
    if not bill["units"]:
        return
    if bill["key"]:
        digest = digest_key(bill["budget"], bill["key"])
        if any(digest in span["digests"] for span in shard["billed"]):
            grant["refunded"] += bill["units"]
            return
        _find_span(shard, now)["digests"].append(digest)
    shard["bills"].append(bill)


def _find_span(shard: types.LedgerShard, now: float) -> types.BilledKeys:
    spans = shard["billed"]
    if not spans or now - spans[-1]["at"] >= BILLED_SPAN_S:
        spans.append({"at": now, "digests": []})
    return spans[-1]


__all__ = (
    "BILLED_RETENTION_S",
    "MAX_BILLED_KEYS",
    "MAX_BILLS",
    "MAX_SEQUENCE_STEP",
    "SEGMENT_BILLS",
    "check_room",
    "check_step",
    "close_sequence",
    "close_sequences",
    "count_new",
    "digest_key",
    "expire_keys",
    "make_bill_key",
    "fold_bills",
    "is_folded",
)
