"""Draws from the pools of prepaid tokens in the store."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

import eliot
import msgspec

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import eras
from cyclamenwing.gateway import host_record
from cyclamenwing.gateway import pool_restoration
from cyclamenwing.gateway import records
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

POOL_PREFIX = pool_restoration.POOL_PREFIX
HOLDER_PREFIX = host_record.HOLDER_PREFIX
# A transaction of the store takes 32 entries, two for each key. One key is the
# gateway's own record, and one entry the guard against a later era.
MAX_POOLS_PER_COMMIT = 14
# Interval at which usage bounds are renewed while much of them is used.
RENEW_INTERVAL_S = 0.7
# Interval of renewal otherwise. While the store is reachable, a usage bound
# must be renewed before its early phase ends.
IDLE_RENEW_INTERVAL_S = 1.4
# Shortest time between draws that requests wait for.
MIN_DRAW_INTERVAL_S = 0.02
STORE_RETRY_DELAY_S = 0.3
MAX_RETURN_CONFLICTS = 3
# A usage bound is renewed at the shorter interval once this fraction of what
# it allowed at first is used.
EARLY_RENEWAL_FRACTION = 0.5
# The pool of a waiting request is read again if its state is older than this.
MAX_POOL_AGE_S = 2.0


class PoolClient:
    """Draw tokens from the pools and renew this gateway's record.

    Only delegates do. A gateway that is none any more returns what it holds
    and leaves its record as it is.

    The record holds the usage bounds of the gateway. Each commit renews it,
    together with the pools that are drawn from or returned to.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: protocol.TransactionStore,
        settled: asyncio.Event,
    ) -> None:
        self._board = board
        self._store = store
        # Set once it is known which gateways are delegates.
        self._settled = settled
        self._retired = False
        self._draw_requested = asyncio.Event()
        self._draw_ended = asyncio.Condition()
        self._record = host_record.HostRecord(board, store)
        self._record_revision: int | None = None
        # Era in which the record was written.
        self._record_era = 0
        # Another process of the host has replaced the record.
        self._replaced = False
        self._restoration = pool_restoration.PoolRestoration(board, store)
        self._renewed_s = 0.0
        self._committed_at_renewal: dict[str, int] = {}

    @property
    def predecessors_read(self) -> bool:
        """Return whether the store has shown which predecessors there are."""
        return (
            self._record_revision is not None
            or self._record.predecessor_found is False
        )

    def request_draw(self) -> None:
        """Draw without delay."""
        self._draw_requested.set()

    async def wait_for_draw(self) -> None:
        """Request a draw; return when one has ended, successful or not."""
        async with self._draw_ended:
            self._draw_requested.set()
            await self._draw_ended.wait()

    async def run(self) -> None:
        """Draw tokens and renew the record until cancelled."""
        await self._settled.wait()
        while True:
            self._draw_requested.clear()
            delay_s = MIN_DRAW_INTERVAL_S
            try:
                if self._record_revision is not None:
                    await self._renew_in_era()
                elif (
                    self._board.roster.acts_as_delegate
                    or await self._record.has_predecessor()
                ):
                    await self._replace_record()
            except store_errors.StoreError as err:
                eliot.log_message("funds:commit_failed", code=err.code)
                delay_s = STORE_RETRY_DELAY_S
            async with self._draw_ended:
                self._draw_ended.notify_all()
            await asyncio.sleep(delay_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._get_interval()):
                    await self._draw_requested.wait()

    def _get_interval(self) -> float:
        if self._board.escrow.unopened:
            interval_s = self._restoration.get_interval(clock.read_time())
            return min(interval_s, RENEW_INTERVAL_S)
        return RENEW_INTERVAL_S

    async def return_holdings(self) -> None:
        """Return unused holdings to the pools."""
        own_escrow = self._board.escrow
        conflicts = 0
        while conflicts < MAX_RETURN_CONFLICTS:
            # Computed for each commit: one takes a limited number of pools,
            # and a draw that was under way may have changed the holdings.
            changes = {
                name: -account.held
                for name, account in own_escrow.accounts.items()
                if account.held > 0 and name not in own_escrow.unopened
            }
            if not changes:
                return
            if not await self._commit(changes):
                conflicts += 1

    async def _replace_record(self) -> None:
        """Read the pools and replace the record of the host's predecessor."""
        snapshot = await self._store.read(HOLDER_PREFIX)
        if not await self._restoration.join_era(snapshot):
            return
        era = snapshot.era
        previous = self._record.find(snapshot)
        if previous is not None:
            self._record.load_predecessors(previous)
        record = self._record.make({}, clock.read_time())
        outcome = await eras.commit(
            self._store,
            era,
            [(self._record.key, previous.revision if previous else 0)],
            [(self._record.key, msgspec.json.encode(record))],
        )
        if not isinstance(outcome, protocol.Committed):
            return
        # The record has a new revision, so no commit of the predecessor can
        # take effect any more.
        self._record_revision = outcome.revision
        self._record_era = era
        self._board.store_contact_s = clock.read_time()
        self._draw_requested.set()
        self._board.record_written_s = record.since_s

    async def _renew_in_era(self) -> None:
        """Renew the record; restore record and pools first in a new era."""
        if self._replaced:
            return
        if self._record_era != self._board.eras.known:
            await self._restore_record()
            return
        self._restoration.block_new_pools()
        if self._board.escrow.unopened:
            await self._restoration.restore((
                self._record.key,
                self._record_revision or 0,
            ))
        await self._renew()

    async def _restore_record(self) -> None:
        """Write the record in a new era, of which the older copy lacks it."""
        board = self._board
        snapshot = await self._store.read(self._record.key)
        if snapshot.era != board.eras.known:
            return
        self._restoration.begin_era()
        stored = self._record.find(snapshot)
        if stored is not None:
            self._merge_record(stored)
            if self._replaced:
                return
        now_s = clock.read_time()
        _, usage_bounds = board.escrow.begin_commit({}, now_s)
        voters = board.list_voters(now_s)
        board.escrow.votes.open(voters)
        record = self._record.make(
            {} if self._retired else usage_bounds, now_s, voters
        )
        outcome = await eras.commit(
            self._store,
            snapshot.era,
            [(self._record.key, stored.revision if stored else 0)],
            [
                (self._record.key, msgspec.json.encode(record)),
                *eras.make_markers(snapshot.era),
            ],
        )
        if isinstance(outcome, protocol.Conflict):
            board.escrow.cancel_commit({}, usage_bounds)
            board.escrow.votes.cancel(voters)
            return
        self._record_era = snapshot.era
        self._record_renewal(outcome.revision, {}, usage_bounds, record)
        self._draw_requested.set()
        eliot.log_message("funds:record_restored", era=snapshot.era)

    async def _renew(self) -> None:
        board = self._board
        config = board.configuration
        if config is None or board.admission_closed:
            # Holdings are being returned as the process stops.
            return
        now_s = clock.read_time()
        if not board.roster.acts_as_delegate:
            await self._retire()
            return
        self._retired = False
        gateways = board.count_holders(now_s)
        changes = {}
        for name, workspace in config.workspaces.items():
            if (
                workspace.prepaid_tokens is None
                or name in board.escrow.unopened
            ):
                continue
            account = board.escrow.open_account(name)
            free = board.escrow.count_free(name, workspace.prepaid_tokens)
            change = account.plan_change(
                free, gateways, now_s, board.roster.holds(name)
            )
            if change or (
                account.wanted
                and now_s - board.pools_updated_s.get(name, 0) > MAX_POOL_AGE_S
            ):
                changes[name] = change
        if not changes and not self._is_renewal_due(now_s):
            return
        committed = await self._commit(changes)
        if not committed and self._is_bound_awaited():
            # Without the pools no other gateway's commit is in the way.
            await self._commit({})

    async def _retire(self) -> None:
        """Return all holdings, as this gateway is no delegate any more.

        The record that remains has no usage bounds, so the next process of
        the host has nothing to release.
        """
        if self._retired:
            return
        changes = {
            name: -account.held
            for name, account in self._board.escrow.accounts.items()
            if account.held > 0
            and account.drawn > 0
            and name not in self._board.escrow.unopened
        }
        complete = len(changes) <= MAX_POOLS_PER_COMMIT
        if await self._commit(changes, retires=complete) and complete:
            self._retired = True
            self._board.record_written_s = 0.0
            eliot.log_message("funds:retired", changes=changes)

    def _is_bound_awaited(self) -> bool:
        """Return whether a request waits only for a higher usage bound."""
        return any(
            (account.wanted and account.held >= account.wanted)
            or 0 < account.awaited <= account.held + account.deferred
            for account in self._board.escrow.accounts.values()
        )

    def _is_renewal_due(self, now_s: float) -> bool:
        accounts = self._board.escrow.accounts
        if self._is_bound_awaited():
            return True
        age_s = now_s - self._renewed_s
        if age_s < RENEW_INTERVAL_S:
            return False
        if age_s >= IDLE_RENEW_INTERVAL_S:
            return True
        return any(
            self._is_usage_bound_nearly_used(name, account)
            for name, account in accounts.items()
        )

    def _is_usage_bound_nearly_used(
        self, name: str, account: escrow.WorkspaceAccount
    ) -> bool:
        at_renewal = self._committed_at_renewal.get(name, 0)
        headroom = account.measure_headroom(at_renewal)
        return (
            account.committed - at_renewal > headroom * EARLY_RENEWAL_FRACTION
        )

    async def _commit(
        self, changes: dict[str, int], retires: bool = False
    ) -> bool:
        """Change the pools and renew the record; return whether it worked.

        :param retires: write a record without usage bounds
        """
        names = sorted(changes, key=lambda n: -abs(changes[n]))[
            :MAX_POOLS_PER_COMMIT
        ]
        chosen = {name: changes[name] for name in names}
        own_escrow = self._board.escrow
        now_s = clock.read_time()
        written, usage_bounds = own_escrow.begin_commit(chosen, now_s)
        era = own_escrow.era
        voters = self._board.list_voters(now_s)
        own_escrow.votes.open(voters)
        record = self._record.make(
            {} if retires else usage_bounds, now_s, voters
        )
        expected = [(self._record.key, self._record_revision or 0)]
        writes = [(self._record.key, msgspec.json.encode(record))]
        for name, holders in written.items():
            key = POOL_PREFIX + name
            expected.append((key, own_escrow.pools[name].revision))
            writes.append((
                key,
                records.encode_pool(holders, own_escrow.find_mark(name)),
            ))
        try:
            outcome = await eras.commit(self._store, era, expected, writes)
        except store_errors.StoreAnswerLostError:
            eliot.log_message("funds:commit_in_doubt", workspaces=names)
            raise
        except store_errors.StoreError:
            own_escrow.cancel_commit(chosen, usage_bounds)
            own_escrow.votes.cancel(voters)
            raise
        self._board.store_contact_s = clock.read_time()
        self._board.pools_updated_s.update(
            dict.fromkeys(names, self._board.store_contact_s)
        )
        if isinstance(outcome, protocol.Conflict):
            own_escrow.cancel_commit(chosen, usage_bounds)
            own_escrow.votes.cancel(voters)
            self._merge_entries(outcome.entries)
            self._draw_requested.set()
            eliot.log_message("funds:conflict", changes=chosen)
            return False
        self._record_renewal(outcome.revision, written, usage_bounds, record)
        eliot.log_message(
            "funds:committed", changes=chosen, revision=outcome.revision
        )
        return True

    def _record_renewal(
        self,
        revision: int,
        written: Mapping[str, Mapping[str, int]],
        usage_bounds: Mapping[str, escrow.UsageBound],
        record: records.HolderRecord,
    ) -> None:
        own_escrow = self._board.escrow
        now_s = record.since_s
        own_escrow.finish_commit(revision, written, usage_bounds)
        own_escrow.votes.finish(record.voters)
        self._board.fences.adopted = record.fence
        self._record_revision = revision
        self._renewed_s = now_s
        self._board.record_written_s = 0.0 if self._retired else now_s
        self._committed_at_renewal = {
            name: account.committed
            for name, account in own_escrow.accounts.items()
        }

    def _merge_entries(self, entries: list[protocol.Entry]) -> None:
        own_escrow = self._board.escrow
        for entry in entries:
            if entry.key == self._record.key:
                self._merge_record(entry)
                continue
            name = entry.key.removeprefix(POOL_PREFIX)
            state = records.read_pool(entry, self._board.eras)
            own_escrow.update_pool(
                name, state.revision, state.holders, state.mark
            )

    def _merge_record(self, entry: protocol.Entry) -> None:
        if self._record.is_replaced(entry):
            # Another process of this host has replaced the record. It treats
            # this process as dead and frees its holdings, so a usage bound
            # far below 0 prevents this one from spending more.
            self._replaced = True
            eliot.log_message("funds:record_replaced", revision=entry.revision)
            for account in self._board.escrow.accounts.values():
                account.usage_bounds = [
                    escrow.UsageBound(-(10**18), 0.0, 0.0, 0.0)
                ]
            return
        self._record_revision = entry.revision
        record = records.read_holder(entry)
        if (
            record is not None
            and record.reclaimed
            and record.holder == self._board.escrow.holder
        ):
            self._board.fences.announce(record.fence)
            self._board.escrow.forgo_unproved(
                clock.read_time(), entry.revision
            )
            eliot.log_message(
                "funds:holdings_reclaimed",
                revision=entry.revision,
                fence=record.fence,
            )


__all__ = (
    "HOLDER_PREFIX",
    "POOL_PREFIX",
    "PoolClient",
)
