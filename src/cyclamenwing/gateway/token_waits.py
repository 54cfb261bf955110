"""How long requests wait for tokens, and when refused ones should return."""

from __future__ import annotations

from cyclamenwing.budget import escrow

# A request waits up to this fraction of its latency goal for tokens from the
# pool and from peers.
WAIT_GOAL_FRACTION = 0.3
MIN_WAIT_S = 0.05
# Where the holdings suffice but the usage bound does not allow them yet, a
# request waits for the bound to grow, up to this fraction of the time left
# until its answer has to begin. On the recorded days 86 to 94 in 100 answers
# began within the rest of this time.
GROWTH_WAIT_FRACTION = 0.65
# A delegate that does not expect the tokens in time is asked again after this
# fraction of the time left at the latest, as others may give up before.
PAUSE_FRACTION = 0.5
# For this long after the start of the process, requests that lack tokens wait
# and are not refused for good: the process first releases the holdings of its
# predecessor, and so do its peers if all gateways were lost at once.
STARTUP_WAIT_S = 2.0

# Retry-After of a request that lacks tokens. During an outage of the store, it
# is the time until the late phase of the usage bound instead, if that lies
# ahead.
RETRY_AFTER_S = 1.0
# Peers learn of an outage of the store within a round of gossip.
OUTAGE_GOSSIP_S = 0.4
MIN_RETRY_AFTER_S = 0.5


def plan_wait(
    goal_s: float,
    remaining_s: float,
    startup_s: float,
    growth_s: float | None,
    store_reachable: bool,
    held_elsewhere: bool = False,
) -> float:
    """Return the seconds that a request should wait for tokens.

    :param goal_s: latency goal of the request's route
    :param remaining_s: time until the answer has to begin
    :param startup_s: time until the process counts as started
    :param growth_s: time until the usage bound allows the request, None if
        that is not foreseen
    :param store_reachable: the bound may be renewed before it grows
    :param held_elsewhere: this gateway and others together hold enough, but
        their usage bounds may not allow it yet
    """
    longest_s = remaining_s * GROWTH_WAIT_FRACTION
    wait_s = max(goal_s * WAIT_GOAL_FRACTION, startup_s)
    if growth_s is not None and (store_reachable or growth_s <= longest_s):
        wait_s += growth_s
    elif growth_s is None and held_elsewhere:
        wait_s = longest_s
    return max(min(wait_s, longest_s), MIN_WAIT_S)


def compute_retry_after(record_age_s: float) -> float:
    """Return the seconds after which to retry during an outage of the store.

    All holdings become usable in the late phase of the usage bound. It begins
    when the record is older than `escrow.OUTAGE_AGE_S` and a peer has noticed
    that.

    :param record_age_s: age of this gateway's record in the store
    """
    remaining_s = escrow.OUTAGE_AGE_S + OUTAGE_GOSSIP_S - record_age_s
    return (
        RETRY_AFTER_S
        if remaining_s <= 0
        else max(remaining_s, MIN_RETRY_AFTER_S)
    )


__all__ = (
    "GROWTH_WAIT_FRACTION",
    "MIN_RETRY_AFTER_S",
    "MIN_WAIT_S",
    "OUTAGE_GOSSIP_S",
    "PAUSE_FRACTION",
    "RETRY_AFTER_S",
    "STARTUP_WAIT_S",
    "WAIT_GOAL_FRACTION",
    "compute_retry_after",
    "plan_wait",
)
