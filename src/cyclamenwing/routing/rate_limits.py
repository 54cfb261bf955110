"""Limits on the requests that an endpoint takes from all gateways together.

Handles the pattern of an overloaded endpoint that names a rate in its answers.
Each gateway hears of it at another time, and what all of them send must keep
to it, with few gateways and with hundreds. Only some gateways, the senders,
use a limited endpoint. All gateways derive them from the members they know by
rendezvous hashing, so that a change of the members changes few of them. The
senders share a part of the limit evenly; the rest covers bursts and views of
the members that differ for a while.

The limit of a cold endpoint is one more limit, with a shorter window. Where
an endpoint has both, the lower one applies.
"""

from __future__ import annotations

import collections
import random
from collections.abc import Container
from collections.abc import Iterable

from cyclamenwing.routing import cold_limits
from cyclamenwing.routing import exclusions
from cyclamenwing.routing import limit_shares
from cyclamenwing.routing import named_limits

# Endpoints count the requests of any span of this length.
WINDOW_S = 4.0
# Part of a limit that the senders use together.
USED_SHARE = 0.8
# Each sender may save up requests for bursts, so their number is bounded by
# the burst that an endpoint accepts at its limit.
MIN_SENDERS = 2
SENDERS_PER_RPS = 0.5
BURST_REQUESTS = 2.0
# A gateway that becomes a sender waits until the requests of the one before it
# have left the window, and until the views of the members agree.
HOLD_OFF_S = WINDOW_S + 2.0
# A limit that is named again is announced to other gateways this often.
ANNOUNCE_INTERVAL_S = 2.0
# The end of a limit is announced for this long.
ENDED_TTL_S = 30.0
MAX_KEPT = 1024
MAX_ORIGINS_KEPT = 64
# Clients are told to return within this time.
MAX_RETURN_S = 10.0
NAMED_POLICY = limit_shares.Policy(
    WINDOW_S,
    USED_SHARE,
    MIN_SENDERS,
    SENDERS_PER_RPS,
    BURST_REQUESTS,
    HOLD_OFF_S,
)
MIN_LIMIT_RPS = named_limits.MIN_LIMIT_RPS
MAX_LIMIT_RPS = named_limits.MAX_LIMIT_RPS
CONFIRM_S = named_limits.CONFIRM_S
Share = limit_shares.Share
LimitNotice = named_limits.LimitNotice
EndpointLimit = named_limits.EndpointLimit


