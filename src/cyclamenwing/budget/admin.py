"""Single operations of operators on the ledger."""

from __future__ import annotations

import time
import uuid

from cyclamenwing.budget import layout
from cyclamenwing.budget import ledger
from cyclamenwing.budget import messages
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types
from cyclamenwing.membership import rank
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol


async def apply_top_up(
    store: store_protocol.Store,
    op: messages.TopUp,
    shards_made: int = layout.DEFAULT_SHARDS,
) -> messages.OpResult:
    """Commit a top-up to the budget's ledger shard.

    `shards_made` counts only where no ledger layout is fixed yet.
    """
    return await apply_operation(store, op, op["budget"], shards_made)


async def apply_operation(
    store: store_protocol.Store,
    op: messages.TopUp | messages.DoubtSettlement,
    budget: str,
    shards_made: int = layout.DEFAULT_SHARDS,
) -> messages.OpResult:
    """Commit one operation to the budget's ledger shard."""
    results: list[messages.OpResult] = []
    commit_id = uuid.uuid4().hex
    fixed = await layout.load_layout(store, shards_made)

    def change(document: types.LedgerShard) -> None:
        results[:] = [ledger.apply_op(document, op, time.time())]
        shards.record_commit(document, commit_id)

    await commits.commit(
        store,
        keys.name_ledger(rank.pick_shard(budget, fixed["shards"])),
        shards.ShardCodec(),
        commit_id,
        change,
    )
    return results[0]


__all__ = (
    "apply_operation",
    "apply_top_up",
)
