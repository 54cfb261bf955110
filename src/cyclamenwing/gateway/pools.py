"""Draws from the pools of prepaid tokens in the store."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import time
from collections.abc import Mapping

import eliot
import msgspec

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import records
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

POOL_PREFIX = "cyclamenwing/pools/"
HOLDER_PREFIX = "cyclamenwing/holders/"
BOOT_ID_PATH = pathlib.Path("/proc/sys/kernel/random/boot_id")
# A transaction of the store takes 32 entries, two for each key. One key is the
# gateway's own record.
MAX_POOLS_PER_COMMIT = 15
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
        self._predecessor_found: bool | None = None
        self._retired = False
        self._draw_requested = asyncio.Event()
        self._draw_ended = asyncio.Condition()
        self._process_start = records.ProcessStart(
            read_boot_id(), clock.read_time(), time.time()
        )
        self._record_key = HOLDER_PREFIX + board.settings.host
        self._record_revision: int | None = None
        self._renewed_s = 0.0
        self._used_at_renewal: dict[str, int] = {}

    @property
    def predecessors_read(self) -> bool:
        """Return whether the store has shown which predecessors there are."""
        return (
            self._record_revision is not None
            or self._predecessor_found is False
        )

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
                    await self._renew()
                elif (
                    self._board.roster.acts_as_delegate
                    or await self._has_predecessor()
                ):
                    await self._replace_record()
            except store_errors.StoreError as err:
                eliot.log_message("funds:commit_failed", code=err.code)
                delay_s = STORE_RETRY_DELAY_S
            async with self._draw_ended:
                self._draw_ended.notify_all()
            await asyncio.sleep(delay_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEW_INTERVAL_S):
                    await self._draw_requested.wait()

    async def return_holdings(self) -> None:
        """Return unused holdings to the pools."""
        conflicts = 0
        while conflicts < MAX_RETURN_CONFLICTS:
            # Computed for each commit: one takes a limited number of pools,
            # and a draw that was under way may have changed the holdings.
            changes = {
                name: -account.held
                for name, account in self._board.escrow.accounts.items()
                if account.held > 0
            }
            if not changes:
                return
            if not await self._commit(changes):
                conflicts += 1

    async def _has_predecessor(self) -> bool:
        """Return whether an earlier process of the host wrote a record.

        It may have died as a delegate with holdings to release.
        """
        if self._predecessor_found is not None:
            return self._predecessor_found
        snapshot = await self._store.read(self._record_key)
        records_found = [
            msgspec.json.decode(entry.value, type=records.HolderRecord)
            for entry in snapshot.entries
            if entry.key == self._record_key
        ]
        self._predecessor_found = any(
            r.promises or r.former for r in records_found
        )
        return self._predecessor_found

    async def _replace_record(self) -> None:
        """Read the pools and replace the record of the host's predecessor."""
        own_escrow = self._board.escrow
        snapshot = await self._store.read(POOL_PREFIX)
        for entry in snapshot.entries:
            pool = msgspec.json.decode(entry.value, type=records.PoolRecord)
            name = entry.key.removeprefix(POOL_PREFIX)
            own_escrow.update_pool(name, entry.revision, pool.drawn)
        snapshot = await self._store.read(self._record_key)
        previous = next(
            (e for e in snapshot.entries if e.key == self._record_key), None
        )
        if previous is not None:
            self._load_predecessors(previous.value)
        record = self._make_record({}, clock.read_time())
        outcome = await self._store.commit(
            [(self._record_key, previous.revision if previous else 0)],
            [(self._record_key, msgspec.json.encode(record))],
        )
        if not isinstance(outcome, protocol.Committed):
            return
        # The record has a new revision, so no commit of the predecessor can
        # take effect any more.
        self._record_revision = outcome.revision
        self._board.store_contact_s = clock.read_time()
        self._draw_requested.set()
        self._board.record_written_s = record.since_s

    def _load_predecessors(self, value: bytes) -> None:
        board = self._board
        record = msgspec.json.decode(value, type=records.HolderRecord)
        if record.holder == board.escrow.holder:
            # This process wrote the record; the answer to the commit was lost.
            return
        board.predecessors = records.read_predecessors(
            record, self._process_start
        )
        if record.promises:
            # A retired gateway's record is not renewed; its age says nothing.
            board.predecessor_wall_age_s = board.predecessors[
                -1
            ].wall_elapsed_s

    def _make_record(
        self, usage_bounds: Mapping[str, escrow.UsageBound], now_s: float
    ) -> records.HolderRecord:
        wall_s = time.time()
        return records.HolderRecord(
            self._board.escrow.holder,
            self._process_start.boot_id,
            now_s,
            wall_s,
            records.write_usage_bounds(usage_bounds),
            records.write_predecessors(self._board.predecessors),
            self._board.confirm_clock(wall_s, now_s),
        )

    async def release_predecessor(
        self, predecessor: record_age.Predecessor, age: record_age.Age
    ) -> None:
        """Release the holdings that a predecessor can't have used.

        :param age: upper bound on the age of its record at its death
        """
        proved = predecessor._replace(age=age)
        self._board.predecessors = [
            proved if other is predecessor else other
            for other in self._board.predecessors
        ]
        for workspace in list(self._board.escrow.pools):
            # Each pool has a commit of its own: after a power loss of the
            # fleet all hosts do this at once, and commits of many pools
            # would all conflict with each other.
            while not await self._release_holder(predecessor, workspace, age):
                await asyncio.sleep(random.uniform(0.0, MIN_DRAW_INTERVAL_S))
        self._board.predecessors.remove(proved)
        self._draw_requested.set()

    async def _release_holder(
        self,
        predecessor: record_age.Predecessor,
        workspace: str,
        age: record_age.Age,
    ) -> bool:
        own_escrow = self._board.escrow
        pool = own_escrow.pools[workspace]
        drawn = pool.holders.get(predecessor.holder)
        if drawn is None:
            return True
        usage_bound = predecessor.usage_bounds.get(workspace)
        bound = (
            usage_bound.compute_limit(age.elapsed_s, age.late)
            if usage_bound
            else drawn
        )
        holders = escrow.release_holder(
            pool.holders, predecessor.holder, bound
        )
        key = POOL_PREFIX + workspace
        outcome = await self._store.commit(
            [(key, pool.revision)],
            [(key, msgspec.json.encode(records.PoolRecord(holders)))],
        )
        if isinstance(outcome, protocol.Conflict):
            self._merge_entries(outcome.entries)
            return False
        own_escrow.update_pool(workspace, outcome.revision, holders)
        eliot.log_message(
            "funds:predecessor_closed",
            holder=predecessor.holder,
            workspace=workspace,
            drawn=drawn,
            bound=bound,
            elapsed_s=round(age.elapsed_s, 2),
            late=age.late,
        )
        return True

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
            if workspace.prepaid_tokens is None:
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
            if account.held > 0 and account.drawn > 0
        }
        complete = len(changes) <= MAX_POOLS_PER_COMMIT
        if await self._commit(changes, retires=complete) and complete:
            self._retired = True
            self._board.record_written_s = 0.0
            eliot.log_message("funds:retired", changes=changes)

    def _is_bound_awaited(self) -> bool:
        """Return whether a request waits only for a higher usage bound."""
        return any(
            account.wanted and account.held >= account.wanted
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
        used_at_renewal = self._used_at_renewal.get(name, 0)
        headroom = account.measure_headroom(used_at_renewal)
        return (
            account.used - used_at_renewal > headroom * EARLY_RENEWAL_FRACTION
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
        record = self._make_record({} if retires else usage_bounds, now_s)
        expected = [(self._record_key, self._record_revision or 0)]
        writes = [(self._record_key, msgspec.json.encode(record))]
        for name, holders in written.items():
            key = POOL_PREFIX + name
            expected.append((key, own_escrow.pools[name].revision))
            writes.append((
                key,
                msgspec.json.encode(records.PoolRecord(holders)),
            ))
        try:
            outcome = await self._store.commit(expected, writes)
        except store_errors.StoreAnswerLostError:
            eliot.log_message("funds:commit_in_doubt", workspaces=names)
            raise
        except store_errors.StoreError:
            own_escrow.cancel_commit(chosen, usage_bounds)
            raise
        self._board.store_contact_s = clock.read_time()
        self._board.pools_updated_s.update(
            dict.fromkeys(names, self._board.store_contact_s)
        )
        if isinstance(outcome, protocol.Conflict):
            own_escrow.cancel_commit(chosen, usage_bounds)
            self._merge_entries(outcome.entries)
            self._draw_requested.set()
            eliot.log_message("funds:conflict", changes=chosen)
            return False
        own_escrow.finish_commit(outcome.revision, written, usage_bounds)
        self._record_revision = outcome.revision
        self._renewed_s = now_s
        self._board.record_written_s = now_s
        self._used_at_renewal = {
            name: account.used for name, account in own_escrow.accounts.items()
        }
        eliot.log_message(
            "funds:committed", changes=chosen, revision=outcome.revision
        )
        return True

    def _merge_entries(self, entries: list[protocol.Entry]) -> None:
        own_escrow = self._board.escrow
        for entry in entries:
            if entry.key == self._record_key:
                self._merge_record(entry)
                continue
            name = entry.key.removeprefix(POOL_PREFIX)
            record = msgspec.json.decode(entry.value, type=records.PoolRecord)
            own_escrow.update_pool(name, entry.revision, record.drawn)

    def _merge_record(self, entry: protocol.Entry) -> None:
        record = msgspec.json.decode(entry.value, type=records.HolderRecord)
        if record.holder != self._board.escrow.holder:
            # Another process of this host has replaced the record. It treats
            # this process as dead and frees its holdings, so a usage bound
            # far below 0 prevents this one from spending more.
            eliot.log_message("funds:record_replaced", holder=record.holder)
            for account in self._board.escrow.accounts.values():
                account.usage_bounds = [
                    escrow.UsageBound(-(10**18), 0.0, 0.0, 0.0)
                ]
            return
        self._record_revision = entry.revision


def read_boot_id() -> str:
    """Return the id of the host's current boot, empty if it is unknown."""
    try:
        return BOOT_ID_PATH.read_text().strip()
    except OSError as err:
        eliot.log_message("funds:no_boot_id", reason=str(err))
        return ""


__all__ = (
    "HOLDER_PREFIX",
    "POOL_PREFIX",
    "PoolClient",
    "read_boot_id",
)
