"""Ledger operations that operators run one at a time."""

from __future__ import annotations

import time
import uuid

from cyclamenwing.budget import layout
from cyclamenwing.budget import ledger
from cyclamenwing.budget import messages
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types
from cyclamenwing.membership import rendezvous
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol


async def apply_top_up(
    store: store_protocol.Store,
    op: messages.TopUp,
    default_shards: int = layout.DEFAULT_SHARDS,
) -> messages.OpResult:
    """Commit a top-up to the budget's ledger shard.

    :param default_shards: number of shards if the store has no layout yet
    """
    return await apply_operation(store, op, op["budget"], default_shards)


async def apply_operation(
    store: store_protocol.Store,
    op: messages.TopUp | messages.DoubtSettlement,
    budget: str,
    default_shards: int = layout.DEFAULT_SHARDS,
) -> messages.OpResult:
    """Commit one operation to the budget's ledger shard.

    :param default_shards: number of shards if the store has no layout yet
    """
    results: list[messages.OpResult] = []
    commit_id = uuid.uuid4().hex
    stored_layout = await layout.load_layout(store, default_shards)

    def change(document: types.LedgerShard) -> None:
        results[:] = [ledger.apply_op(document, op, time.time())]
        shards.record_commit(document, commit_id)

    await commits.commit(
        store,
        keys.name_ledger(
            rendezvous.pick_shard(budget, stored_layout["shards"])
        ),
        shards.ShardCodec(),
        commit_id,
        change,
    )
    return results[0]


__all__ = (
    "apply_operation",
    "apply_top_up",
)
