"""Segments: the oldest bills of a shard, moved to separate keys."""

from __future__ import annotations

import msgspec

from cyclamenwing import decoding
from cyclamenwing.budget import billing
from cyclamenwing.budget import errors
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol


async def write_segment(
    store: protocol.Store, number: int, document: types.LedgerShard
) -> bool:
    """Copy the oldest bills to the next segment's key.

    Return whether the key holds them afterwards. All writers write the same
    bills to a segment, so a repeated or concurrent write changes nothing.

    :param number: number of the shard
    """
    if len(document["bills"]) < billing.SEGMENT_BILLS:
        return False
    key = keys.name_bill_segment(number, document["segments"])
    value = msgspec.json.encode(document["bills"][: billing.SEGMENT_BILLS])
    try:
        if await store.swap(key, 0, value) is not None:
            return True
    except store_errors.StoreAnswerLostError:
        pass
    entry = await store.get(key)
    return entry is not None and entry.value == value


def drop_segment(document: types.LedgerShard, segment: int) -> None:
    """Drop the bills of a written segment from the shard, once."""
    if document["segments"] == segment:
        del document["bills"][: billing.SEGMENT_BILLS]
        document["segments"] += 1


async def read_bills(
    store: protocol.Store, number: int
) -> tuple[types.LedgerShard, list[types.Bill]]:
    """Return a shard and all its bills, oldest first."""
    entry = await store.get(keys.name_ledger(number))
    document = shards.ShardCodec().decode(entry.value if entry else None)
    bills: list[types.Bill] = []
    for segment in range(document["segments"]):
        bills.extend(await _read_segment(store, number, segment))
    return document, bills + document["bills"]


async def _read_segment(
    store: protocol.Store, number: int, segment: int
) -> list[types.Bill]:
    key = keys.name_bill_segment(number, segment)
    entry = await store.get(key)
    if entry is None:
        raise errors.MalformedLedgerError(f"missing bill segment {key!r}")
    try:
        return decoding.decode(entry.value, list[types.Bill])
    except msgspec.DecodeError as err:
        raise errors.MalformedLedgerError(str(err)) from err


__all__ = (
    "drop_segment",
    "read_bills",
    "write_segment",
)
