"""Prepaid tokens held by one gateway, drawn from a pool in the store.

The pool of a workspace lists how many tokens each incarnation of a gateway
has drawn and not returned. Their sum never exceeds the prepaid tokens, and
a gateway spends only tokens that it holds, so neither a network partition
nor a paused process can overspend. Gateways also transfer tokens to each
other, which leaves the sum in the pool unchanged.

Each gateway also commits a usage bound for each account, in a record next
to the pools. The bound limits how many of its tokens the gateway may use,
and grows with the age of the record: not at first, then at the recent rate
of use. Running requests count with the tokens that they may use without
asking again, which is less than what is reserved for a long answer. Once a
peer has noticed that the record is old, the bound grows fast enough to serve
the recent demand during an outage of the store. When the process has died,
its successor on the same host releases the tokens above the bound to the
pool.

While the result of a commit is unknown, the gateway assumes the worse
outcome for its holdings and for its usage bounds, until a read of the store
shows whether the commit took effect.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

from cyclamenwing.budget import draws
from cyclamenwing.budget import outage_votes
from cyclamenwing.budget import usage_bounds

EARLY_RATE_FACTOR = usage_bounds.EARLY_RATE_FACTOR
GROWTH_DELAY_S = usage_bounds.GROWTH_DELAY_S
MIN_HELD_SHARE = draws.MIN_HELD_SHARE
OUTAGE_AGE_S = usage_bounds.OUTAGE_AGE_S
UsageBound = usage_bounds.UsageBound

# Time constant of the rate of use; long enough to cover a large batch twice.
RATE_WINDOW_S = 8.0
# A rate of use that is older than this is close to 0.
MAX_RATE_AGE_S = 10 * RATE_WINDOW_S
# Time constant of the tokens that requests may still give back: half of them
# run for 1 s, and attached gateways return what is left 0.5 to 1 s later.
RECENT_S = 2.0
# Longest time that a request waits for a usage bound to grow.
MAX_GROWTH_WAIT_S = 5.0
GROWTH_WAIT_STEP_S = 0.1
# Name under which a pool lists the tokens that dead incarnations have used.
CLOSED = "closed"


@dataclasses.dataclass(slots=True)
class WorkspaceAccount:
    """Count what this gateway holds and uses of one workspace's tokens.

    :param drawn: tokens that the pool lists for this gateway, as last read
    :param min_drawn: lowest value of `drawn` that commits with an unknown
        result may lead to; None if there are no such commits
    :param open_commits: commits to the pool's present revision that are under
        way or have an unknown result
    :param received: tokens received from other gateways
    :param given: tokens given to other gateways
    :param spent: tokens that requests have used
    :param reserved: tokens reserved for requests in progress
    :param deferred: those of them that the requests may not use yet
    :param wanted: tokens that waiting requests need
    :param wanted_later: those of them that will be deferred
    :param awaited: deferred tokens that running requests wait for
    :param rate: rate of use at `rate_at_s`, in tokens per second
    :param recent: tokens reserved lately at `rate_at_s`
    :param usage_bounds: the usage bounds that the store may hold
    :param outage_noticed: whether a peer has noticed that the record is old
    """

    drawn: int = 0
    min_drawn: int | None = None
    open_commits: int = 0
    received: int = 0
    given: int = 0
    spent: int = 0
    reserved: int = 0
    deferred: int = 0
    wanted: int = 0
    wanted_later: int = 0
    awaited: int = 0
    rate: float = 0.0
    rate_at_s: float = 0.0
    recent: float = 0.0
    usage_bounds: list[UsageBound] = dataclasses.field(default_factory=list)
    outage_noticed: bool = False

    @property
    def used(self) -> int:
        """Return the tokens that count against holdings."""
        return self.spent + self.reserved + self.given - self.received

    @property
    def committed(self) -> int:
        """Return the tokens that count against usage bounds."""
        return self.used - self.deferred

    @property
    def held(self) -> int:
        """Return the tokens that this gateway holds and has not used."""
        drawn = self.drawn if self.min_drawn is None else self.min_drawn
        return drawn - self.used

    def count_available(self, now_s: float) -> int:
        """Return the tokens that may be reserved and used now."""
        return min(self.held, self.measure_room(now_s))

    def measure_room(self, now_s: float) -> int:
        """Return the tokens that the usage bounds leave.

        Without a usage bound these are the ones received from peers. No other
        process can release them, so they need no bound.
        """
        if not self.usage_bounds:
            return self.held + self.deferred - max(self.drawn, 0)
        limit = min(
            p.compute_limit(now_s, self.outage_noticed)
            for p in self.usage_bounds
        )
        return limit - self.committed

    def measure_headroom(self, committed: int) -> int:
        """Return the initial headroom of the newest usage bound.

        :param committed: `committed` when the bound was computed
        """
        if not self.usage_bounds:
            return 0
        return self.usage_bounds[-1].ceiling - committed

    def count_missing(self, tokens: int, initial: int, now_s: float) -> int:
        """Return the tokens that others must transfer for a request.

        :param initial: tokens that it may use at once
        """
        return max(tokens - self.held, initial - self.measure_room(now_s), 0)

    def predict_wait(
        self, tokens: int, now_s: float, initial: int | None = None
    ) -> float | None:
        """Return the seconds until the usage bounds allow a request.

        None means that they don't within `MAX_GROWTH_WAIT_S`, or that the
        gateway holds too few tokens. The result assumes that a peer has
        noticed that the record is old.

        :param initial: tokens that it may use at once, None for all
        """
        if tokens > self.held or not self.usage_bounds:
            return None
        if initial is None:
            initial = tokens
        steps = round(MAX_GROWTH_WAIT_S / GROWTH_WAIT_STEP_S)
        return next(
            (
                step * GROWTH_WAIT_STEP_S
                for step in range(steps)
                if initial
                <= min(
                    p.compute_limit(now_s + step * GROWTH_WAIT_STEP_S, True)
                    for p in self.usage_bounds
                )
                - self.committed
            ),
            None,
        )

    def reserve(
        self, tokens: int, now_s: float, initial: int | None = None
    ) -> bool:
        """Reserve tokens for a request; return whether they were available.

        :param initial: tokens that it may use at once, None for all; the
            others are deferred until `extend`
        """
        if initial is None:
            initial = tokens
        if tokens > self.held or initial > self.measure_room(now_s):
            return False
        self.reserved += tokens
        self.deferred += tokens - initial
        self._record_use(initial, now_s, tokens)
        return True

    def extend(self, tokens: int, now_s: float) -> bool:
        """Let a running request use deferred tokens; return whether it may.

        They are held, unless another gateway has reclaimed them.
        """
        if tokens > min(self.held + self.deferred, self.measure_room(now_s)):
            return False
        self.deferred -= tokens
        self._record_use(tokens, now_s, 0)
        return True

    def settle(
        self,
        reserved: int,
        spent: int,
        deferred: int = 0,
        now_s: float | None = None,
    ) -> None:
        """End a reservation of which `spent` tokens were used.

        :param deferred: tokens of it that are deferred still
        :param now_s: present time, None if none has passed since a request
        """
        self.reserved -= reserved
        self.deferred -= deferred
        self.spent += spent
        self.record_unused(reserved - deferred - spent, now_s)

    def record_unused(self, tokens: int, now_s: float | None = None) -> None:
        """Correct the rate of use by tokens that were counted in it."""
        unused_rate = tokens / RATE_WINDOW_S
        if now_s is not None:
            # `rate` is that of an earlier time.
            idle_s = min(max(now_s - self.rate_at_s, 0.0), MAX_RATE_AGE_S)
            unused_rate *= math.exp(idle_s / RATE_WINDOW_S)
        self.rate = max(self.rate - unused_rate, 0.0)

    def _record_use(self, tokens: int, now_s: float, reserved: int) -> None:
        self.recent = self.measure_recent(now_s) + reserved
        self.rate = self.measure_rate(now_s) + tokens / RATE_WINDOW_S
        self.rate_at_s = now_s

    def deduct_transfer(self, tokens: int, now_s: float) -> int:
        """Deduct available tokens for another gateway; return how many."""
        deducted = max(min(tokens, self.count_available(now_s)), 0)
        self.given += deducted
        return deducted

    def hand_over(self, tokens: int) -> None:
        """Turn a reservation into a transfer to another gateway."""
        self.reserved -= tokens
        self.given += tokens

    def add_transfer(self, tokens: int) -> None:
        """Add tokens that another gateway has deducted."""
        self.received += tokens

    def measure_rate(self, now_s: float) -> float:
        """Return the recent rate of use in tokens per second."""
        idle_s = max(now_s - self.rate_at_s, 0.0)
        return self.rate * math.exp(-idle_s / RATE_WINDOW_S)

    def measure_recent(self, now_s: float) -> float:
        """Return the tokens reserved in about the last `RECENT_S`."""
        idle_s = max(now_s - self.rate_at_s, 0.0)
        return self.recent * math.exp(-idle_s / RECENT_S)

    def plan_change(
        self, free: int, gateways: int, now_s: float, keeps: bool = True
    ) -> int:
        """Return the tokens to draw from the pool.

        A negative number is the tokens to return to it.

        :param free: tokens of the pool that no gateway holds
        :param gateways: number of gateways that draw from the pool
        :param keeps: this gateway is one of them; others draw only what a
            request waits for
        """
        return draws.plan_draw(
            draws.Holdings(
                self.held,
                self.wanted,
                self.measure_rate(now_s),
                self.min_drawn is not None,
            ),
            free,
            gateways,
            keeps,
        )

    def plan_usage_bound(self, change: int, now_s: float) -> UsageBound:
        """Return the usage bound to commit together with a change.

        :param change: tokens drawn, or returned if negative, by the commit
        """
        return usage_bounds.plan_bound(
            self.committed,
            max(self.held + change, 0),
            self.measure_rate(now_s),
            self.wanted - self.wanted_later + self.awaited,
            now_s,
        )


@dataclasses.dataclass(slots=True)
class Pool:
    """Hold one workspace's pool as last read from the store or a peer.

    :param revision: revision of the store that last changed the pool
    :param holders: tokens drawn and not returned, by incarnation
    """

    revision: int = 0
    holders: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def drawn(self) -> int:
        """Return the tokens that incarnations hold or have spent."""
        return sum(self.holders.values())


class Escrow:
    """Hold the accounts and pools of one incarnation of a gateway.

    :param holder: name of this incarnation, unique among all gateways
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.votes = outage_votes.OutageVotes()
        # Revision by which the holdings were reduced, and what is left of
        # those drawn. Earlier states of the pools do not show it yet.
        self._reduced_at = 0
        self._reduced: dict[str, int] = {}
        self.accounts: dict[str, WorkspaceAccount] = {}
        self.pools: dict[str, Pool] = {}

    def open_account(self, workspace: str) -> WorkspaceAccount:
        """Return a workspace's account, creating an empty one if absent."""
        return self.accounts.setdefault(workspace, WorkspaceAccount())

    def open_pool(self, workspace: str) -> Pool:
        """Return a workspace's pool, creating an empty one if absent."""
        return self.pools.setdefault(workspace, Pool())

    def count_free(self, workspace: str, prepaid: int) -> int:
        """Return the tokens that no gateway held when the pool was read."""
        return prepaid - self.open_pool(workspace).drawn

    def update_pool(
        self, workspace: str, revision: int, holders: Mapping[str, int]
    ) -> None:
        """Replace a pool's state if a newer revision was read.

        The state comes from the store or from a peer. Commits that expect
        an older revision can't take effect any more, so the account no
        longer counts them.
        """
        pool = self.open_pool(workspace)
        if revision <= pool.revision:
            return
        pool.revision = revision
        pool.holders = dict(holders)
        account = self.open_account(workspace)
        account.drawn = pool.holders.get(self.holder, 0)
        if revision < self._reduced_at and workspace in self._reduced:
            account.drawn = min(account.drawn, self._reduced[workspace])
        account.min_drawn = None
        account.open_commits = 0

    def forgo_unproved(self, now_s: float, revision: int = 0) -> None:
        """Give up the holdings that another gateway may have reclaimed.

        These are the ones beyond the usage bounds without their late phase.

        :param revision: revision of the store by which they were reclaimed,
            0 if it is not known whether they were
        """
        self._reduced_at = revision
        self._reduced.clear()
        for workspace, account in self.accounts.items():
            if not account.usage_bounds:
                continue
            limit = min(
                bound.compute_limit(now_s, late=False)
                for bound in account.usage_bounds
            )
            left = max(limit, account.committed)
            account.drawn = min(account.drawn, left)
            if account.min_drawn is not None:
                account.min_drawn = min(account.min_drawn, left)
            self._reduced[workspace] = account.drawn

    def begin_commit(
        self, changes: Mapping[str, int], now_s: float
    ) -> tuple[dict[str, dict[str, int]], dict[str, UsageBound]]:
        """Start a commit; return the holders and usage bounds to write.

        :param changes: tokens to draw, or to return if negative, by workspace
        """
        written = {}
        for workspace, change in changes.items():
            account = self.open_account(workspace)
            pool = self.open_pool(workspace)
            account.open_commits += 1
            holders = dict(pool.holders)
            holders[self.holder] = account.drawn + change
            min_drawn = (
                account.drawn
                if account.min_drawn is None
                else account.min_drawn
            )
            account.min_drawn = min(min_drawn, holders[self.holder])
            written[workspace] = holders
        usage_bounds = {}
        for workspace, account in self.accounts.items():
            bound = account.plan_usage_bound(changes.get(workspace, 0), now_s)
            account.usage_bounds.append(bound)
            usage_bounds[workspace] = bound
        return written, usage_bounds

    def finish_commit(
        self,
        revision: int,
        written: Mapping[str, Mapping[str, int]],
        usage_bounds: Mapping[str, UsageBound],
    ) -> None:
        """Record a commit that took effect and replaces all earlier ones."""
        for workspace, holders in written.items():
            self.update_pool(workspace, revision, holders)
        for workspace, bound in usage_bounds.items():
            self.accounts[workspace].usage_bounds = [bound]
            self.accounts[workspace].outage_noticed = False

    def record_peer_notice(self) -> None:
        """Record that peers have noticed that this gateway's record is old.

        Usage bounds may then grow at their late rate.
        """
        for account in self.accounts.values():
            account.outage_noticed = True

    def cancel_commit(
        self,
        changes: Mapping[str, int],
        usage_bounds: Mapping[str, UsageBound],
    ) -> None:
        """Record a commit that had no effect and never will.

        Another commit may still take effect. Then a lowered `min_drawn` stays
        until a newer revision of the pool is read.
        """
        for workspace in changes:
            account = self.open_account(workspace)
            account.open_commits = max(account.open_commits - 1, 0)
            if not account.open_commits:
                account.min_drawn = None
        for workspace, bound in usage_bounds.items():
            account = self.accounts[workspace]
            account.usage_bounds = [
                p for p in account.usage_bounds if p is not bound
            ]


def reduce_holder(
    holders: Mapping[str, int], holder: str, bound: int
) -> dict[str, int]:
    """Return a pool's holders with one reduced to what it may have used.

    :param bound: tokens that the holder may use at most
    """
    return {
        name: min(drawn, bound) if name == holder else drawn
        for name, drawn in holders.items()
    }


def release_holder(
    holders: Mapping[str, int], holder: str, bound: int
) -> dict[str, int]:
    """Return a pool's holders without a dead one.

    The tokens that it may have used stay counted under `CLOSED`; the rest
    becomes free. The counted number is negative if the holder received more
    tokens than it used, because its donors count these tokens as used.

    :param bound: tokens that the holder may have used at most
    """
    remaining = {
        name: drawn for name, drawn in holders.items() if name != holder
    }
    used = min(holders.get(holder, 0), bound)
    remaining[CLOSED] = remaining.get(CLOSED, 0) + used
    return remaining


__all__ = (
    "CLOSED",
    "EARLY_RATE_FACTOR",
    "GROWTH_DELAY_S",
    "MIN_HELD_SHARE",
    "OUTAGE_AGE_S",
    "Escrow",
    "Pool",
    "UsageBound",
    "WorkspaceAccount",
    "reduce_holder",
    "release_holder",
)
