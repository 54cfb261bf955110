"""Pools of prepaid tokens after the store has returned from an older copy.

The copy may lack draws, so its free tokens may be in use. Each gateway keeps
the newest state of each pool that it knew, and writes it back together with
its own entry, which it knows exactly. Tokens are drawn again once all live
gateways have done so, or after a time.

An entry counts too much rather than too little: per holder the larger number
counts where two states differ and it is not certain which one is newer. Only
its own process writes an entry for a live holder exactly, so that no process
adopts tokens that were counted for it in doubt.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from cyclamenwing.budget import draw_ages
from cyclamenwing.budget import escrow

# Name under which a pool lists all tokens that were free in an older copy of
# which no process knows what came after it.
UNKNOWN = "unknown"


class Mark(NamedTuple):
    """Describe where the state of a pool comes from.

    :param era: era of the store in which it was written
    :param basis: era and revision of the older state that was restored
    :param restored: holders that have written their own entry since
    """

    era: int = 0
    basis: tuple[int, int] = (0, 0)
    restored: tuple[str, ...] = ()


class PoolState(NamedTuple):
    """Hold a pool as it was read from the store."""

    revision: int = 0
    holders: Mapping[str, int] = {}
    mark: Mark = Mark()

    @property
    def position(self) -> tuple[int, int]:
        """Return the era and the revision, which order the states."""
        return (self.mark.era, self.revision)


class Restored(NamedTuple):
    """Hold the state of a pool to write in the present era."""

    holders: dict[str, int]
    mark: Mark


def restore_pool(
    era: int,
    own: tuple[str, int],
    stored: PoolState,
    known: PoolState,
    gossiped: Mapping[str, int],
) -> Restored:
    """Return what a gateway writes that has lived in an earlier era.

    :param own: the gateway's holder and the tokens that it has drawn
    :param stored: the pool as the store has it now
    :param known: the newest state of an earlier era that the gateway knows
    :param gossiped: tokens that other holders held by their last gossip
    """
    current = stored.mark.era == era
    basis = stored.mark.basis if current else stored.position
    restored = stored.mark.restored if current else ()
    if known.position > basis and not current:
        holders = dict(known.holders)
    elif known.position > basis:
        exact = {h: n for h, n in stored.holders.items() if h in restored}
        holders = _take_larger(stored.holders, known.holders) | exact
    else:
        holders = dict(stored.holders)
    if known.position >= basis and UNKNOWN not in known.holders:
        holders.pop(UNKNOWN, None)
    for holder, held in gossiped.items():
        if holder in holders and holder not in restored:
            holders[holder] = max(holders[holder], held)
    holder, drawn = own
    holders[holder] = drawn
    if holder not in restored:
        restored = (*restored, holder)
    return Restored(holders, Mark(era, max(basis, known.position), restored))


def reopen_pool(era: int, holder: str, stored: PoolState) -> Restored:
    """Return a pool of a copy of which no free token can have been used.

    What it lists for each holder bounds what that one can have used since.
    """
    holders = {**stored.holders, draw_ages.FRESH: 0}
    return Restored(holders, Mark(era, stored.position, (holder,)))


def close_pool(
    era: int, holder: str, stored: PoolState, prepaid: int
) -> Restored:
    """Return a pool of which all free tokens count as used.

    For a process that knows of no state after an older copy, where no other
    process does either.
    """
    holders = dict(stored.holders)
    free = prepaid - sum(holders.values())
    holders[UNKNOWN] = holders.get(UNKNOWN, 0) + max(free, 0)
    return Restored(holders, Mark(era, stored.position, (holder,)))


class EraEscrow(escrow.Escrow):
    """Hold accounts and pools over the eras of the store.

    :ivar era: era in which the pools were read
    :ivar older: newest known states of pools in earlier eras
    :ivar unrestored: workspaces whose pools lack this gateway's entry
    :ivar unopened: workspaces whose pools may lack entries of others too
    :ivar unknown: workspaces of whose pools this process knows no state but
        that of an older copy
    :ivar ages_draws: the store may return older, so tokens are used only once
        each copy lists them as drawn
    """

    def __init__(self, holder: str) -> None:
        super().__init__(holder)
        self.era = 0
        self.older: dict[str, PoolState] = {}
        self.unrestored: set[str] = set()
        self.unopened: set[str] = set()
        self.unknown: set[str] = set()
        # Newest states read of pools that this gateway has not restored.
        self._unmerged: dict[str, PoolState] = {}
        self._marks: dict[str, Mark] = {}
        self.ages_draws = False
        self._histories: dict[str, draw_ages.DrawHistory] = {}
        # When pools were first seen as created lately, None if just now.
        self._fresh: dict[str, float | None] = {}

    def begin_commit(
        self, changes: Mapping[str, int], now_s: float
    ) -> tuple[dict[str, dict[str, int]], dict[str, escrow.UsageBound]]:
        """Start a commit; mark pools that it creates, and unmark old ones."""
        written, usage_bounds = super().begin_commit(changes, now_s)
        unmarked = set(self.list_unmarked(now_s))
        for name, holders in written.items():
            if self.ages_draws and not self.open_pool(name).revision:
                holders[draw_ages.FRESH] = 0
            elif name in unmarked:
                holders.pop(draw_ages.FRESH, None)
        return written, usage_bounds

    def finish_commit(
        self,
        revision: int,
        written: Mapping[str, Mapping[str, int]],
        usage_bounds: Mapping[str, escrow.UsageBound],
    ) -> None:
        """Record a commit that took effect and replaces all earlier ones."""
        super().finish_commit(revision, written, usage_bounds)
        for name, holders in written.items():
            if draw_ages.FRESH in holders:
                self._histories.pop(name, None)
                self._set_lowest(name)

    def list_unmarked(self, now_s: float) -> list[str]:
        """Return the pools that no longer count as created lately."""
        old = []
        for name, since_s in self._fresh.items():
            if since_s is None:
                self._fresh[name] = now_s
            elif (
                name not in self.unopened
                and now_s - since_s >= draw_ages.FRESH_S
            ):
                old.append(name)
        return old

    def confirm_draws(self, began_s: float, answered_s: float) -> None:
        """Record that a commit of this era has succeeded.

        :param began_s: time before it was sent
        """
        for name in list(self._histories):
            if name in self.unrestored:
                continue
            history = self._histories[name]
            history.confirm(began_s, answered_s)
            if history.settled:
                del self._histories[name]
            self._set_lowest(name)

    def add_credit(self, workspace: str, tokens: int) -> None:
        """Add tokens that older copies list for this host's predecessor."""
        history = self._histories.get(workspace)
        if history is not None:
            history.add_credit(tokens)
            self._set_lowest(workspace)

    def list_certain(
        self, written: Mapping[str, Mapping[str, int]]
    ) -> dict[str, int]:
        """Return the tokens that each copy lists as drawn, by workspace.

        :param written: holders of pools in the commit that records them
        """
        certain = {}
        for name, account in self.accounts.items():
            history = self._histories.get(name)
            before = self.get_drawn(name)
            holders = written.get(name, {})
            after = holders.get(self.holder, before)
            if draw_ages.FRESH in holders:
                certain[name] = after
            else:
                lowest = account.drawn if history is None else history.lowest
                certain[name] = min(lowest, before, after)
        return certain

    def _set_lowest(self, workspace: str) -> None:
        history = self._histories.get(workspace)
        self.open_account(workspace).lowest_drawn = (
            None if history is None else history.lowest
        )

    def _observe(self, workspace: str, before: int) -> None:
        """Record that the pool may list another number for this holder."""
        drawn = self.open_account(workspace).drawn
        if not self.ages_draws or drawn == before:
            return
        history = self._histories.setdefault(
            workspace, draw_ages.DrawHistory(before)
        )
        history.add(drawn)
        self._set_lowest(workspace)

    def begin_era(self, era: int, workspaces: Iterable[str]) -> None:
        """Keep what is known of all pools until it is restored.

        Commits in doubt count as what leaves this gateway fewer tokens.

        :param workspaces: those that may have a pool not known here
        """
        for name, pool in self.pools.items():
            if pool.revision:
                self.older[name] = PoolState(
                    pool.revision, pool.holders, self.find_mark(name)
                )
        for name, state in self._unmerged.items():
            known = self.older.get(name, PoolState())
            holders = _take_larger(state.holders, known.holders)
            self.older[name] = state._replace(holders=holders)
        for history in self._histories.values():
            history.reopen()
        for name, account in self.accounts.items():
            if account.min_drawn is not None:
                before, account.drawn = account.drawn, account.min_drawn
                self._observe(name, before)
            account.min_drawn = None
            account.open_commits = 0
        self._reduced_at = 0
        self.pools.clear()
        self._marks.clear()
        self._unmerged.clear()
        self.era = era
        self.unrestored = {*self.older, *self.accounts, *workspaces}
        self.unopened = set(self.unrestored)

    def join_era(
        self,
        era: int,
        states: Mapping[str, PoolState],
        workspaces: set[str],
        has_older_records: bool,
    ) -> None:
        """Begin with the pools that the store has at the process's start.

        :param workspaces: those that should have a pool
        :param has_older_records: some process ran in an earlier era, so that
            pools may be missing
        """
        self.era = era
        outdated = {n for n, s in states.items() if s.mark.era != era}
        if outdated or has_older_records:
            outdated |= workspaces - set(states)
        self.unrestored = outdated
        self.unopened = set(outdated)
        self.unknown = set(outdated)
        for name, state in states.items():
            self.update_pool(name, state.revision, state.holders, state.mark)

    def block_pools(self, workspaces: Iterable[str]) -> None:
        """Draw nothing from pools that were not seen in this era yet."""
        unseen = {n for n in workspaces if not self.open_pool(n).revision}
        self.unrestored |= unseen
        self.unopened |= unseen

    def find_mark(self, workspace: str) -> Mark:
        """Return the mark of a pool's present state."""
        return self._marks.get(workspace, Mark(self.era))

    def count_free(self, workspace: str, prepaid: int) -> int:
        """Return the tokens that may be drawn; 0 until a pool is restored."""
        if workspace in self.unopened:
            return 0
        return super().count_free(workspace, prepaid)

    def update_pool(
        self,
        workspace: str,
        revision: int,
        holders: Mapping[str, int],
        mark: Mark | None = None,
    ) -> None:
        """Replace a pool's state if a newer revision of this era was read.

        :param mark: None if it is the one of the state before
        """
        if mark is not None and mark.era != self.era:
            return
        if workspace in self.unrestored:
            seen = self._unmerged.get(workspace, PoolState())
            if mark is not None and revision > seen.revision:
                self._unmerged[workspace] = PoolState(
                    revision, dict(holders), mark
                )
            return
        if mark is not None and revision > self.open_pool(workspace).revision:
            self._marks[workspace] = mark
        before = self.open_account(workspace).drawn
        super().update_pool(workspace, revision, holders)
        self._observe(workspace, before)
        if draw_ages.FRESH in self.open_pool(workspace).holders:
            self._fresh.setdefault(workspace, None)
        else:
            self._fresh.pop(workspace, None)

    def get_drawn(self, workspace: str) -> int:
        """Return the tokens that this gateway has drawn for certain."""
        account = self.open_account(workspace)
        return (
            account.drawn if account.min_drawn is None else account.min_drawn
        )

    def finish_restoration(
        self, workspace: str, revision: int, restored: Restored
    ) -> None:
        """Record that a pool has this gateway's entry in this era."""
        self.unrestored.discard(workspace)
        self.unknown.discard(workspace)
        self.older.pop(workspace, None)
        self._unmerged.pop(workspace, None)
        self.update_pool(workspace, revision, restored.holders, restored.mark)

    def open_pools(self, live: Collection[str], expired: bool) -> list[str]:
        """Allow draws from complete pools; return their workspaces.

        :param live: other holders that are alive
        :param expired: those that have not restored their entries count with
            what is known of them
        """
        opened = [
            name
            for name in self.unopened - self.unrestored
            if expired or set(live) <= set(self.find_mark(name).restored)
        ]
        self.unopened.difference_update(opened)
        return opened


def _take_larger(
    first: Mapping[str, int], second: Mapping[str, int]
) -> dict[str, int]:
    return {
        name: max(first.get(name, 0), second.get(name, 0))
        for name in {**first, **second}
    }


__all__ = (
    "UNKNOWN",
    "EraEscrow",
    "Mark",
    "PoolState",
    "Restored",
    "close_pool",
    "reopen_pool",
    "restore_pool",
)
