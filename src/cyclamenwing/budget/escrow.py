"""Prepaid tokens held by one entry, drawn from a pool in the store.

The pool of a workspace lists what each incarnation of an entry has drawn and
not returned; the sum never exceeds what was paid. An entry spends only what
it holds, so neither a partition nor a pause can overspend. Entries also hand
tokens to each other, which leaves the pool's sum as it is.

An entry also promises, in a record beside the pools, a bound on its use that
grows with the age of the record: not at first, then at the rate of use, then,
once a peer has taken notice, fast enough to use up the holdings in an outage
of the store.
When its process has died, the next one on the same host frees what the bound
leaves.

A commit whose answer is lost counts against its entry, pool and promise
both, until the store has shown which way it went.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from typing import NamedTuple

# Holdings cover an outage of the store of this length at the recent rate.
AHEAD_S = 14.0
# A draw is due once holdings cover less than this part of their target.
REFILL_PART = 0.8
# Holdings above this multiple of their target are returned.
RETURN_FACTOR = 1.5
# Window of the spending rate; long enough to see a large batch twice.
RATE_WINDOW_S = 8.0
# Entries hold this part of what is left, all together, also without
# spending of their own: an outage of the store may come at any time.
IDLE_PART = 0.65
# Entries hold at most this part of what is left, all together: the rest
# survives a loss of all of them.
HOLD_PART = 0.85
# Smaller changes are not worth a call, unless a request waits for them.
MIN_CHANGE = 4000
# A draw leaves others their part of a pool that runs dry.
MAX_PART = 0.5
# A promise starts above the present use by this much of the rate, in
# seconds, and at least by this part of the holdings.
START_S = 0.7
START_PART = 0.02
# It rests for as long as a killed process's record is old at the most when
# the next process begins: one renewal interval and a restart.
REST_S = 1.2
# Then it grows by this multiple of the rate, so that little is lost with a
# host that loses power while the store is in reach.
EARLY_FACTOR = 1.0
EARLY_PART = 0.02
# Records are renewed twice a second; one that is this old tells of an outage
# of the store, which may use up the holdings within `LATE_S`.
OUTAGE_AGE_S = 3.0
LATE_S = 4.0
# A request waits this long at most for a promise to grow.
MAX_WAIT_S = 5.0
WAIT_STEP_S = 0.1
# Pools list what dead incarnations have used under this name.
CLOSED = "closed"


class UsageBound(NamedTuple):
    """Bound an account's use: `ceiling` at `since_s`, then growing.

    :param early: growth from `REST_S` to `OUTAGE_AGE_S`, in tokens a second
    :param late: growth after that, if a peer knows of it
    """

    ceiling: int
    early: float
    late: float
    since_s: float

    def compute_limit(self, now_s: float, late: bool) -> int:
        """Return the most that may be in use at a time."""
        age_s = max(now_s - self.since_s, 0.0)
        allowed = self.early * max(min(age_s, OUTAGE_AGE_S) - REST_S, 0.0)
        if late:
            allowed += self.late * max(age_s - OUTAGE_AGE_S, 0.0)
        return self.ceiling + int(allowed)


@dataclasses.dataclass(slots=True)
class WorkspaceAccount:
    """Count what this entry holds and uses of one workspace's tokens.

    `floor` is the least that commits on their way may leave of `drawn`;
    `promises` are those that the store may hold.
    """

    drawn: int = 0
    floor: int | None = None
    received: int = 0
    given: int = 0
    spent: int = 0
    reserved: int = 0
    wanted: int = 0
    rate: float = 0.0
    rate_at_s: float = 0.0
    promises: list[UsageBound] = dataclasses.field(default_factory=list)
    late: bool = False

    @property
    def used(self) -> int:
        """Return what counts against holdings and promises."""
        return self.spent + self.reserved + self.given - self.received

    @property
    def held(self) -> int:
        """Return the tokens that are held and not used."""
        sure = self.drawn if self.floor is None else self.floor
        return sure - self.used

    def count_available(self, now_s: float) -> int:
        """Return the tokens that may be reserved now.

        Without a promise nothing is drawn, and what peers have handed over
        may be used: nobody can free it.
        """
        if not self.promises:
            return self.held - max(self.drawn, 0)
        promised = min(
            p.compute_limit(now_s, self.late) for p in self.promises
        )
        return min(self.held, promised - self.used)

    def measure_headroom(self, used: int) -> int:
        """Return how far the newest promise began above a use."""
        return self.promises[-1].ceiling - used if self.promises else 0

    def predict_wait(self, tokens: int, now_s: float) -> float | None:
        """Return after how long the promises allow a request.

        None means not within `MAX_WAIT_S`, or that too little is held.
        """
        if tokens > self.held or not self.promises:
            return None
        steps = round(MAX_WAIT_S / WAIT_STEP_S)
        return next(
            (
                step * WAIT_STEP_S
                for step in range(steps)
                if tokens
                <= min(
                    p.compute_limit(now_s + step * WAIT_STEP_S, True)
                    for p in self.promises
                )
                - self.used
            ),
            None,
        )

    def reserve(self, tokens: int, now_s: float) -> bool:
        """Set tokens aside for a request if they are there."""
        if tokens > self.count_available(now_s):
            return False
        self.reserved += tokens
        self.rate = self.measure_rate(now_s) + tokens / RATE_WINDOW_S
        self.rate_at_s = now_s
        return True

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation; `spent` tokens were delivered of it."""
        self.reserved -= reserved
        self.spent += spent

    def give(self, tokens: int, now_s: float) -> int:
        """Hand tokens to another entry; return how many."""
        granted = max(min(tokens, self.count_available(now_s)), 0)
        self.given += granted
        return granted

    def receive(self, tokens: int) -> None:
        """Take tokens that another entry handed over."""
        self.received += tokens

    def measure_rate(self, now_s: float) -> float:
        """Return the recent use in tokens a second."""
        idle_s = max(now_s - self.rate_at_s, 0.0)
        return self.rate * math.exp(-idle_s / RATE_WINDOW_S)

    def plan_change(self, free: int, entries: int, now_s: float) -> int:
        """Return the tokens to draw from the pool, below 0 to return some.

        :param free: tokens of the pool that no entry holds
        :param entries: entries that draw from the pool
        """
        rate = self.measure_rate(now_s)
        shared = (free + max(self.held, 0) * entries) / entries
        target = max(rate * AHEAD_S, shared * IDLE_PART)
        target = min(target, shared * HOLD_PART) + self.wanted
        if self.held > target * RETURN_FACTOR and self.floor is None:
            surplus = self.held - int(target)
            return -surplus if surplus >= MIN_CHANGE else 0
        if free <= 0 or self.held >= target * REFILL_PART:
            return 0
        fair = free * MAX_PART / entries
        least = self.wanted - self.held
        wish = min(target - self.held, max(fair, least))
        change = max(min(int(wish), free), 0)
        if change < MIN_CHANGE and least <= 0:
            return 0
        return change

    def plan_promise(self, change: int, now_s: float) -> UsageBound:
        """Return the promise to commit together with a change."""
        rate = self.measure_rate(now_s)
        held = max(self.held + change, 0)
        start = max(rate * START_S, held * START_PART) + self.wanted
        early = max(rate * EARLY_FACTOR, held * EARLY_PART)
        late = max(early, held / LATE_S)
        return UsageBound(self.used + int(start), early, late, now_s)


