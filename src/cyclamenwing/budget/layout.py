"""Number of ledger shards, set once in the store."""

from __future__ import annotations

import contextlib
from typing import TypedDict

import msgspec

from cyclamenwing import decoding
from cyclamenwing.budget import errors
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

DEFAULT_SHARDS = 4


class Layout(TypedDict):
    """Describe how the ledger is divided; stored under one key."""

    shards: int


async def load_layout(store: protocol.Store, shards: int) -> Layout:
    """Return the ledger's layout, creating it if there is none.

    :param shards: number of shards of a new layout
    :raises StoreUnavailableError: if the layout can't be read after creation
    :raises MalformedLedgerError: if the stored layout is invalid
    """
    entry = await store.get(keys.LEDGER_LAYOUT)
    if entry is None:
        layout: Layout = {"shards": shards}
        # After a lost answer the next read shows which layout was stored.
        with contextlib.suppress(store_errors.StoreAnswerLostError):
            await store.swap(
                keys.LEDGER_LAYOUT, 0, msgspec.json.encode(layout)
            )
        entry = await store.get(keys.LEDGER_LAYOUT)
    if entry is None:
        raise store_errors.StoreUnavailableError(
            "the ledger layout can't be read"
        )
    try:
        return decoding.decode(entry.value, Layout)
    except msgspec.DecodeError as err:
        raise errors.MalformedLedgerError(str(err)) from err


__all__ = (
    "DEFAULT_SHARDS",
    "Layout",
    "load_layout",
)
