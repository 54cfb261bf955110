"""Usage bounds: how many of its tokens a gateway may use, by record age."""

from __future__ import annotations

from typing import NamedTuple

# A new usage bound exceeds the present use by the tokens used in this time at
# the recent rate, and by at least this share of the holdings.
HEADROOM_S = 0.7
HEADROOM_SHARE = 0.02
# A usage bound does not grow during this time. It covers the age of a killed
# process's record when its successor starts: one renewal interval and a
# restart.
GROWTH_DELAY_S = 1.2
# Then the bound grows at this multiple of the recent rate, and at least by
# this share of the holdings per second. The growth is slow because tokens up
# to the bound are lost when a host loses power while the store is reachable.
EARLY_RATE_FACTOR = 1.0
EARLY_RATE_SHARE = 0.02
# While the store is reachable, records are renewed at least twice in this
# time, so an older record indicates a store outage. From this age on the bound
# may grow fast enough to use all holdings within `SPEND_ALL_S`, up to a burst.
# Beyond that it grows at this multiple of the recent rate, and at least fast
# enough to use all holdings within `SPEND_ALL_STEADILY_S`. What it allows
# beyond the actual use is lost if all gateways are killed in the outage, as
# none is left that knows that use.
OUTAGE_AGE_S = 3.0
SPEND_ALL_S = 4.0
STEADY_RATE_FACTOR = 1.1
SPEND_ALL_STEADILY_S = 20.0
# The burst leaves holdings for this time at the recent rate, within these
# shares of the holdings.
BURST_RESERVE_S = 24.0
MIN_BURST_SHARE = 0.15
MAX_BURST_SHARE = 0.35
# Beyond this age the bound allows all holdings.
MAX_AGE_S = OUTAGE_AGE_S + SPEND_ALL_STEADILY_S


class UsageBound(NamedTuple):
    """Limit the tokens that an account may use, depending on its age.

    :param ceiling: the limit in tokens until `GROWTH_DELAY_S`
    :param early: growth from `GROWTH_DELAY_S` to `OUTAGE_AGE_S`, in tokens
        per second
    :param late: growth after `OUTAGE_AGE_S`, in tokens per second; counts
        only once a peer has noticed that the record is old
    :param since_s: time when the bound was computed, in seconds
    :param burst: tokens up to which growth is `late`; None in records of
        versions without a limit
    :param steady: growth beyond `burst`, in tokens per second
    """

    ceiling: int
    early: float
    late: float
    since_s: float
    burst: int | None = None
    steady: float = 0.0

    def compute_limit(self, now_s: float, late: bool) -> int:
        """Return the most tokens that may be in use at `now_s`.

        :param late: whether growth after `OUTAGE_AGE_S` counts
        """
        age_s = max(now_s - self.since_s, 0.0)
        growth = self.early * max(
            min(age_s, OUTAGE_AGE_S) - GROWTH_DELAY_S, 0.0
        )
        if late:
            growth += self._compute_late_growth(age_s - OUTAGE_AGE_S)
        return self.ceiling + int(growth)

    def _compute_late_growth(self, late_s: float) -> float:
        if late_s <= 0:
            return 0.0
        growth = self.late * late_s
        if self.burst is None:
            return growth
        # Versions without a burst count `late` alone, which is never less.
        return min(growth, self.burst + self.steady * late_s)


def plan_bound(
    used: int, held: int, rate: float, wanted: int, now_s: float
) -> UsageBound:
    """Return the usage bound to commit.

    :param used: tokens that are used, or that running requests may use
    :param held: tokens held once the commit has taken effect
    :param rate: recent rate of use in tokens per second
    :param wanted: tokens that requests wait to use
    """
    headroom = max(rate * HEADROOM_S, held * HEADROOM_SHARE) + wanted
    early = max(rate * EARLY_RATE_FACTOR, held * EARLY_RATE_SHARE)
    late = max(early, held / SPEND_ALL_S)
    burst = max(held - rate * BURST_RESERVE_S, held * MIN_BURST_SHARE)
    return UsageBound(
        used + int(headroom),
        early,
        late,
        now_s,
        int(min(burst, held * MAX_BURST_SHARE)),
        max(rate * STEADY_RATE_FACTOR, held / SPEND_ALL_STEADILY_S),
    )


__all__ = (
    "EARLY_RATE_FACTOR",
    "GROWTH_DELAY_S",
    "MAX_AGE_S",
    "OUTAGE_AGE_S",
    "SPEND_ALL_S",
    "UsageBound",
    "plan_bound",
)
