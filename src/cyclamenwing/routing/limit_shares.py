"""Shares of a limit that a few gateways, the senders, keep together.

Used for limits that endpoints name and for cold endpoints. The kinds differ
only in their policy: window, part that is used, number of senders and bursts.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable
from typing import NamedTuple

from cyclamenwing.membership import rendezvous

# Names whose rank is kept.
MAX_RANKS_KEPT = 1024


class Share(NamedTuple):
    """Hold what one sender may send to an endpoint.

    :param quota: most requests in a window
    """

    rate_rps: float
    quota: int


class Policy(NamedTuple):
    """Hold how gateways share one kind of limit.

    :param window_s: endpoints count the requests of any span of this length
    :param used_share: part of a limit that the senders use together
    :param burst_requests: requests that each sender may save up
    :param hold_off_s: time for which a gateway that becomes a sender waits,
        until the requests of the one before it have left the window and the
        views of the members agree
    """

    window_s: float
    used_share: float
    min_senders: int
    senders_per_rps: float
    burst_requests: float
    hold_off_s: float

    def count_senders(self, limit_rps: float, members: int) -> int:
        """Return how many gateways may use an endpoint."""
        return min(
            members, int(self.min_senders + self.senders_per_rps * limit_rps)
        )

    def compute_share(self, limit_rps: float, members: int) -> Share:
        """Return what each sender may send."""
        senders = self.count_senders(limit_rps, members)
        rate_rps = self.used_share * limit_rps / senders
        quota = int(self.window_s * rate_rps + self.burst_requests)
        return Share(rate_rps, max(quota, 1))

    def reduce(self, rate_share: float) -> Policy:
        """Return a policy for gateways that may not know the members."""
        return self._replace(
            used_share=self.used_share * rate_share, burst_requests=1.0
        )


@dataclasses.dataclass(slots=True, kw_only=True)
class Allowance:
    """Hold what this gateway may send under one limit of an endpoint.

    :param limit_rps: None once the limit has ended
    :param tokens: requests that this gateway may send now
    :param sends: this gateway is one of the senders
    :param sends_from_s: end of the hold-off
    :param probed_s: its latest request, 0 for none
    """

    limit_rps: float | None
    tokens: float = 0.0
    refilled_s: float = 0.0
    sends: bool | None = None
    sends_from_s: float = 0.0
    probed_s: float = 0.0

    def choose_role(
        self, sends: bool, hold_off_s: float, now_s: float
    ) -> None:
        """Record whether this gateway is a sender; a new one holds off."""
        if sends and self.sends is False:
            self.sends_from_s = now_s + hold_off_s
            # Without a hold-off no bound depends on who sent before.
            self.tokens = 0.0 if hold_off_s else 1.0
            self.refilled_s = now_s
        self.sends = sends

    def measure_wait(
        self,
        share: Share,
        policy: Policy,
        sent: collections.deque[float] | None,
        now_s: float,
    ) -> float:
        """Return the seconds until this gateway, a sender, may send.

        :param sent: times of its earlier requests; those from before the
            limit was known count in the window, too
        """
        elapsed_s = max(now_s - self.refilled_s, 0.0)
        self.tokens = min(
            self.tokens + elapsed_s * share.rate_rps, policy.burst_requests
        )
        self.refilled_s = now_s
        wait_s = max(self.sends_from_s - now_s, 0.0)
        if self.tokens < 1.0:
            wait_s = max(wait_s, (1.0 - self.tokens) / share.rate_rps)
        if sent is not None and len(sent) >= share.quota:
            wait_s = max(wait_s, sent[-share.quota] + policy.window_s - now_s)
        return wait_s


class Rank(NamedTuple):
    """Hold a gateway's score for an endpoint and its place by that."""

    score: int
    place: int


class MemberView:
    """Hold the members that one gateway knows, and its rank among them."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._ranks: dict[str, Rank] = {}
        self.members = frozenset((host,))

    def replace(self, hosts: Iterable[str]) -> None:
        """Replace the members; this gateway is always one."""
        members = frozenset((*hosts, self._host))
        if members == self.members:
            return
        joined = members - self.members
        left = self.members - members
        self.members = members
        for name, rank in self._ranks.items():
            change = _count_better(name, joined, rank.score)
            change -= _count_better(name, left, rank.score)
            self._ranks[name] = rank._replace(place=rank.place + change)

    def rank(self, name: str) -> int:
        """Return how many members come before this one for an endpoint."""
        rank = self._ranks.get(name)
        if rank is None:
            if len(self._ranks) >= MAX_RANKS_KEPT:
                self._ranks.clear()
            score = rendezvous.score_member(name, self._host)
            place = _count_better(name, self.members, score)
            rank = self._ranks[name] = Rank(score, place)
        return rank.place


def _count_better(name: str, hosts: Iterable[str], score: int) -> int:
    """Return how many hosts rank before a score for an endpoint."""
    return sum(rendezvous.score_member(name, host) < score for host in hosts)


__all__ = (
    "Allowance",
    "MemberView",
    "Policy",
    "Share",
)
