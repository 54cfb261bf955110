"""Payment into a budget."""

from __future__ import annotations

import time
import uuid

from cyclamenwing.budget import ledger
from cyclamenwing.budget import types
from cyclamenwing.membership import rank
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol


async def apply_top_up(
    store: store_protocol.Store, op: types.TopUp, shards: int
) -> types.OpResult:
    """Commit a top-up to the budget's ledger shard."""
    results: list[types.OpResult] = []
    commit_id = uuid.uuid4().hex

    def change(document: types.LedgerShard) -> None:
        results[:] = [ledger.apply_op(document, op, time.time())]
        ledger.record_commit(document, commit_id)

    shard = rank.pick_shard(op["budget"], shards)
    await commits.commit(
        store,
        keys.name_ledger(shard),
        ledger.ShardCodec(),
        commit_id,
        change,
    )
    return results[0]


__all__ = ("apply_top_up",)
