"""Group commit of the operations on ledger shards."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import uuid
from collections.abc import Callable

from cyclamenwing.budget import billing
from cyclamenwing.budget import errors
from cyclamenwing.budget import ledger
from cyclamenwing.budget import messages
from cyclamenwing.budget import segments
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types
from cyclamenwing.store import commits
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

MAX_QUEUED_OPS = 5_000
# No request waits for a settlement, so settlements alone are delayed by this
# time to share a commit with more operations.
SETTLE_DELAY_S = 1.0


@dataclasses.dataclass(slots=True)
class PendingCommit:
    """Hold the operations of one shard's next commit.

    :param urgent: set once an operation other than a settlement arrives
    :param task: commits the operations and returns their results
    """

    ops: list[messages.LedgerOp] = dataclasses.field(default_factory=list)
    urgent: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task[list[messages.OpResult]] | None = None


class Coordinator:
    """Commit the operations that arrive within an interval together.

    :param store: the platform's key-value service
    :param wall_clock: seconds since the epoch
    :param interval_s: time over which operations are collected
    :param settle_delay_s: longest additional wait of settlements alone
    """

    def __init__(
        self,
        store: protocol.Store,
        wall_clock: Callable[[], float],
        interval_s: float,
        settle_delay_s: float = SETTLE_DELAY_S,
    ) -> None:
        self._store = store
        self._wall_clock = wall_clock
        self._interval_s = interval_s
        self._settle_delay_s = settle_delay_s
        self._codec = shards.ShardCodec()
        self._pending: dict[int, PendingCommit] = {}
        self._locks: dict[int, asyncio.Lock] = {}
        self._written_segments: dict[int, int] = {}
        self.commits = 0

    async def submit(
        self, batch: messages.LedgerBatch
    ) -> messages.LedgerReply:
        """Commit a batch and return its results in order.

        :raises LedgerBusyError: if more than `MAX_QUEUED_OPS` operations
            would be queued
        """
        ops = ledger.list_ops(batch)
        queued = sum(len(pending.ops) for pending in self._pending.values())
        if queued + len(ops) > MAX_QUEUED_OPS:
            raise errors.LedgerBusyError(f"{queued} operations are queued")
        shard = batch["shard"]
        pending = self._pending.setdefault(shard, PendingCommit())
        first = len(pending.ops)
        pending.ops.extend(ops)
        if len(batch["settlements"]) < len(ops):
            pending.urgent.set()
        if pending.task is None:
            pending.task = asyncio.create_task(self._flush(shard, pending))
        results = await asyncio.shield(pending.task)
        return {"results": results[first : first + len(ops)]}

    async def _flush(
        self, shard: int, pending: PendingCommit
    ) -> list[messages.OpResult]:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settle_delay_s):
                await pending.urgent.wait()
        await asyncio.sleep(self._interval_s)
        lock = self._locks.setdefault(shard, asyncio.Lock())
        async with lock:
            del self._pending[shard]
            return await self._commit(shard, pending.ops)

    async def _commit(
        self, shard: int, ops: list[messages.LedgerOp]
    ) -> list[messages.OpResult]:
        commit_id = uuid.uuid4().hex
        results: list[messages.OpResult] = []
        now = self._wall_clock()
        segment = self._written_segments.pop(shard, None)

        def change(document: types.LedgerShard) -> None:
            shards.drop_expired(document, now)
            billing.drop_expired_keys(document, now)
            if segment is not None:
                segments.drop_segment(document, segment)
            results[:] = ledger.apply_ops(document, ops, now)
            shards.record_commit(document, commit_id)

        committed = await commits.commit(
            self._store,
            keys.name_ledger(shard),
            self._codec,
            commit_id,
            change,
        )
        self.commits += 1
        await self._move_bills(shard, committed.document)
        return results

    async def _move_bills(
        self, shard: int, document: types.LedgerShard
    ) -> None:
        with contextlib.suppress(store_errors.StoreError):
            if await segments.write_segment(self._store, shard, document):
                self._written_segments[shard] = document["segments"]


__all__ = (
    "MAX_QUEUED_OPS",
    "Coordinator",
)
