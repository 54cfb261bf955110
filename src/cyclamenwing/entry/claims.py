"""Group commit of claims, one commit a shard at a time."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Any
from typing import NamedTuple

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.membership import rank
from cyclamenwing.request import claims
from cyclamenwing.store import commits
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

SUBMIT_TIMEOUT_S = 3.0
RECORD_RETRY_S = 0.5
RECORD_RETENTION_S = 300.0
MAX_UNRECORDED = 5_000
CLOSE_TIMEOUT_S = 5.0


class Waiter(NamedTuple):
    """Hold an operation until its commit."""

    op: claims.ClaimOp
    answer: asyncio.Future[claims.Result]


class Claims:
    """Commit claims and outcomes to the store's claim shards.

    :param store: the platform's key-value service
    """

    def __init__(self, store: protocol.Store) -> None:
        self._store = store
        self._codec = claims.ShardCodec()
        self._waiting: dict[int, list[Waiter]] = {}
        self._commits: dict[int, asyncio.Task[None]] = {}
        self._records: set[asyncio.Task[None]] = set()

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return []

    def start(self) -> None:
        """Do nothing; commits start with the first operation."""

    async def close(self) -> None:
        """Commit the outcomes that wait, within a bound."""
        if self._records:
            await asyncio.wait(set(self._records), timeout=CLOSE_TIMEOUT_S)
        for task in {*self._records, *self._commits.values()}:
            task.cancel()

    @property
    def unrecorded(self) -> int:
        """Return the outcomes that wait for the store."""
        return len(self._records)

    async def submit(self, op: claims.ClaimOp) -> claims.Result:
        """Commit an operation; raise a coded error of the store."""
        shard = rank.pick_shard(op["key"], claims.CLAIM_SHARDS)
        answer: asyncio.Future[claims.Result] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.setdefault(shard, []).append(Waiter(op, answer))
        if shard not in self._commits:
            task = asyncio.create_task(self._commit_all(shard))
            self._commits[shard] = task
        try:
            async with asyncio.timeout(SUBMIT_TIMEOUT_S):
                return await answer
        except TimeoutError as err:
            raise store_errors.StoreAnswerLostError("claim timed out") from err

    async def find(self, key: str) -> claims.Claim | None:
        """Read a key's claim; raise a coded error of the store."""
        shard = rank.pick_shard(key, claims.CLAIM_SHARDS)
        found = await self._store.get(keys.name_claims(shard))
        document = self._codec.decode(found.value if found else None)
        return document["claims"].get(key)

    def record(self, op: claims.CompleteOp) -> None:
        """Commit an outcome behind the answer, while the store is down too.

        An outcome beyond the bound stays at the sidecar only.
        """
        if len(self._records) >= MAX_UNRECORDED:
            eliot.log_message("entry:claim_unrecorded", key=op["key"])
            return
        task = asyncio.create_task(self._record(op))
        self._records.add(task)
        task.add_done_callback(self._records.discard)

    async def _record(self, op: claims.CompleteOp) -> None:
        ends_at = time.monotonic() + RECORD_RETENTION_S
        while time.monotonic() < ends_at:
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

    async def _commit(self, shard: int, batch: list[Waiter]) -> None:
        commit_id = uuid.uuid4().hex
        ops = [waiter.op for waiter in batch]
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
            _fail(batch, err)
            return
        for waiter, result in zip(batch, results, strict=True):
            if not waiter.answer.done():
                waiter.answer.set_result(result)


def _fail(batch: list[Waiter], error: base_errors.CodedError) -> None:
    for waiter in batch:
        if not waiter.answer.done():
            waiter.answer.set_exception(error)


__all__ = ("Claims",)
