"""Exchange of an entry with the ledger's coordinators."""

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
DOWN_PAUSE_S = 1.0


class Exchange:
    """Tell the ledger what the session spent and ask for grants.

    :param board: the entry's state
    :param controller: operations and their answers
    :param local: group commit of shards that this entry coordinates
    :param client: HTTP client
    :param store: the platform's key-value service
    :param shards_made: number of shards where no layout is fixed yet
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        controller: exchange.ExchangeController,
        local: coordinator.Coordinator,
        client: transport.Client,
        store: store_protocol.Store,
        shards_made: int,
    ) -> None:
        self._board = board
        self._controller = controller
        self._local = local
        self._client = client
        self._store = store
        self._shards_made = shards_made
        self._shards = 0
        self._members = view.MemberController()
        self._waiting: dict[int, asyncio.Task[bool]] = {}
        self._locks: dict[int, asyncio.Lock] = {}
        self._down_until: dict[int, float] = {}

    @property
    def local(self) -> coordinator.Coordinator:
        """Return the group commit of this entry."""
        return self._local

    async def find_shards(self) -> int:
        """Return the number of shards that the store fixes."""
        if not self._shards:
            fixed = await layout.load_layout(self._store, self._shards_made)
            self._shards = fixed["shards"]
        return self._shards

    async def ask(self, budget: str) -> bool:
        """Ask for what requests of a budget wait for.

        Requests that ask while an exchange runs share the next one. False
        means that no coordinator could commit.
        """
        # A grant without a session record could not be recovered.
        if not self._board.holder.opened:
            return False
        try:
            shard = rendezvous.pick_shard(budget, await self.find_shards())
        except base_errors.CodedError:
            return False
        if time.monotonic() < self._down_until.get(shard, 0.0):
            return False
        task = self._waiting.get(shard)
        if task is None:
            task = asyncio.create_task(self._run(shard))
            self._waiting[shard] = task
        return await asyncio.shield(task)

    async def settle(self) -> None:
        """Tell the ledger all that it does not know yet."""
        batches = self._controller.collect_batches(
            self._board.holder, await self.find_shards(), time.monotonic()
        )
        await asyncio.gather(*(self._submit(batch) for batch in batches))

    async def _run(self, shard: int) -> bool:
        lock = self._locks.setdefault(shard, asyncio.Lock())
        async with lock:
            del self._waiting[shard]
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
                    "entry:ledger", shard=shard, to=address, code=err.code
                )
                continue
            self._controller.apply_reply(holder, batch, reply)
            self._down_until.pop(shard, None)
            return True
        self._controller.fail_batch(holder, batch)
        self._down_until[shard] = time.monotonic() + DOWN_PAUSE_S
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
    "DOWN_PAUSE_S",
    "Exchange",
)