@dataclasses.dataclass(slots=True)
class Pool:
    """Hold one workspace's pool as last seen in the store, or by a peer."""

    revision: int = 0
    holders: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def drawn(self) -> int:
        """Return what all incarnations hold or have spent."""
        return sum(self.holders.values())


class Escrow:
    """Keep the accounts of one incarnation of an entry.

    :param holder: name of this incarnation, unique among all entries
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.accounts: dict[str, WorkspaceAccount] = {}
        self.pools: dict[str, Pool] = {}

    def open_account(self, workspace: str) -> WorkspaceAccount:
        """Return a workspace's account, empty at first."""
        return self.accounts.setdefault(workspace, WorkspaceAccount())

    def open_pool(self, workspace: str) -> Pool:
        """Return a workspace's pool, empty before it was seen."""
        return self.pools.setdefault(workspace, Pool())

    def count_free(self, workspace: str, prepaid: int) -> int:
        """Return the tokens that no entry held when the pool was seen."""
        return prepaid - self.open_pool(workspace).drawn

    def update_pool(
        self, workspace: str, revision: int, holders: Mapping[str, int]
    ) -> None:
        """Take over a newer state of a pool, shown by the store or a peer.

        A newer revision voids the commits that expected the one before.
        """
        pool = self.open_pool(workspace)
        if revision <= pool.revision:
            return
        pool.revision = revision
        pool.holders = dict(holders)
        account = self.open_account(workspace)
        account.drawn = pool.holders.get(self.holder, 0)
        account.floor = None

    def begin(
        self, changes: Mapping[str, int], now_s: float
    ) -> tuple[dict[str, dict[str, int]], dict[str, UsageBound]]:
        """Start a commit; return the holders and promises to write."""
        written = {}
        for workspace, change in changes.items():
            account = self.open_account(workspace)
            holders = dict(self.open_pool(workspace).holders)
            holders[self.holder] = account.drawn + change
            floor = account.drawn if account.floor is None else account.floor
            account.floor = min(floor, holders[self.holder])
            written[workspace] = holders
        promises = {}
        for workspace, account in self.accounts.items():
            made = account.plan_promise(changes.get(workspace, 0), now_s)
            account.promises.append(made)
            promises[workspace] = made
        return written, promises

    def finish(
        self,
        revision: int,
        written: Mapping[str, Mapping[str, int]],
        promises: Mapping[str, UsageBound],
    ) -> None:
        """Record a commit that took effect; it voids all before it."""
        for workspace, holders in written.items():
            self.update_pool(workspace, revision, holders)
        for workspace, made in promises.items():
            self.accounts[workspace].promises = [made]
            self.accounts[workspace].late = False

    def record_peer_notice(self) -> None:
        """Let promises grow fast: a peer has taken notice."""
        for account in self.accounts.values():
            account.late = True

    def cancel(
        self, changes: Mapping[str, int], promises: Mapping[str, UsageBound]
    ) -> None:
        """Record a commit that had no effect and never will.

        An older one may still be on its way, so a lowered floor stays until
        the pool is seen anew.
        """
        for workspace in changes:
            account = self.open_account(workspace)
            if account.floor == account.drawn:
                account.floor = None
        for workspace, made in promises.items():
            account = self.accounts[workspace]
            account.promises = [p for p in account.promises if p is not made]


def release_holder(
    holders: Mapping[str, int], holder: str, bound: int
) -> dict[str, int]:
    """Return a pool's holders without one that is dead.

    What it may have used stays counted; the rest is free again. A holder
    that had received more than it used counts below zero: its donors count
    what they gave as used.
    """
    left = {name: drawn for name, drawn in holders.items() if name != holder}
    used = min(holders.get(holder, 0), bound)
    left[CLOSED] = left.get(CLOSED, 0) + used
    return left


__all__ = (
    "CLOSED",
    "WorkspaceAccount",
    "Escrow",
    "Pool",
    "UsageBound",
    "release_holder",
)
