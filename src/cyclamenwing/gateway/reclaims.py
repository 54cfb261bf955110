"""Reclaim of what a gateway holds that fell silent and has no successor.

The host may be gone for good, or only be cut off and still serve clients. What
it may have used without the late phase of its usage bounds is known from its
record, whatever its age. The late phase is excluded once enough voters of the
record have fenced it (`budget.outage_votes`). One commit then renews the
record and reduces the holder's entries in the pools. A holder that comes back
finds its record changed and gives up the same tokens before it draws or renews
anything.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Sequence
from typing import NamedTuple

import eliot
import msgspec

from cyclamenwing.budget import escrow
from cyclamenwing.budget import outage_votes
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import eras
from cyclamenwing.gateway import fences
from cyclamenwing.gateway import host_record
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import pool_restoration
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import records
from cyclamenwing.membership import rendezvous
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

POLL_INTERVAL_S = 1.0
# Time after which the delegate of the next rank acts as well. Commits of both
# conflict, so holdings are reduced once.
ACTOR_DELAY_S = 1.5
# A record that did not change between two reads is older than the time between
# them. A holder that finds out by itself assumes a shorter time.
UNCHANGED_S = pool_restoration.MIN_RECLAIM_AGE_S + 0.5
# Delay before a reclaim is tried again, doubled each time.
RETRY_DELAY_S = 5.0
MAX_RETRY_DELAY_S = 60.0


class SilentRecord(NamedTuple):
    """Hold the record of a silent holder.

    :param read_s: time of the first read that showed this revision
    """

    entry: protocol.Entry
    record: records.HolderRecord
    read_s: float


class HoldingsReclaim:
    """Return unused holdings of silent gateways to the pools."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: protocol.TransactionStore,
        gateway_peers: peers.Peers,
        pool_client: pools.PoolClient,
    ) -> None:
        self._board = board
        self._store = store
        self._peers = gateway_peers
        self._pools = pool_client
        self._silent: dict[str, SilentRecord] = {}
        self._retry_at_s: dict[str, float] = {}
        self._retry_delay_s: dict[str, float] = {}

    async def run(self) -> None:
        """Reclaim holdings until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S * random.uniform(0.8, 1.2))
            now_s = clock.read_time()
            candidates = self._list_candidates(now_s)
            self._forget_live(now_s)
            for holder, host in candidates.items():
                try:
                    await self._reclaim(holder, host, now_s)
                except store_errors.StoreError as err:
                    eliot.log_message(
                        "funds:reclaim_failed", holder=holder, code=err.code
                    )

    def _forget_live(self, now_s: float) -> None:
        """Forget what is known of gateways that are heard of again."""
        live = {peer.holder for peer in self._board.list_live_peers(now_s)}
        for known in (self._silent, self._retry_at_s, self._retry_delay_s):
            for holder in live & known.keys():
                del known[holder]

    def _list_candidates(self, now_s: float) -> dict[str, str]:
        """Return holders to reclaim from, and their hosts.

        The live delegates act one after the other in the order of their rank
        for a holder: one that has become a delegate since does not know it.
        """
        board = self._board
        if (
            not board.roster.acts_as_delegate
            or board.admission_closed
            or not board.record_written_s
            or not board.is_store_reachable(now_s)
        ):
            return {}
        live = board.list_live_peers(now_s)
        attached = board.roster.list_attached(now_s)
        actors = [p.holder for p in live if p.host not in attached]
        actors.append(board.escrow.holder)
        return {
            peer.holder: peer.host
            for peer in board.peers.values()
            if now_s >= self._retry_at_s.get(peer.holder, 0.0)
            and now_s - peer.received_s
            > blackboard.PEER_TIMEOUT_S
            + self._rank_self(peer.holder, actors) * ACTOR_DELAY_S
            and any(
                peer.holder in pool.holders
                for pool in board.escrow.pools.values()
            )
        }

    def _rank_self(self, holder: str, actors: Sequence[str]) -> int:
        ranked = rendezvous.rank_members(holder, actors)
        return ranked.index(self._board.escrow.holder)

    async def _reclaim(self, holder: str, host: str, now_s: float) -> None:
        key = host_record.HOLDER_PREFIX + host
        snapshot = await self._store.read(key)
        entry = next((e for e in snapshot.entries if e.key == key), None)
        record = entry and records.read_holder(entry)
        if (
            entry is None
            or record is None
            or record.holder != holder
            or record.restoring
            or not snapshot.era == record.era == self._board.escrow.era
            or not self._list_reductions(record)
        ):
            self._postpone(holder, now_s)
            return
        silent = self._silent.get(holder)
        if silent is None or silent.entry.revision != entry.revision:
            self._silent[holder] = SilentRecord(entry, record, now_s)
            return
        if now_s - silent.read_s < UNCHANGED_S:
            return
        number = record.fence + 1
        fenced = await self._peers.request_fence(
            record.voters, fences.FenceRequest(holder, number)
        )
        needed = outage_votes.count_refusals_needed(len(record.voters))
        eliot.log_message(
            "funds:holder_fenced",
            holder=holder,
            number=number,
            fenced=fenced,
            needed=needed,
            voters=len(record.voters),
        )
        self._postpone(holder, now_s)
        if fenced >= needed:
            await self._reduce(entry, record, number)
            self._pools.request_draw()

    def _postpone(self, holder: str, now_s: float) -> None:
        delay_s = self._retry_delay_s.get(holder, RETRY_DELAY_S)
        self._retry_at_s[holder] = now_s + delay_s
        self._retry_delay_s[holder] = min(delay_s * 2, MAX_RETRY_DELAY_S)

    def _list_reductions(self, record: records.HolderRecord) -> dict[str, int]:
        """Return what each pool may count for the holder, where that is less.

        The late phase of its usage bounds is excluded.
        """
        own_escrow = self._board.escrow
        limits = {
            name: bound.compute_limit(math.inf, late=False)
            for name, bound in records.read_usage_bounds(
                record.promises
            ).items()
            if name not in own_escrow.unopened
        }
        return {
            name: limit
            for name, limit in limits.items()
            if own_escrow.open_pool(name).holders.get(record.holder, 0) > limit
        }

    async def _reduce(
        self, entry: protocol.Entry, record: records.HolderRecord, number: int
    ) -> None:
        """Reduce the holder's entries in the pools, and renew its record."""
        own_escrow = self._board.escrow
        revision = entry.revision
        record = msgspec.structs.replace(
            record,
            fence=number,
            reclaimed=True,
            # What it may have used stays counted, whoever reads this next.
            promises=records.write_usage_bounds({
                name: escrow.UsageBound(
                    bound.compute_limit(math.inf, late=False), 0.0, 0.0, 0.0
                )
                for name, bound in records.read_usage_bounds(
                    record.promises
                ).items()
            }),
        )
        while limits := self._list_reductions(record):
            names = sorted(limits)[: pools.MAX_POOLS_PER_COMMIT]
            written = {
                name: escrow.reduce_holder(
                    own_escrow.pools[name].holders,
                    record.holder,
                    limits[name],
                )
                for name in names
            }
            outcome = await eras.commit(
                self._store,
                own_escrow.era,
                [
                    (entry.key, revision),
                    *(
                        (pools.POOL_PREFIX + name, pool.revision)
                        for name in names
                        if (pool := own_escrow.pools[name])
                    ),
                ],
                [
                    (entry.key, msgspec.json.encode(record)),
                    *(
                        (
                            pools.POOL_PREFIX + name,
                            records.encode_pool(
                                holders, own_escrow.find_mark(name)
                            ),
                        )
                        for name, holders in written.items()
                    ),
                ],
            )
            if isinstance(outcome, protocol.Conflict):
                if not self._merge(outcome, entry.key, revision):
                    return
                continue
            revision = outcome.revision
            for name, holders in written.items():
                freed = own_escrow.pools[name].drawn - sum(holders.values())
                own_escrow.update_pool(name, revision, holders)
                eliot.log_message(
                    "funds:holdings_freed",
                    holder=record.holder,
                    workspace=name,
                    freed=freed,
                    limit=limits[name],
                )

    def _merge(
        self, conflict: protocol.Conflict, key: str, revision: int
    ) -> bool:
        """Adopt newer pools; return whether the holder's record is the same.

        Its holder, its successor or another gateway may have renewed it.
        """
        own_escrow = self._board.escrow
        unchanged = False
        for found in conflict.entries:
            if found.key == key:
                unchanged = found.revision == revision
                continue
            state = records.read_pool(found, self._board.eras)
            own_escrow.update_pool(
                found.key.removeprefix(pools.POOL_PREFIX),
                state.revision,
                state.holders,
                state.mark,
            )
        return unchanged


__all__ = ("HoldingsReclaim",)
