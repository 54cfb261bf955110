"""Bills of a ledger shard.

Each sequence number of a grant is charged at most once. A bill whose request
key was billed before is refunded.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from cyclamenwing.budget import errors
from cyclamenwing.budget import types

# Time for which a request key is remembered to refund repeated bills.
BILLED_RETENTION_S = 3_600.0
# Keys are remembered in groups of this time span.
BILLED_SPAN_S = 60.0
MAX_BILLED_KEYS = 30_000
# Number of bills that are moved to one segment, a separate key, at a time.
SEGMENT_BILLS = 1_000
# Limit on the bills of a shard that are not moved yet. Operations with bills
# beyond it are refused.
MAX_BILLS = 2_000
MAX_SEQUENCE_STEP = 20_000


def check_capacity(shard: types.LedgerShard, bills: list[types.Bill]) -> None:
    """Check that the shard has room for bills.

    :raises ShardFullError: if it would hold too many bills or billed keys
    """
    if not bills:
        return
    keyed = sum(1 for bill in bills if bill["key"])
    billed_keys = sum(len(span["digests"]) for span in shard["billed"])
    if len(shard["bills"]) + len(bills) > MAX_BILLS:
        raise errors.ShardFullError("too many bills are not moved to segments")
    if billed_keys + keyed > MAX_BILLED_KEYS:
        raise errors.ShardFullError(
            "too many keys were billed within the retention time"
        )


def check_sequence(grant: types.Grant, end: int) -> None:
    """Check the range of a settlement's next sequence number.

    :raises LedgerInvariantError: if it is far beyond that of the grant
    """
    if end - grant["next"] > MAX_SEQUENCE_STEP:
        raise errors.LedgerInvariantError(f"sequence {end} is out of range")


def is_sequence_closed(grant: types.Grant, sequence: int) -> bool:
    """Return whether a sequence number is closed."""
    return sequence < grant["next"] and sequence not in grant["open"]


def count_new_units(grant: types.Grant, bills: list[types.Bill]) -> int:
    """Return the units of bills whose sequence number is not closed."""
    return sum(
        bill["units"]
        for bill in bills
        if not is_sequence_closed(grant, bill["sequence"])
    )


def apply_bills(
    shard: types.LedgerShard,
    grant: types.Grant,
    bills: Iterable[types.Bill],
    now: float,
) -> None:
    """Charge each sequence number once; refund keys billed before.

    Bills whose sequence number is closed have no effect.
    """
    for bill in bills:
        if is_sequence_closed(grant, bill["sequence"]):
            continue
        grant["spent"] += bill["units"]
        close_sequence(grant, bill["sequence"])
        _record(shard, grant, bill, now)


def close_sequence(grant: types.Grant, sequence: int) -> None:
    """Close a sequence number."""
    if sequence >= grant["next"]:
        grant["open"].extend(range(grant["next"], sequence))
        grant["next"] = sequence + 1
    elif sequence in grant["open"]:
        grant["open"].remove(sequence)


def close_sequences(
    grant: types.Grant, end: int, still_open: list[int]
) -> None:
    """Close all sequence numbers below `end`.

    :param still_open: sequence numbers that stay open
    """
    open_sequences = set(still_open)
    candidates = [
        *grant["open"],
        *range(grant["next"], max(end, grant["next"])),
    ]
    grant["open"] = [
        sequence
        for sequence in candidates
        if sequence >= end or sequence in open_sequences
    ]
    grant["next"] = max(grant["next"], end)


def drop_expired_keys(shard: types.LedgerShard, now: float) -> None:
    """Drop billed keys after their retention time."""
    shard["billed"] = [
        span
        for span in shard["billed"]
        if now - span["at"] < BILLED_RETENTION_S + BILLED_SPAN_S
    ]


def make_bill_key(key: str, request: str, fingerprint: str) -> str:
    """Return the key of a request's bill, empty without a caller's key.

    The fingerprint is part of the key. Thus a different request under the
    same idempotency key is billed too, if it runs at a sidecar that no longer
    remembers the first.

    :param key: the caller's key, or the request id if there is none, after
        the name of the workspace
    :param fingerprint: digest of the request's content
    """
    return "" if key.endswith(f"/{request}") else f"{key}/{fingerprint}"


def digest_key(budget: str, key: str) -> str:
    """Return a digest of a bill's key within a budget."""
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
    "apply_bills",
    "check_capacity",
    "check_sequence",
    "close_sequence",
    "close_sequences",
    "count_new_units",
    "digest_key",
    "drop_expired_keys",
    "is_sequence_closed",
    "make_bill_key",
)
