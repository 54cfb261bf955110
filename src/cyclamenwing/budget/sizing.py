"""Policy for how much a session holds and how long a request waits."""

from __future__ import annotations

from typing import NamedTuple

DEFAULT_WEIGHT = 0.5
# Outages that grants cover, with a weight of 0 and of 1.
MIN_OUTAGE_S = 300.0
MAX_OUTAGE_S = 3_600.0
# Shares of a request's timeout that it may wait, with a weight of 0 and of 1.
MIN_WAIT_SHARE = 0.05
MAX_WAIT_SHARE = 0.5
# A grant covers at least this many requests of the smallest waiting size, also
# while there is no measured demand.
INITIAL_REQUESTS = 8
# Holdings below this share of the target are refilled.
REFILL_SHARE = 0.75
# Holdings above this multiple of the target are returned.
RETURN_FACTOR = 2.0


class Sizing(NamedTuple):
    """Size grants and waits; whether units may be spent is decided elsewhere.

    :param outage_s: length of an outage that a grant covers at the present
        demand
    :param wait_share: share of a request's timeout that it may wait for
        units that other sessions return or transfer
    """

    outage_s: float
    wait_share: float

    @classmethod
    def from_weight(cls, weight: float) -> Sizing:
        """Create a sizing from a weight of 0 to 1.

        With 0 entries hold few units and refuse requests early; with 1 they
        cover long outages and let requests wait long.
        """
        return cls(
            MIN_OUTAGE_S + weight * (MAX_OUTAGE_S - MIN_OUTAGE_S),
            MIN_WAIT_SHARE + weight * (MAX_WAIT_SHARE - MIN_WAIT_SHARE),
        )

    def compute_target(self, rate: float, amount: int) -> int:
        """Return the units to hold.

        :param rate: demand in units per second
        :param amount: units of the smallest waiting request
        """
        return max(INITIAL_REQUESTS * amount, int(rate * self.outage_s))

    def compute_surplus(self, available: int, rate: float) -> int:
        """Return the units above the target that should be returned.

        Return 0 up to `RETURN_FACTOR` times the target.
        """
        target = int(rate * self.outage_s)
        if available <= RETURN_FACTOR * target:
            return 0
        return available - target

    def needs_refill(self, available: int, rate: float) -> bool:
        """Return whether too few units are available for the demand."""
        return available < REFILL_SHARE * int(rate * self.outage_s)


__all__ = (
    "DEFAULT_WEIGHT",
    "Sizing",
)
