"""Prepaid tokens held by one entry, drawn from a pool in the store.

The pool of a workspace lists what each incarnation of an entry has drawn and
not returned; the sum never exceeds what was paid. An entry spends only what
it holds, so neither a partition nor a pause can overspend. Entries also hand
tokens to each other, which leaves the pool's sum as it is.

A commit whose answer is lost counts against its entry until the store has
shown which way it went.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping

# Holdings cover an outage of the store of this length at the recent rate.
AHEAD_S = 10.0
# A draw is due once holdings cover less than this.
LOW_S = 6.0
# Window of the spending rate; long enough to see a large batch twice.
RATE_WINDOW_S = 6.0
# An entry without spending of its own holds this part of the free pool.
IDLE_PART = 0.02
# Holdings below this part of the target are filled up again.
REFILL_PART = 0.6
# A draw leaves others their part of a pool that runs dry.
MAX_PART = 0.5


@dataclasses.dataclass(slots=True)
class Account:
    """Count what this entry holds and spends of one workspace's tokens.

    `floor` is the least that commits on their way may leave of `drawn`.
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

    @property
    def available(self) -> int:
        """Return the tokens that may be reserved now."""
        sure = self.drawn if self.floor is None else self.floor
        return sure + self.received - self.given - self.spent - self.reserved

    def reserve(self, tokens: int) -> bool:
        """Set tokens aside for a request if they are there."""
        if tokens > self.available:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation; `spent` tokens were delivered of it."""
        self.reserved -= reserved
        self.spent += spent

    def give(self, tokens: int, now_s: float) -> int:
        """Hand tokens to another entry; return how many."""
        spare = self.available
        keep = min(self.measure_rate(now_s) * LOW_S, spare / 2)
        granted = max(min(tokens, int(spare - keep)), 0)
        self.given += granted
        return granted

    def receive(self, tokens: int) -> None:
        """Take tokens that another entry handed over."""
        self.received += tokens

    def note_demand(self, tokens: int, now_s: float) -> None:
        """Count a request's tokens towards the rate."""
        self.rate = self.measure_rate(now_s) + tokens / RATE_WINDOW_S
        self.rate_at_s = now_s

    def measure_rate(self, now_s: float) -> float:
        """Return the recent demand in tokens a second."""
        idle_s = max(now_s - self.rate_at_s, 0.0)
        return self.rate * math.exp(-idle_s / RATE_WINDOW_S)

    def plan_draw(self, free: int, entries: int, now_s: float) -> int:
        """Return the tokens to draw from the pool.

        :param free: tokens of the pool that no entry holds
        :param entries: entries that draw from the pool
        """
        if free <= 0:
            return 0
        rate = self.measure_rate(now_s)
        target = max(rate * AHEAD_S + self.wanted, free * IDLE_PART)
        if self.available >= max(
            rate * LOW_S + self.wanted, target * REFILL_PART
        ):
            return 0
        fair = free * MAX_PART / max(entries, 1)
        least = self.wanted - self.available
        wish = min(target - self.available, max(fair, least))
        return max(min(int(wish), free), 0)


@dataclasses.dataclass(slots=True)
class Pool:
    """Hold one workspace's pool as last seen in the store."""

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
        self.accounts: dict[str, Account] = {}
        self.pools: dict[str, Pool] = {}

    def open_account(self, workspace: str) -> Account:
        """Return a workspace's account, empty at first."""
        return self.accounts.setdefault(workspace, Account())

    def open_pool(self, workspace: str) -> Pool:
        """Return a workspace's pool, empty before it was seen."""
        return self.pools.setdefault(workspace, Pool())

    def count_free(self, workspace: str, prepaid: int) -> int:
        """Return the tokens that no entry held when the pool was seen."""
        return prepaid - self.open_pool(workspace).drawn

    def see_pool(
        self, workspace: str, revision: int, holders: Mapping[str, int]
    ) -> None:
        """Take over the state of a pool that the store has shown.

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

    def begin(self, workspace: str, change: int) -> dict[str, int]:
        """Start a commit; return the pool's holders that it writes."""
        account = self.open_account(workspace)
        holders = dict(self.open_pool(workspace).holders)
        holders[self.holder] = account.drawn + change
        floor = account.drawn if account.floor is None else account.floor
        account.floor = min(floor, holders[self.holder])
        return holders

    def cancel(self, workspace: str) -> None:
        """Record that a commit had no effect and never will.

        An older one may still be on its way, so the floor stays until the
        pool is seen anew.
        """
        account = self.open_account(workspace)
        if account.floor == account.drawn:
            account.floor = None


__all__ = (
    "AHEAD_S",
    "LOW_S",
    "Account",
    "Escrow",
    "Pool",
)
