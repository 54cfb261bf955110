"""Client of the ledger's coordinators."""

from __future__ import annotations

import asyncio
import time

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import coordinator
from cyclamenwing.budget import exchange
from cyclamenwing.budget import layout
from cyclamenwing.budget import messages
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import rendezvous
from cyclamenwing.membership import view
from cyclamenwing.store import protocol as store_protocol
from cyclamenwing.transport import protocol as transport

LEDGER_TIMEOUT_S = 3.0
COORDINATOR_RETRY_S = 1.0


class LedgerClient:
    """Report spent units to the ledger and request grants.

    :param board: the entry's state
    :param controller: builds batches of operations and applies replies
    :param local: coordinator of the shards that this entry commits
    :param client: HTTP client
    :param store: the platform's key-value service
    :param default_shards: number of shards if the store has no layout yet
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        controller: exchange.ExchangeController,
        local: coordinator.Coordinator,
        client: transport.Client,
        store: store_protocol.Store,
        default_shards: int,
    ) -> None:
        self._board = board
        self._controller = controller
        self._local = local
        self._client = client
        self._store = store
        self._default_shards = default_shards
        self._shards = 0
        self._members = view.MemberController()
        self._pending_exchanges: dict[int, asyncio.Task[bool]] = {}
        self._locks: dict[int, asyncio.Lock] = {}
        self._down_until: dict[int, float] = {}

    @property
    def local(self) -> coordinator.Coordinator:
        """Return this entry's own coordinator."""
        return self._local

    async def load_shard_count(self) -> int:
        """Return the number of ledger shards in the stored layout."""
        if not self._shards:
            layout_record = await layout.load_layout(
                self._store, self._default_shards
            )
            self._shards = layout_record["shards"]
        return self._shards

    async def request_grants(self, budget: str) -> bool:
        """Request grants for the requests that wait for a budget.

        Calls made while an exchange with the shard runs share the next
        exchange. Return False if no coordinator could commit.
        """
        # Recovery needs the session record to return a grant, so no grant is
        # requested before the record is stored.
        if not self._board.holder.record_stored:
            return False
        try:
            shard = rendezvous.pick_shard(
                budget, await self.load_shard_count()
            )
        except base_errors.CodedError:
            return False
        if time.monotonic() < self._down_until.get(shard, 0.0):
            return False
        task = self._pending_exchanges.get(shard)
        if task is None:
            task = asyncio.create_task(self._run(shard))
            self._pending_exchanges[shard] = task
        return await asyncio.shield(task)

    async def settle(self) -> None:
        """Send everything that is not yet settled to the ledger."""
        batches = self._controller.collect_batches(
            self._board.holder, await self.load_shard_count(), time.monotonic()
        )
        await asyncio.gather(*(self._submit(batch) for batch in batches))

    async def _run(self, shard: int) -> bool:
        lock = self._locks.setdefault(shard, asyncio.Lock())
        async with lock:
            del self._pending_exchanges[shard]
            batch = self._controller.collect_urgent(
                self._board.holder, self._shards, shard, time.monotonic()
            )
            return batch is None or await self._submit(batch)

    async def _submit(self, batch: messages.LedgerBatch) -> bool:
        holder = self._board.holder
        shard = batch["shard"]
        for address in self._rank_coordinators(shard):
            try:
                reply = await self._send(address, batch)
            except base_errors.CodedError as err:
                eliot.log_message(
                    "entry:ledger_call_failed",
                    shard=shard,
                    to=address,
                    code=err.code,
                )
                continue
            self._controller.apply_reply(holder, batch, reply)
            self._down_until.pop(shard, None)
            return True
        self._controller.fail_batch(holder, batch)
        self._down_until[shard] = time.monotonic() + COORDINATOR_RETRY_S
        return False

    async def _send(
        self, address: str, batch: messages.LedgerBatch
    ) -> messages.LedgerReply:
        if not address:
            return await self._local.submit(batch)
        return await self._client.call(
            f"http://{address}/peer/ledger",
            batch,
            messages.LedgerReply,
            LEDGER_TIMEOUT_S,
        )

    def _rank_coordinators(self, shard: int) -> list[str]:
        live = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        addresses = {beat["host"]: beat["address"] for beat in live}
        addresses[self._board.host] = ""
        ranked = rendezvous.rank_members(f"ledger/{shard}", addresses)
        return [addresses[host] for host in ranked]


__all__ = (
    "COORDINATOR_RETRY_S",
    "LedgerClient",
)