class RateLimits:
    """Decide which requests this gateway may send to limited endpoints.

    Times are seconds of the gateway's clock.

    :param host: this gateway
    :param origin: its process
    :param cold: limits of cold endpoints
    """

    def __init__(
        self,
        host: str = "",
        origin: str = "",
        cold: cold_limits.ColdLimits | None = None,
    ) -> None:
        self._origin = origin
        self._view = limit_shares.MemberView(host)
        self._number = 0
        self._returns_s: dict[str, float] = {}
        self._sent: dict[exclusions.Incarnation, collections.deque[float]] = {}
        self.limits: dict[exclusions.Incarnation, EndpointLimit] = {}
        self.cold = cold or cold_limits.ColdLimits(host, origin)

    def set_members(
        self,
        hosts: Iterable[str],
        known: Iterable[str] = (),
        now_s: float | None = None,
    ) -> None:
        """Replace the gateways that share the limits.

        :param known: the same and those that have been silent for long
        """
        self._view.replace(hosts)
        self.cold.set_members(self._view.members, known, now_s)

    def record_answer(
        self,
        incarnation: exclusions.Incarnation,
        limit_rps: float | None,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Record what an answer says; return whether the limit changed.

        An answer without a limit ends it only if its request was sent after
        the limit was named.
        """
        known = self.limits.get(incarnation)
        known_rps = known.limit_rps if known else None
        if limit_rps == known_rps:
            stale = (
                known is not None
                and now_s - known.heard_s >= ANNOUNCE_INTERVAL_S
            )
            if limit_rps is None or not stale:
                return False
        elif limit_rps is None and known and sent_s <= known.heard_s:
            return False
        self._number += 1
        self._store(
            LimitNotice(
                incarnation, limit_rps, self._origin, self._number, 0.0
            ),
            now_s,
        )
        return limit_rps != known_rps

    def merge_notice(
        self,
        notice: LimitNotice,
        now_s: float,
        source: str = "",
        from_delegate: bool = False,
    ) -> bool:
        """Record what another gateway was told; return whether it is new.

        A notice that is passed back changes nothing, so that delays on the
        way don't make it younger again and again.
        """
        known = self.limits.get(notice.incarnation)
        if notice.origin == self._origin or not notice.is_valid:
            return False
        if known is not None:
            if notice.number <= known.seen.get(notice.origin, 0):
                return False
            if now_s - notice.age_s < known.heard_s:
                known.seen[notice.origin] = notice.number
                return False
        changed = (known.limit_rps if known else None) != notice.limit_rps
        self._store(notice, now_s, source, from_delegate)
        return changed

    def _store(
        self,
        notice: LimitNotice,
        now_s: float,
        source: str = "",
        from_delegate: bool = False,
    ) -> None:
        limit = self.limits.pop(notice.incarnation, None)
        if limit is None:
            limit = EndpointLimit(
                limit_rps=None, heard_s=0.0, origin="", number=0
            )
        if limit.limit_rps is None:
            limit.tokens = 0.0
            limit.refilled_s = now_s
            limit.sends = None
        limit.limit_rps = notice.limit_rps
        limit.heard_s = now_s - max(notice.age_s, 0.0)
        limit.origin = notice.origin
        limit.number = notice.number
        limit.source = source
        limit.from_delegate = from_delegate
        limit.seen.pop(notice.origin, None)
        limit.seen[notice.origin] = notice.number
        if len(limit.seen) > MAX_ORIGINS_KEPT:
            del limit.seen[next(iter(limit.seen))]
        # The last ones are the latest.
        self.limits[notice.incarnation] = limit

    def list_notices(
        self, now_s: float
    ) -> list[tuple[LimitNotice, EndpointLimit]]:
        """Return a notice for each endpoint, the oldest ones first."""
        return [
            (
                LimitNotice(
                    incarnation,
                    limit.limit_rps,
                    limit.origin,
                    limit.number,
                    max(now_s - limit.heard_s, 0.0),
                ),
                limit,
            )
            for incarnation, limit in self.limits.items()
        ]

    @property
    def any_limited(self) -> bool:
        """Return whether any endpoint may have a limit."""
        return bool(self.limits or self.cold.starts.marks)

    def is_limited(self, incarnation: exclusions.Incarnation) -> bool:
        """Return whether an endpoint has named a limit that still holds."""
        limit = self.limits.get(incarnation)
        return limit is not None and limit.limit_rps is not None

    def count_limits(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> int:
        """Return the number of limits of an endpoint: named, cold or both."""
        cold = self.cold.starts.read(incarnation, now_s) is not None
        return self.is_limited(incarnation) + cold

    def try_acquire(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> bool:
        """Count a request to an endpoint; return False if it has no room."""
        wait_s = self.measure_wait(incarnation, now_s)
        if wait_s > 0:
            return False
        for allowance in self._list_allowances(incarnation):
            allowance.tokens = max(allowance.tokens - 1.0, 0.0)
            allowance.probed_s = now_s
        sent = self._sent.setdefault(incarnation, collections.deque())
        sent.append(now_s)
        self._count_sent(incarnation, now_s)
        return True

    def release(
        self, incarnation: exclusions.Incarnation, sent_s: float, now_s: float
    ) -> None:
        """Count a request no longer that another process got instead.

        Only the limit of a cold endpoint leaves out such requests.
        """
        self.cold.release(
            incarnation, self._sent.get(incarnation), sent_s, now_s
        )

    def carry_over(
        self,
        before: exclusions.Incarnation,
        after: exclusions.Incarnation,
        now_s: float,
    ) -> None:
        """Count what was sent to the former process at an address.

        The next process may have got it: its entry arrives late.
        """
        sent = self._sent.get(before)
        if sent:
            later = self._sent.get(after, ())
            self._sent[after] = collections.deque(sorted((*sent, *later)))
            self._count_sent(after, now_s)
        self.cold.carry_over(before, after)

    def measure_wait(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> float:
        """Return the seconds until this gateway may send a request."""
        wait_s = 0.0
        limit = self.limits.get(incarnation)
        if limit is not None and limit.limit_rps is not None:
            wait_s = self._measure_named(incarnation, limit, now_s)
        if self.cold.starts.marks:
            sent = self._sent.get(incarnation)
            cold_s = self.cold.measure_wait(incarnation, sent, now_s)
            wait_s = max(wait_s, cold_s)
        return wait_s

    def _measure_named(
        self,
        incarnation: exclusions.Incarnation,
        limit: EndpointLimit,
        now_s: float,
    ) -> float:
        assert limit.limit_rps is not None
        rank = self._view.rank(incarnation.name)
        members = len(self._view.members)
        senders = count_senders(limit.limit_rps, members)
        limit.choose_role(rank < senders, HOLD_OFF_S, now_s)
        if not limit.sends:
            return limit.measure_probe(
                rank - senders,
                members,
                1 / (USED_SHARE * limit.limit_rps),
                now_s,
            )
        self._count_sent(incarnation, now_s)
        return limit.measure_wait(
            compute_share(limit.limit_rps, members),
            NAMED_POLICY,
            self._sent.get(incarnation),
            now_s,
        )

    def _list_allowances(
        self, incarnation: exclusions.Incarnation
    ) -> list[limit_shares.Allowance]:
        allowances: list[limit_shares.Allowance] = []
        limit = self.limits.get(incarnation)
        if limit is not None and limit.limit_rps is not None:
            allowances.append(limit)
        cold = self.cold.allowances.get(incarnation)
        if cold is not None:
            allowances.append(cold)
        return allowances

    def measure_room(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> float:
        """Return the seconds until some gateway is likely to have room."""
        wait_s = self.measure_wait(incarnation, now_s)
        allowances = self._list_allowances(incarnation)
        if not allowances or all(a.sends for a in allowances):
            return wait_s
        gaps_s = (
            1 / (USED_SHARE * a.limit_rps) for a in allowances if a.limit_rps
        )
        return min(wait_s, max(gaps_s))

    def measure_cold_rates(self, now_s: float) -> tuple[float, float]:
        """Return what this gateway may send to cold endpoints, and sends.

        Both are requests per second over all cold endpoints.
        """
        return self.cold.measure_rates(self._sent, now_s)

    def plan_return(
        self,
        service: str,
        incarnations: Iterable[exclusions.Incarnation],
        room_s: float,
        now_s: float,
    ) -> float:
        """Return the seconds after which the next refused client returns.

        Clients return one after the other, at the rate that the endpoints
        take from this gateway's part of the clients.

        :param room_s: seconds until there is room
        """
        sum_rps = 0.0
        most_s = MAX_RETURN_S
        for incarnation in incarnations:
            named = self.limits.get(incarnation)
            named_rps = named.limit_rps if named else None
            cold = self.cold.starts.read(incarnation, now_s)
            if cold is not None:
                sum_rps += min(cold.limit_rps, named_rps or cold.limit_rps)
                if named_rps is None:
                    most_s = min(most_s, self.cold.plan_return(cold, room_s))
            else:
                sum_rps += named_rps or 0.0
        if not sum_rps:
            return room_s
        due_s = max(now_s + room_s, self._returns_s.get(service, 0.0))
        gap_s = len(self._view.members) / (USED_SHARE * sum_rps)
        if due_s + gap_s - now_s > most_s:
            return random.uniform(min(room_s, most_s / 2), most_s)
        self._returns_s[service] = due_s + gap_s
        return due_s - now_s

    def count_limited(self) -> int:
        """Return the number of endpoints with a limit."""
        return sum(
            limit.limit_rps is not None for limit in self.limits.values()
        )

    def trim(self, registered: Container[str], now_s: float) -> None:
        """Forget ended limits and the oldest ones of unregistered names."""
        for incarnation, limit in list(self.limits.items()):
            ended = limit.limit_rps is None
            if ended and now_s - limit.heard_s > ENDED_TTL_S:
                del self.limits[incarnation]
        self.cold.trim(now_s)
        for incarnation in list(self._sent):
            if not self._count_sent(incarnation, now_s):
                del self._sent[incarnation]
        exclusions.trim_records(self.limits, registered, MAX_KEPT)

    def _count_sent(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> int:
        sent = self._sent.get(incarnation)
        if sent is None:
            return 0
        while sent and sent[0] <= now_s - WINDOW_S:
            sent.popleft()
        return len(sent)


def count_senders(limit_rps: float, members: int) -> int:
    """Return how many gateways may use an endpoint that named a limit."""
    return NAMED_POLICY.count_senders(limit_rps, members)


def compute_share(limit_rps: float, members: int) -> limit_shares.Share:
    """Return what each sender may send under a limit that was named."""
    return NAMED_POLICY.compute_share(limit_rps, members)


__all__ = (
    "EndpointLimit",
    "MAX_KEPT",
    "MAX_LIMIT_RPS",
    "MIN_LIMIT_RPS",
    "LimitNotice",
    "RateLimits",
    "Share",
    "compute_share",
    "count_senders",
)
