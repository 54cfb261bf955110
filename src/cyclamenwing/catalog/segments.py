"""Segments of old audit records, each under a key of its own.

The head of a chain keeps only the latest records, so that it stays small.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from cyclamenwing import decoding
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import types
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

SEGMENT_RECORDS = 32
MAX_HEAD_RECORDS = 2 * SEGMENT_RECORDS
# Number of tries to write a key while the store's answers are lost.
WRITE_ATTEMPTS = 4


async def store_segments(
    store: protocol.Store, name: str, chain: types.Chain
) -> None:
    """Write the segments that the head is about to drop.

    A segment's number determines its records, so that a repeated write by
    any process is idempotent.
    """
    first = chain["audit_segments"]
    for number, segment in enumerate(_list_closed_segments(chain), first):
        key = keys.name_audit(name, number)
        await write_once(store, key, msgspec.json.encode(segment))


def drop_stored(chain: types.Chain) -> None:
    """Drop the records that `store_segments` wrote from the head."""
    closed = len(list(_list_closed_segments(chain)))
    del chain["audit"][: closed * SEGMENT_RECORDS]
    chain["audit_segments"] += closed


async def read_records(
    store: protocol.Store, name: str, chain: types.Chain
) -> list[types.AuditRecord]:
    """Return all records of a chain.

    :raises AuditBrokenError: if a segment is missing or malformed
    """
    records: list[types.AuditRecord] = []
    for number in range(chain["audit_segments"]):
        stored = await store.get(keys.name_audit(name, number))
        if stored is None:
            first = number * SEGMENT_RECORDS + 1
            raise errors.AuditBrokenError(
                f"the segment of {name} from record {first} is missing"
            )
        records.extend(_decode_segment(stored.value))
    return [*records, *chain["audit"]]


async def write_once(store: protocol.Store, key: str, value: bytes) -> None:
    """Write a key whose value never changes; retry on a lost answer.

    :raises AuditBrokenError: if the key holds another value
    :raises StoreUnavailableError: if each answer is lost
    """
    for _ in range(WRITE_ATTEMPTS):
        try:
            written = await store.swap(key, 0, value)
        except store_errors.StoreAnswerLostError:
            continue
        if written is None:
            await _check_stored_value(store, key, value)
        return
    # No head refers to the key yet, so a completed write has no effect.
    raise store_errors.StoreUnavailableError(f"no answer on {key!r}")


async def _check_stored_value(
    store: protocol.Store, key: str, value: bytes
) -> None:
    stored = await store.get(key)
    if stored is None or stored.value != value:
        raise errors.AuditBrokenError(f"{key!r} holds another value")


def _list_closed_segments(
    chain: types.Chain,
) -> Iterator[list[types.AuditRecord]]:
    records = chain["audit"]
    start = 0
    while len(records) - start >= MAX_HEAD_RECORDS:
        yield records[start : start + SEGMENT_RECORDS]
        start += SEGMENT_RECORDS


def _decode_segment(value: bytes) -> list[types.AuditRecord]:
    try:
        return decoding.decode(value, list[types.AuditRecord])
    except msgspec.DecodeError as err:
        raise errors.AuditBrokenError(str(err)) from err


__all__ = (
    "MAX_HEAD_RECORDS",
    "SEGMENT_RECORDS",
    "drop_stored",
    "read_records",
    "store_segments",
    "write_once",
)
