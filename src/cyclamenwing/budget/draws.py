"""How many tokens a gateway draws from the pool of a workspace."""

from __future__ import annotations

from typing import NamedTuple

# Holdings cover a store outage of this length at the recent rate of use.
OUTAGE_COVERAGE_S = 14.0
# A gateway draws tokens once its holdings fall below this share of the target.
REFILL_SHARE = 0.8
# A gateway returns tokens once it holds more than this multiple of the target.
RETURN_FACTOR = 1.5
# Share of the unused tokens that all gateways together hold even when they
# are idle, because a store outage can begin at any time.
MIN_HELD_SHARE = 0.65
# Limit on the share of the unused tokens that all gateways together hold; the
# rest stays in the pool and survives the loss of every gateway. Tokens that
# requests wait for are held in addition.
MAX_HELD_SHARE = 0.85
# Smaller changes do not justify a call to the store, unless a request waits.
MIN_CHANGE_TOKENS = 4000
# One draw takes at most this share of the free tokens, divided by the number
# of gateways, so that the others get tokens from a pool that runs low. It
# takes more only if a waiting request needs more.
MAX_DRAW_SHARE = 0.5


class Holdings(NamedTuple):
    """Describe what a gateway holds of a workspace's tokens.

    :param held: tokens that it holds and has not used
    :param wanted: tokens that waiting requests need
    :param rate: recent rate of use in tokens per second
    :param in_doubt: commits with an unknown result may have changed the pool
    """

    held: int
    wanted: int
    rate: float
    in_doubt: bool = False


def plan_draw(
    holdings: Holdings, free: int, gateways: int, keeps: bool = True
) -> int:
    """Return the tokens to draw, or to return if negative.

    :param free: tokens of the pool that no gateway holds
    :param gateways: number of gateways that draw from the pool
    :param keeps: this gateway is one of them; others draw only what a request
        waits for
    """
    per_gateway = (free + max(holdings.held, 0) * gateways) / gateways
    target = max(
        holdings.rate * OUTAGE_COVERAGE_S, per_gateway * MIN_HELD_SHARE
    )
    target = min(target, per_gateway * MAX_HELD_SHARE) if keeps else 0.0
    target += holdings.wanted
    if holdings.held > target * RETURN_FACTOR and not holdings.in_doubt:
        surplus = holdings.held - int(target)
        return -surplus if surplus >= MIN_CHANGE_TOKENS else 0
    # Fair shares of the last tokens are too small to be drawn. The holder
    # whose demand uses up all within an outage draws the rest.
    last = free <= MIN_CHANGE_TOKENS * gateways / MAX_DRAW_SHARE
    if (
        last
        and keeps
        and holdings.rate * OUTAGE_COVERAGE_S >= holdings.held + free
    ):
        return max(free, 0)
    if free <= 0 or holdings.held >= target * REFILL_SHARE:
        return 0
    fair_share = free * MAX_DRAW_SHARE / gateways
    shortfall = holdings.wanted - holdings.held
    draw = min(target - holdings.held, max(fair_share, shortfall))
    change = max(min(int(draw), free), 0)
    if change < MIN_CHANGE_TOKENS and shortfall <= 0:
        return 0
    return change


__all__ = (
    "MAX_DRAW_SHARE",
    "MIN_CHANGE_TOKENS",
    "MIN_HELD_SHARE",
    "OUTAGE_COVERAGE_S",
    "Holdings",
    "plan_draw",
)
