"""Shares of what cold endpoints take from all gateways together.

Handles the pattern of many endpoints that turn cold at once while gateways
start, stop, are cut off or hear of it at different times. The sum of what all
gateways send to one stays below its rate and a few requests in any second.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import cold_starts
from cyclamenwing.routing import exclusions
from cyclamenwing.routing import limit_shares

# Endpoints count the requests of any span of this length.
WINDOW_S = 1.0
# Rates and bursts of all senders stay below the rate plus the bound's slack
# in any window: 0.95 x 5.6 and 3 x 1.5 are 9.8, and each sender has at most 3.
USED_SHARE = 0.95
SENDERS = 3
BURST_REQUESTS = 1.5
# The part that is not used holds the bursts of more senders.
SENDERS_PER_RPS = (1 - USED_SHARE) / BURST_REQUESTS
# The window and the time in which views of the members agree.
HOLD_OFF_S = WINDOW_S + 1.0
DEFAULT_OVER = 1.5
DEFAULT_SLACK = 5.0
# While the limit grows, more gateways use the endpoint.
RAMP_SENDERS_PER_RPS = 0.5
# Gateways that see only a minority of the members they know may be cut off.
# They keep to their place among all and to this part of their share, as
# those on the other side have replaced them.
MINORITY_RATE_SHARE = 0.25
# A process that did not refresh its members for longer was not running.
MAX_REFRESH_GAP_S = 2.0
# Clients return at the latest this long after the end of the cold time, when
# the limit has doubled twice.
RETURN_MARGIN_S = 1.0


class ColdLimits:
    """Decide which requests this gateway may send to cold endpoints.

    Times are seconds of the gateway's clock.

    :param host: this gateway
    :param origin: its process
    :param over: multiple of a cold endpoint's rate that it may get in a second
    :param slack: requests beyond that in the same second
    """

    def __init__(
        self,
        host: str = "",
        origin: str = "",
        over: float = DEFAULT_OVER,
        slack: float = DEFAULT_SLACK,
    ) -> None:
        self._view = limit_shares.MemberView(host)
        # All members that it has known, also those that are silent.
        self._known_view = limit_shares.MemberView(host)
        self._in_minority = False
        self._refreshed_s: float | None = None
        self._sends_from_s = 0.0
        self.starts = cold_starts.ColdStarts(origin)
        self.policy = make_policy(over, slack)
        self._ramp_policy = self.policy._replace(
            senders_per_rps=RAMP_SENDERS_PER_RPS, hold_off_s=0.0
        )
        self.allowances: dict[
            exclusions.Incarnation, limit_shares.Allowance
        ] = {}

    def set_members(
        self,
        hosts: Iterable[str],
        known: Iterable[str],
        now_s: float | None,
    ) -> None:
        """Replace the gateways that share the limits.

        A process that has just started or was paused sends nothing to cold
        endpoints for a while: its view of the members may be wrong, and its
        last requests may still count.

        :param known: the same and those that have been silent for long
        """
        self._view.replace(hosts)
        self._known_view.replace((*self._view.members, *known))
        total = len(self._known_view.members)
        self._in_minority = len(self._view.members) * 2 <= total
        if now_s is None:
            return
        if (
            self._refreshed_s is None
            or now_s - self._refreshed_s > MAX_REFRESH_GAP_S
        ):
            self._sends_from_s = now_s + HOLD_OFF_S
        self._refreshed_s = now_s

    def measure_wait(
        self,
        incarnation: exclusions.Incarnation,
        sent: collections.deque[float] | None,
        now_s: float,
    ) -> float:
        """Return the seconds until this gateway may send a request.

        :param sent: times of its earlier requests to the endpoint
        """
        cold = self.starts.read(incarnation, now_s)
        if cold is None:
            self.allowances.pop(incarnation, None)
            return 0.0
        allowance = self.allowances.get(incarnation)
        if allowance is None:
            allowance = self.allowances[incarnation] = limit_shares.Allowance(
                limit_rps=None, refilled_s=now_s
            )
        allowance.limit_rps = cold.limit_rps
        policy = self._ramp_policy if cold.ramps else self.policy
        view = self._known_view if self._in_minority else self._view
        members = len(view.members)
        senders = policy.count_senders(cold.limit_rps, members)
        sends = view.rank(incarnation.name) < senders
        allowance.choose_role(sends, policy.hold_off_s, now_s)
        if not sends:
            return cold.left_s
        share, policy = self._compute_share(cold)
        wait_s = allowance.measure_wait(share, policy, sent, now_s)
        return max(wait_s, self._sends_from_s - now_s)

    def release(
        self,
        incarnation: exclusions.Incarnation,
        sent: collections.deque[float] | None,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Count a request no longer that another process got instead."""
        allowance = self.allowances.get(incarnation)
        if allowance is None or not sent:
            return
        index = bisect.bisect_right(sent, sent_s) - 1
        if index >= 0 and sent[index] > now_s - WINDOW_S:
            allowance.tokens += 1.0
            del sent[index]

    def carry_over(
        self, before: exclusions.Incarnation, after: exclusions.Incarnation
    ) -> None:
        """Take over what the next process at an address may get."""
        allowance = self.allowances.get(before)
        if allowance is not None and after not in self.allowances:
            self.allowances[after] = dataclasses.replace(allowance)

    def plan_return(self, cold: cold_marks.ColdLimit, room_s: float) -> float:
        """Return the latest time in seconds to name to refused clients."""
        ramp_s = cold_marks.RAMP_STEPS * cold_marks.RAMP_STEP_S
        cold_s = max(cold.left_s - ramp_s, 0.0)
        return max(cold_s + RETURN_MARGIN_S, room_s)

    def measure_rates(
        self,
        sent: Mapping[exclusions.Incarnation, collections.deque[float]],
        now_s: float,
    ) -> tuple[float, float]:
        """Return what this gateway may send to cold endpoints, and sends.

        Both are requests per second over all cold endpoints.
        """
        allowed_rps = used_rps = 0.0
        for incarnation in self.allowances:
            if self.starts.read(incarnation, now_s) is not None:
                allowed_rps += self.measure_rate(incarnation, now_s)
                times = sent.get(incarnation, ())
                used_rps += sum(at_s > now_s - WINDOW_S for at_s in times)
        return allowed_rps, used_rps

    def measure_rate(
        self, incarnation: exclusions.Incarnation, now_s: float
    ) -> float:
        """Return what this gateway may send to a cold endpoint a second."""
        allowance = self.allowances.get(incarnation)
        cold = self.starts.read(incarnation, now_s)
        if allowance is None or not allowance.sends or cold is None:
            return 0.0
        return self._compute_share(cold)[0].rate_rps

    def _compute_share(
        self, cold: cold_marks.ColdLimit
    ) -> tuple[limit_shares.Share, limit_shares.Policy]:
        policy = self._ramp_policy if cold.ramps else self.policy
        view = self._known_view if self._in_minority else self._view
        if self._in_minority:
            policy = policy.reduce(MINORITY_RATE_SHARE)
        members = len(view.members)
        return policy.compute_share(cold.limit_rps, members), policy

    def trim(self, now_s: float) -> None:
        """Forget what could be sent to endpoints that are warm."""
        for incarnation in list(self.allowances):
            if self.starts.read(incarnation, now_s) is None:
                del self.allowances[incarnation]


def make_policy(over: float, slack: float) -> limit_shares.Policy:
    """Return the shares of a cold endpoint's rate.

    In a window all senders together stay below the rate times `over`, at most
    once the rate, and `slack`.
    """
    return limit_shares.Policy(
        WINDOW_S,
        USED_SHARE * min(over, 1.0),
        min(max(int(slack / BURST_REQUESTS), 1), SENDERS),
        SENDERS_PER_RPS * min(over, 1.0),
        min(max(slack, 1.0), BURST_REQUESTS),
        HOLD_OFF_S,
    )


__all__ = ("ColdLimits", "make_policy")
