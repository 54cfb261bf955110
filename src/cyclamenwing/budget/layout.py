"""Number of ledger shards, fixed once in the store."""

from __future__ import annotations

import contextlib
from typing import TypedDict

import msgspec

from cyclamenwing.budget import errors
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

DEFAULT_SHARDS = 4


class Layout(TypedDict):
    """Describe how the ledger is cut, the value of one key."""

    shards: int


async def load_layout(store: protocol.Store, shards: int) -> Layout:
    """Return the ledger's layout, fixing it if none is."""
    found = await store.get(keys.LEDGER_LAYOUT)
    if found is None:
        made: Layout = {"shards": shards}
        # After a lost answer the next read tells which layout was fixed.
        with contextlib.suppress(store_errors.StoreAnswerLostError):
            await store.swap(keys.LEDGER_LAYOUT, 0, msgspec.json.encode(made))
        found = await store.get(keys.LEDGER_LAYOUT)
    if found is None:
        raise store_errors.StoreUnavailableError("no ledger layout")
    try:
        return msgspec.json.decode(found.value, type=Layout)
    except (msgspec.ValidationError, msgspec.DecodeError) as err:
        raise errors.MalformedLedgerError(str(err)) from err


__all__ = (
    "DEFAULT_SHARDS",
    "Layout",
    "load_layout",
)
