"""Group commit of a ledger shard's operations."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Callable

from cyclamenwing.budget import ledger
from cyclamenwing.budget import types
from cyclamenwing.store import commits
from cyclamenwing.store import keys
from cyclamenwing.store import protocol


class Coordinator:
    """Commit the operations that arrive within an interval together.

    :param store: the platform's key-value service
    :param wall_clock: seconds since the epoch
    :param interval_s: time over which operations are gathered
    """

    def __init__(
        self,
        store: protocol.Store,
        wall_clock: Callable[[], float],
        interval_s: float,
    ) -> None:
        self._store = store
        self._wall_clock = wall_clock
        self._interval_s = interval_s
        self._codec = ledger.ShardCodec()
        self._gathering: dict[int, asyncio.Task[list[types.OpResult]]] = {}
        self._queued: dict[int, list[types.LedgerOp]] = {}

    async def submit(self, batch: types.LedgerBatch) -> types.LedgerReply:
        """Commit a batch and return its results in order."""
        shard = batch["shard"]
        queued = self._queued.setdefault(shard, [])
        first = len(queued)
        queued.extend(batch["settlements"])
        middle = len(queued)
        queued.extend(batch["grants"])
        last = len(queued)
        if first == 0:
            self._gathering[shard] = asyncio.create_task(self._flush(shard))
        task = self._gathering[shard]
        results = await asyncio.shield(task)
        return {
            "settlements": results[first:middle],
            "grants": results[middle:last],
        }

    async def _flush(self, shard: int) -> list[types.OpResult]:
        await asyncio.sleep(self._interval_s)
        ops = self._queued.pop(shard)
        commit_id = uuid.uuid4().hex
        results: list[types.OpResult] = []
        now = self._wall_clock()

        def change(document: types.LedgerShard) -> None:
            results.clear()
            for op in ops:
                results.append(ledger.apply_op(document, op, now))
            ledger.record_commit(document, commit_id)

        await commits.commit(
            self._store,
            keys.name_ledger(shard),
            self._codec,
            commit_id,
            change,
        )
        return results


__all__ = ("Coordinator",)
