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
        for account in self.accounts.values():
            if account.min_drawn is not None:
                account.drawn = account.min_drawn
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
        super().update_pool(workspace, revision, holders)

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
    "restore_pool",
)
