"""Group commit of claims, with one commit per shard at a time."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Any
from typing import NamedTuple

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.membership import rendezvous
from cyclamenwing.request import claims
from cyclamenwing.store import commits
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

SUBMIT_TIMEOUT_S = 3.0
RECORD_RETRY_S = 0.5
RECORD_RETRY_WINDOW_S = 300.0
MAX_UNRECORDED_OUTCOMES = 5_000
CLOSE_TIMEOUT_S = 5.0


class PendingOp(NamedTuple):
    """Hold an operation that waits for its commit."""

    op: claims.ClaimOp
    future: asyncio.Future[claims.Result]


class ClaimCommitter:
    """Commit claims and outcomes to the claim shards of the store.

    :param store: the platform's key-value service
    """

    def __init__(self, store: protocol.Store) -> None:
        self._store = store
        self._codec = claims.ShardCodec()
        self._waiting: dict[int, list[PendingOp]] = {}
        self._commits: dict[int, asyncio.Task[None]] = {}
        self._record_tasks: set[asyncio.Task[None]] = set()

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return []

    def start(self) -> None:
        """Do nothing; commits start with the first operation."""

    async def close(self) -> None:
        """Wait a bounded time for pending outcomes, then stop."""
        if self._record_tasks:
            await asyncio.wait(
                set(self._record_tasks), timeout=CLOSE_TIMEOUT_S
            )
        for task in {*self._record_tasks, *self._commits.values()}:
            task.cancel()

    @property
    def unrecorded(self) -> int:
        """Return the number of outcomes not yet committed."""
        return len(self._record_tasks)

    async def submit(self, op: claims.ClaimOp) -> claims.Result:
        """Commit an operation; raise a coded store error."""
        shard = rendezvous.pick_shard(op["key"], claims.CLAIM_SHARDS)
        future: asyncio.Future[claims.Result] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.setdefault(shard, []).append(PendingOp(op, future))
        if shard not in self._commits:
            task = asyncio.create_task(self._commit_all(shard))
            self._commits[shard] = task
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_S):
                return await future
        except TimeoutError as err:
            raise store_errors.StoreAnswerLostError(
                "commit of a claim timed out"
            ) from err

    async def find(self, key: str) -> claims.Claim | None:
        """Return a key's claim; raise a coded store error."""
        shard = rendezvous.pick_shard(key, claims.CLAIM_SHARDS)
        entry = await self._store.get(keys.name_claims(shard))
        document = self._codec.decode(entry.value if entry else None)
        return document["claims"].get(key)

    def record(self, op: claims.CompleteOp) -> None:
        """Commit an outcome in the background; retry while the store is down.

        If too many outcomes are pending, this one is not committed and
        only the sidecar holds it.
        """
        if len(self._record_tasks) >= MAX_UNRECORDED_OUTCOMES:
            eliot.log_message("entry:claim_unrecorded", key=op["key"])
            return
        task = asyncio.create_task(self._record(op))
        self._record_tasks.add(task)
        task.add_done_callback(self._record_tasks.discard)

    async def _record(self, op: claims.CompleteOp) -> None:
        deadline = time.monotonic() + RECORD_RETRY_WINDOW_S
        while time.monotonic() < deadline:
            try:
                await self.submit(op)
            except base_errors.CodedError as err:
                eliot.log_message("entry:claim_record", code=err.code)
                await asyncio.sleep(RECORD_RETRY_S)
                continue
            return

    async def _commit_all(self, shard: int) -> None:
        try:
            while self._waiting.get(shard):
                await self._commit(shard, self._waiting.pop(shard))
        finally:
            del self._commits[shard]

    async def _commit(self, shard: int, batch: list[PendingOp]) -> None:
        commit_id = uuid.uuid4().hex
        ops = [pending.op for pending in batch]
        results: list[claims.Result] = []

        def change(document: claims.ClaimShard) -> None:
            results[:] = claims.apply_ops(
                document, ops, commit_id, time.time()
            )

        try:
            await commits.commit(
                self._store,
                keys.name_claims(shard),
                self._codec,
                commit_id,
                change,
            )
        except base_errors.CodedError as err:
            _fail_pending(batch, err)
            return
        for pending, result in zip(batch, results, strict=True):
            if not pending.future.done():
                pending.future.set_result(result)


def _fail_pending(
    batch: list[PendingOp], error: base_errors.CodedError
) -> None:
    for pending in batch:
        if not pending.future.done():
            pending.future.set_exception(error)


__all__ = ("ClaimCommitter",)
