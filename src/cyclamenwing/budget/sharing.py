"""How the gateways that hold a workspace's tokens share them by demand.

Nearly all requests for a workspace's tokens reach the same one of its holders.
What the others hold is out of reach in an outage of the store, as their usage
bounds follow the little demand that they see. So a holder asks for a share of
the others' holdings that suits the demand, while the store is reachable.
"""

from __future__ import annotations

# A holder asks for tokens only if what it holds is used up within this time at
# the recent rate of use: until then losing it would cost more than it helps.
SHARE_COVERAGE_S = 14.0
# Smaller amounts do not justify a call: they are less than a usual request.
MIN_SHARE_TOKENS = 2000
# Nor do smaller fractions of what the holder should have.
MIN_SHARE_FRACTION = 0.1
# A holder that can't give all of a share yet covers the rest by its next usage
# bound, which is renewed within 0.7 s, or 1.4 s without demand, and gives it
# then. The time covers the call to the store too.
PROMISE_S = 1.6


def plan_share(
    held: int, peer_held: int, rate: float, peer_rate: float
) -> int:
    """Return the tokens that a holder should get from another one.

    :param held: tokens that the holder has
    :param peer_held: tokens that the other one has
    :param rate: recent rate of use of the holder, in tokens per second
    :param peer_rate: the same of the other one
    """
    if rate <= 0 or peer_held <= 0:
        return 0
    fair = (held + peer_held) * rate / (rate + peer_rate)
    target = min(fair, rate * SHARE_COVERAGE_S)
    missing = int(min(target - held, peer_held))
    if missing < max(MIN_SHARE_TOKENS, target * MIN_SHARE_FRACTION):
        return 0
    return missing


__all__ = (
    "MIN_SHARE_TOKENS",
    "PROMISE_S",
    "SHARE_COVERAGE_S",
    "plan_share",
)
