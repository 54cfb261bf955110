"""Closed runs of audit records under keys of their own."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from cyclamenwing.catalog import errors
from cyclamenwing.catalog import types
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

SEGMENT_RECORDS = 32
MAX_HEAD_RECORDS = 2 * SEGMENT_RECORDS
WRITE_ATTEMPTS = 4


async def store_segments(
    store: protocol.Store, name: str, chain: types.Chain
) -> None:
    """Write the runs that the head is about to drop.

    The records of a run are fixed by its number, so writing one again, by
    any process, is harmless.
    """
    first = chain["audit_segments"]
    for number, run in enumerate(_list_closed(chain), first):
        key = keys.name_audit(name, number)
        await write_once(store, key, msgspec.json.encode(run))


def drop_stored(chain: types.Chain) -> None:
    """Drop the runs that `store_segments` wrote."""
    closed = len(list(_list_closed(chain)))
    del chain["audit"][: closed * SEGMENT_RECORDS]
    chain["audit_segments"] += closed


async def read_records(
    store: protocol.Store, name: str, chain: types.Chain
) -> list[types.AuditRecord]:
    """Return all records of a chain; raise if a run is missing."""
    records: list[types.AuditRecord] = []
    for number in range(chain["audit_segments"]):
        found = await store.get(keys.name_audit(name, number))
        if found is None:
            first = number * SEGMENT_RECORDS + 1
            raise errors.AuditBrokenError(
                f"the run of {name} from record {first} is missing"
            )
        records.extend(_decode_run(found.value))
    return [*records, *chain["audit"]]


async def write_once(store: protocol.Store, key: str, value: bytes) -> None:
    """Write a key whose value never changes, under lost answers."""
    for _ in range(WRITE_ATTEMPTS):
        try:
            written = await store.swap(key, 0, value)
        except store_errors.StoreAnswerLostError:
            continue
        if written is None:
            await _compare(store, key, value)
        return
    # Nothing depends on the key yet, so nothing took effect.
    raise store_errors.StoreUnavailableError(f"no answer on {key!r}")


async def _compare(store: protocol.Store, key: str, value: bytes) -> None:
    found = await store.get(key)
    if found is None or found.value != value:
        raise errors.AuditBrokenError(f"{key!r} holds something else")


def _list_closed(chain: types.Chain) -> Iterator[list[types.AuditRecord]]:
    records = chain["audit"]
    start = 0
    while len(records) - start >= MAX_HEAD_RECORDS:
        yield records[start : start + SEGMENT_RECORDS]
        start += SEGMENT_RECORDS


def _decode_run(value: bytes) -> list[types.AuditRecord]:
    try:
        return msgspec.json.decode(value, type=list[types.AuditRecord])
    except (msgspec.ValidationError, msgspec.DecodeError) as err:
        raise errors.AuditBrokenError(str(err)) from err


__all__ = (
    "MAX_HEAD_RECORDS",
    "SEGMENT_RECORDS",
    "drop_stored",
    "read_records",
    "store_segments",
    "write_once",
)
