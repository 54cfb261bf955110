"""Pools of prepaid tokens in the store, as this gateway draws on them."""

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
from cyclamenwing.gateway import records
from cyclamenwing.gateway import succession
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

POOL_PREFIX = "cyclamenwing/pools/"
HOLDER_PREFIX = "cyclamenwing/holders/"
BOOT_ID = pathlib.Path("/proc/sys/kernel/random/boot_id")
# A transaction takes 32 entries, two a key; one key is the own record.
MAX_POOLS = 15
# Promises are renewed at this interval while much of them is used.
RENEW_INTERVAL_S = 0.7
# And at this one otherwise: a promise must not pass its early part while the
# store is in reach.
IDLE_RENEW_INTERVAL_S = 1.4
# Draws that a request waits for follow each other no faster.
URGENT_INTERVAL_S = 0.02
BUSY_PAUSE_S = 0.3
# A promise of which this part is used is renewed early.
USED_PART = 0.5
# A pool that a request waits for is read again after this long.
FRESH_S = 2.0


class Pools:
    """Draw on the pools and keep this gateway's record."""

    def __init__(
        self, board: blackboard.Blackboard, store: protocol.TransactionStore
    ) -> None:
        self._board = board
        self._store = store
        self._urgent = asyncio.Event()
        self._drawn = asyncio.Condition()
        self._start = records.Start(
            read_boot_id(), clock.read_time(), time.time()
        )
        self._record_key = HOLDER_PREFIX + board.settings.host
        self._record_revision: int | None = None
        self._renewed_s = 0.0
        self._renewed_used: dict[str, int] = {}

    async def wait_for_draw(self) -> None:
        """Draw soon; return when a draw has ended, well or not."""
        async with self._drawn:
            self._urgent.set()
            await self._drawn.wait()

    async def run(self) -> None:
        """Draw from the pools until cancelled."""
        while True:
            self._urgent.clear()
            pause_s = URGENT_INTERVAL_S
            try:
                if self._record_revision is None:
                    await self._take_over()
                else:
                    await self._renew()
            except store_errors.StoreError as err:
                eliot.log_message("funds:commit_failed", code=err.code)
                pause_s = BUSY_PAUSE_S
            async with self._drawn:
                self._drawn.notify_all()
            await asyncio.sleep(pause_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RENEW_INTERVAL_S):
                    await self._urgent.wait()

    async def release(self) -> None:
        """Return to the pools what this gateway holds and doesn't use."""
        changes = {
            name: -account.held
            for name, account in self._board.escrow.accounts.items()
            if account.held > 0
        }
        for _ in range(3):
            if not changes or await self._commit(changes):
                return

    async def _take_over(self) -> None:
        """Read the pools and replace the record of an earlier process."""
        ledger = self._board.escrow
        found = await self._store.read(POOL_PREFIX)
        for entry in found.entries:
            pool = msgspec.json.decode(entry.value, type=records.PoolRecord)
            name = entry.key.removeprefix(POOL_PREFIX)
            ledger.update_pool(name, entry.revision, pool.drawn)
        found = await self._store.read(self._record_key)
        before = next(
            (e for e in found.entries if e.key == self._record_key), None
        )
        if before is not None:
            self._note_predecessors(before.value)
        record = self._make_record({}, clock.read_time())
        outcome = await self._store.commit(
            [(self._record_key, before.revision if before else 0)],
            [(self._record_key, msgspec.json.encode(record))],
        )
        if not isinstance(outcome, protocol.Committed):
            return
        # From here on a commit of the earlier process can't take effect.
        self._record_revision = outcome.revision
        self._board.store_seen_s = clock.read_time()
        self._urgent.set()
        self._board.record_at_s = record.since_s

    def _note_predecessors(self, value: bytes) -> None:
        board = self._board
        record = msgspec.json.decode(value, type=records.HolderRecord)
        if record.holder == board.escrow.holder:
            # The answer to an earlier try was lost.
            return
        board.predecessors = records.read_predecessors(record, self._start)
        board.wall_age_s = board.predecessors[-1].wall_elapsed_s

    def _make_record(
        self, promises: Mapping[str, escrow.UsageBound], now_s: float
    ) -> records.HolderRecord:
        return records.HolderRecord(
            self._board.escrow.holder,
            self._start.boot_id,
            now_s,
            time.time(),
            records.write_promises(promises),
            records.write_former(self._board.predecessors),
        )

    async def close_predecessor(
        self, dead: succession.Predecessor, age: succession.Age
    ) -> None:
        """Free what an earlier process of the host can't have used.

        :param age: age of its record at its death, at the most
        """
        proved = dead._replace(age=age)
        self._board.predecessors = [
            proved if found is dead else found
            for found in self._board.predecessors
        ]
        for workspace in list(self._board.escrow.pools):
            # Pools are closed one by one: all hosts of a fleet that lost
            # power do so at once, and larger commits would all conflict.
            while not await self._close_holder(dead, workspace, age):
                await asyncio.sleep(random.uniform(0.0, URGENT_INTERVAL_S))
        self._board.predecessors.remove(proved)
        self._urgent.set()

    async def _close_holder(
        self,
        dead: succession.Predecessor,
        workspace: str,
        age: succession.Age,
    ) -> bool:
        ledger = self._board.escrow
        pool = ledger.pools[workspace]
        drawn = pool.holders.get(dead.holder)
        if drawn is None:
            return True
        promise = dead.promises.get(workspace)
        bound = (
            promise.compute_limit(age.elapsed_s, age.late)
            if promise
            else drawn
        )
        holders = escrow.release_holder(pool.holders, dead.holder, bound)
        key = POOL_PREFIX + workspace
        outcome = await self._store.commit(
            [(key, pool.revision)],
            [(key, msgspec.json.encode(records.PoolRecord(holders)))],
        )
        if isinstance(outcome, protocol.Conflict):
            self._see_entries(outcome.entries)
            return False
        ledger.update_pool(workspace, outcome.revision, holders)
        eliot.log_message(
            "funds:predecessor_closed",
            holder=dead.holder,
            workspace=workspace,
            drawn=drawn,
            bound=bound,
            elapsed_s=round(age.elapsed_s, 2),
            late=age.late,
        )
        return True

    async def _renew(self) -> None:
        board = self._board
        known = board.configuration
        if known is None:
            return
        now_s = clock.read_time()
        entries = board.count_entries(now_s)
        changes = {}
        for name, workspace in known.workspaces.items():
            if workspace.prepaid_tokens is None:
                continue
            account = board.escrow.open_account(name)
            free = board.escrow.count_free(name, workspace.prepaid_tokens)
            change = account.plan_change(free, entries, now_s)
            if change or (
                account.wanted
                and now_s - board.pools_seen_s.get(name, 0) > FRESH_S
            ):
                changes[name] = change
        if changes or self._is_renewal_due(now_s):
            await self._commit(changes)

    def _is_renewal_due(self, now_s: float) -> bool:
        accounts = self._board.escrow.accounts
        if any(
            account.wanted and account.held >= account.wanted
            for account in accounts.values()
        ):
            return True
        age_s = now_s - self._renewed_s
        if age_s < RENEW_INTERVAL_S:
            return False
        if age_s >= IDLE_RENEW_INTERVAL_S:
            return True
        return any(
            self._is_promise_used(name, account)
            for name, account in accounts.items()
        )

    def _is_promise_used(
        self, name: str, account: escrow.WorkspaceAccount
    ) -> bool:
        before = self._renewed_used.get(name, 0)
        start = account.measure_headroom(before)
        return account.used - before > start * USED_PART

    async def _commit(self, changes: dict[str, int]) -> bool:
        names = sorted(changes, key=lambda n: -abs(changes[n]))[:MAX_POOLS]
        chosen = {name: changes[name] for name in names}
        ledger = self._board.escrow
        now_s = clock.read_time()
        written, promises = ledger.begin(chosen, now_s)
        record = self._make_record(promises, now_s)
        expected = [(self._record_key, self._record_revision or 0)]
        writes = [(self._record_key, msgspec.json.encode(record))]
        for name, holders in written.items():
            key = POOL_PREFIX + name
            expected.append((key, ledger.pools[name].revision))
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
            ledger.cancel(chosen, promises)
            raise
        self._board.store_seen_s = clock.read_time()
        self._board.pools_seen_s.update(
            dict.fromkeys(names, self._board.store_seen_s)
        )
        if isinstance(outcome, protocol.Conflict):
            ledger.cancel(chosen, promises)
            self._see_entries(outcome.entries)
            self._urgent.set()
            eliot.log_message("funds:conflict", changes=chosen)
            return False
        ledger.finish(outcome.revision, written, promises)
        self._record_revision = outcome.revision
        self._renewed_s = now_s
        self._board.record_at_s = now_s
        self._renewed_used = {
            name: account.used for name, account in ledger.accounts.items()
        }
        eliot.log_message(
            "funds:committed", changes=chosen, revision=outcome.revision
        )
        return True

    def _see_entries(self, entries: list[protocol.Entry]) -> None:
        ledger = self._board.escrow
        for entry in entries:
            if entry.key == self._record_key:
                self._see_record(entry)
                continue
            name = entry.key.removeprefix(POOL_PREFIX)
            record = msgspec.json.decode(entry.value, type=records.PoolRecord)
            ledger.update_pool(name, entry.revision, record.drawn)

    def _see_record(self, entry: protocol.Entry) -> None:
        record = msgspec.json.decode(entry.value, type=records.HolderRecord)
        if record.holder != self._board.escrow.holder:
            # Another process took over this host's record: it has counted
            # this one as dead, so nothing may be spent any more.
            eliot.log_message("funds:record_taken", holder=record.holder)
            for account in self._board.escrow.accounts.values():
                account.promises = [
                    escrow.UsageBound(-(10**18), 0.0, 0.0, 0.0)
                ]
            return
        self._record_revision = entry.revision


def read_boot_id() -> str:
    """Return what names this start of the host, empty if it is unknown."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError as err:
        eliot.log_message("funds:no_boot_id", reason=str(err))
        return ""


__all__ = (
    "HOLDER_PREFIX",
    "POOL_PREFIX",
    "Pools",
    "read_boot_id",
)
