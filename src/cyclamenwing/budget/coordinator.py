"""Group commit of a ledger shard's operations."""

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
SETTLE_DELAY_S = 1.0


@dataclasses.dataclass(slots=True)
class Gathering:
    """Hold the operations of one shard's next commit."""

    ops: list[messages.LedgerOp] = dataclasses.field(default_factory=list)
    urgent: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    task: asyncio.Task[list[messages.OpResult]] | None = None


class Coordinator:
    """Commit the operations that arrive within an interval together.

    :param store: the platform's key-value service
    :param wall_clock: seconds since the epoch
    :param interval_s: time over which operations are gathered
    :param settle_delay_s: time that settlements alone may wait
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
        self._gathering: dict[int, Gathering] = {}
        self._locks: dict[int, asyncio.Lock] = {}
        self._written: dict[int, int] = {}
        self.commits = 0

    async def submit(
        self, batch: messages.LedgerBatch
    ) -> messages.LedgerReply:
        """Commit a batch and return its results in order.

        Raise `LedgerBusyError` beyond the bound on queued operations.
        """
        ops = ledger.list_ops(batch)
        queued = sum(len(held.ops) for held in self._gathering.values())
        if queued + len(ops) > MAX_QUEUED_OPS:
            raise errors.LedgerBusyError(f"{queued} operations wait")
        shard = batch["shard"]
        held = self._gathering.setdefault(shard, Gathering())
        first = len(held.ops)
        held.ops.extend(ops)
        if len(batch["settlements"]) < len(ops):
            held.urgent.set()
        if held.task is None:
            held.task = asyncio.create_task(self._flush(shard, held))
        results = await asyncio.shield(held.task)
        return {"results": results[first : first + len(ops)]}

    async def _flush(
        self, shard: int, held: Gathering
    ) -> list[messages.OpResult]:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settle_delay_s):
                await held.urgent.wait()
        await asyncio.sleep(self._interval_s)
        lock = self._locks.setdefault(shard, asyncio.Lock())
        async with lock:
            del self._gathering[shard]
            return await self._commit(shard, held.ops)

    async def _commit(
        self, shard: int, ops: list[messages.LedgerOp]
    ) -> list[messages.OpResult]:
        commit_id = uuid.uuid4().hex
        results: list[messages.OpResult] = []
        now = self._wall_clock()
        segment = self._written.pop(shard, None)

        def change(document: types.LedgerShard) -> None:
            shards.expire(document, now)
            billing.expire_keys(document, now)
            if segment is not None:
                segments.drop_segment(document, segment)
            results[:] = ledger.apply_ops(document, ops, now)
            shards.record_commit(document, commit_id)

        made = await commits.commit(
            self._store,
            keys.name_ledger(shard),
            self._codec,
            commit_id,
            change,
        )
        self.commits += 1
        await self._move_bills(shard, made.document)
        return results

    async def _move_bills(
        self, shard: int, document: types.LedgerShard
    ) -> None:
        with contextlib.suppress(store_errors.StoreError):
            if await segments.write_segment(self._store, shard, document):
                self._written[shard] = document["segments"]


__all__ = (
    "MAX_QUEUED_OPS",
    "Coordinator",
)
