"""Restoration of the pools after the store has returned from an older copy.

See `budget.restoration` for what is written.
"""

from __future__ import annotations

import random

import eliot

from cyclamenwing.budget import restoration
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import eras
from cyclamenwing.gateway import records
from cyclamenwing.store import protocol

POOL_PREFIX = "cyclamenwing/pools/"
# Longest wait for the entries of other gateways. Peers that died right before
# the change count as alive for this long.
RESTORE_WAIT_S = blackboard.PEER_TIMEOUT_S
# No gateway reclaims holdings whose record was renewed within this time.
MIN_RECLAIM_AGE_S = 5.0
# A transaction takes 32 entries: two for each pool, the expected record of
# this gateway and the guard against a later era.
MAX_POOLS_PER_COMMIT = 15
# Shortest time between two reads of the pools, at first and later. A pool
# whose workspace is in no configuration may stay unrestored.
READ_INTERVAL_S = 0.15
LATE_READ_INTERVAL_S = 2.0


class PoolRestoration:
    """Write this gateway's knowledge of the pools back to the store."""

    def __init__(
        self, board: blackboard.Blackboard, store: protocol.TransactionStore
    ) -> None:
        self._board = board
        self._store = store
        self._deadline_s = 0.0
        self._read_s = 0.0
        # Whether at the process's start others had not restored all pools.
        self._incomplete = False
        # Whether the store may have lacked pools when the era was joined.
        self._outdated = False

    async def join_era(self, holders: protocol.Snapshot) -> bool:
        """Read the pools at the start of the process.

        Return False if they are of another era than the holders' records, or
        may be incomplete and no configuration tells which ones exist.

        :param holders: records of usage bounds of all gateways
        """
        board = self._board
        snapshot = await self._store.read(POOL_PREFIX)
        if snapshot.era != holders.era:
            return False
        others = [
            record
            for entry in holders.entries
            if (record := records.read_holder(entry)) is not None
        ]
        self._incomplete = any(other.restoring for other in others)
        has_older_records = self._incomplete or any(
            0 < other.era < snapshot.era for other in others
        )
        states = self._read_states(snapshot)
        outdated = has_older_records or any(
            state.mark.era != snapshot.era for state in states.values()
        )
        if outdated and board.configuration is None:
            return False
        self._outdated = outdated
        board.escrow.join_era(
            snapshot.era, states, self._list_workspaces(), has_older_records
        )
        self._deadline_s = clock.read_time() + RESTORE_WAIT_S
        if board.escrow.unrestored:
            eliot.log_message(
                "funds:pools_outdated",
                era=snapshot.era,
                workspaces=sorted(board.escrow.unrestored),
            )
        return True

    def get_interval(self, now_s: float) -> float:
        """Return the seconds between two reads of the pools."""
        late = now_s > self._deadline_s + LATE_READ_INTERVAL_S
        return LATE_READ_INTERVAL_S if late else READ_INTERVAL_S

    def block_new_pools(self) -> None:
        """Wait for others with pools that a newer configuration names.

        In a new era, others may know and not have restored them yet.
        """
        if self._outdated and clock.read_time() < self._deadline_s:
            self._board.escrow.block_pools(self._list_workspaces())

    def begin_era(self) -> None:
        """Draw nothing until the pools are restored in the newest era."""
        board = self._board
        if board.escrow.era == board.eras.known:
            return
        now_s = clock.read_time()
        if now_s - board.record_written_s >= MIN_RECLAIM_AGE_S:
            # The older copy may lack that another gateway has reclaimed the
            # holdings.
            board.escrow.forgo_unproved(now_s)
        board.escrow.begin_era(board.eras.known, self._list_workspaces())
        self._deadline_s = clock.read_time() + RESTORE_WAIT_S
        self._read_s = 0.0
        self._outdated = True

    async def restore(self, record: tuple[str, int]) -> None:
        """Restore pools, then allow draws from those that are complete.

        :param record: key and revision of this gateway's record, so that a
            process whose record was replaced restores nothing
        """
        board = self._board
        own_escrow = board.escrow
        now_s = clock.read_time()
        if now_s - self._read_s < self.get_interval(now_s):
            return
        self._read_s = now_s
        snapshot = await self._store.read(POOL_PREFIX)
        if snapshot.era != own_escrow.era:
            return
        states = self._read_states(snapshot)
        is_restored = any(
            state.mark.era == own_escrow.era for state in states.values()
        )
        plans = {}
        for name in own_escrow.unopened:
            state = states.get(name, restoration.PoolState())
            own_escrow.update_pool(
                name, state.revision, state.holders, state.mark
            )
            if name not in own_escrow.unrestored:
                continue
            plan = self._plan(name, state, is_restored, now_s)
            if plan is not None:
                plans[name] = (state, plan)
        await self._write(record, plans)
        expired = now_s >= self._deadline_s
        opened = own_escrow.open_pools(self._list_live_holders(now_s), expired)
        if opened:
            board.pools_updated_s.update(dict.fromkeys(opened, now_s))
            eliot.log_message(
                "funds:pools_opened",
                era=own_escrow.era,
                workspaces=sorted(opened),
                expired=expired,
            )

    def _plan(
        self,
        workspace: str,
        state: restoration.PoolState,
        is_restored: bool,
        now_s: float,
    ) -> restoration.Restored | None:
        """Return what to write, None to wait for other gateways.

        :param is_restored: other pools were restored
        """
        board = self._board
        own_escrow = board.escrow
        if workspace not in own_escrow.unknown:
            return restoration.restore_pool(
                own_escrow.era,
                (own_escrow.holder, own_escrow.get_drawn(workspace)),
                state,
                own_escrow.older.get(workspace, restoration.PoolState()),
                {
                    peer.holder: peer.held.get(workspace, 0)
                    for peer in board.peers.values()
                },
            )
        if state.mark.era == own_escrow.era:
            return restoration.Restored(dict(state.holders), state.mark)
        config = board.configuration
        settings = config and config.workspaces.get(workspace)
        if not settings or now_s < self._deadline_s:
            return None
        if not state.revision and is_restored and not self._incomplete:
            # Processes of earlier eras restore all pools, so it is a new one.
            return restoration.Restored({}, state.mark)
        return restoration.close_pool(
            own_escrow.era,
            own_escrow.holder,
            state,
            settings.prepaid_tokens or 0,
        )

    async def _write(
        self,
        record: tuple[str, int],
        plans: dict[str, tuple[restoration.PoolState, restoration.Restored]],
    ) -> None:
        own_escrow = self._board.escrow
        for name, (state, plan) in plans.items():
            if (state.holders, state.mark) == plan:
                own_escrow.finish_restoration(name, state.revision, plan)
        open_names = [n for n in plans if n in own_escrow.unrestored]
        chosen = random.sample(
            open_names, min(len(open_names), MAX_POOLS_PER_COMMIT)
        )
        if not chosen:
            return
        outcome = await eras.commit(
            self._store,
            own_escrow.era,
            [
                record,
                *((POOL_PREFIX + n, plans[n][0].revision) for n in chosen),
            ],
            [
                (POOL_PREFIX + n, records.encode_pool(*plans[n][1]))
                for n in chosen
            ],
        )
        if isinstance(outcome, protocol.Conflict):
            # Another gateway was faster. Read again soon.
            self._read_s -= READ_INTERVAL_S * random.random()
            return
        self._board.store_contact_s = clock.read_time()
        for name in chosen:
            own_escrow.finish_restoration(
                name, outcome.revision, plans[name][1]
            )
        eliot.log_message(
            "funds:pools_restored",
            era=own_escrow.era,
            drawn={n: sum(plans[n][1].holders.values()) for n in chosen},
        )

    def _read_states(
        self, snapshot: protocol.Snapshot
    ) -> dict[str, restoration.PoolState]:
        return {
            entry.key.removeprefix(POOL_PREFIX): records.read_pool(
                entry, self._board.eras
            )
            for entry in snapshot.entries
        }

    def _list_workspaces(self) -> set[str]:
        config = self._board.configuration
        if config is None:
            return set()
        return {
            name
            for name, workspace in config.workspaces.items()
            if workspace.prepaid_tokens is not None
        }

    def _list_live_holders(self, now_s: float) -> set[str]:
        """Return the other gateways that may have drawn tokens."""
        board = self._board
        attached = board.roster.list_attached(now_s)
        return {
            peer.holder
            for peer in board.list_live_peers(now_s)
            if peer.host not in attached
        }


__all__ = (
    "MIN_RECLAIM_AGE_S",
    "POOL_PREFIX",
    "RESTORE_WAIT_S",
    "PoolRestoration",
)
