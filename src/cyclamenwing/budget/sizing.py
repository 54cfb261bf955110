"""How much a session holds, and how long a request waits for more."""

from __future__ import annotations

from typing import NamedTuple

DEFAULT_WEIGHT = 0.5
MIN_ENDURANCE_S = 300.0
MAX_ENDURANCE_S = 3_600.0
MIN_WAIT_SHARE = 0.05
MAX_WAIT_SHARE = 0.5
FIRST_REQUESTS = 8
REFILL_BELOW = 0.75
RETURN_ABOVE = 2.0


class Sizing(NamedTuple):
    """Size grants and waits; it never decides whether units are spent.

    `endurance_s` is the outage that a grant outlasts at the present
    demand, `wait_share` the part of a request's time that it may wait
    for recall or transfer.
    """

    endurance_s: float
    wait_share: float

    @classmethod
    def from_weight(cls, weight: float) -> Sizing:
        """Make a sizing from a weight of 0 to 1.

        0 keeps little in the hands of entries and refuses early, 1
        outlasts long outages and waits long.
        """
        return cls(
            MIN_ENDURANCE_S + weight * (MAX_ENDURANCE_S - MIN_ENDURANCE_S),
            MIN_WAIT_SHARE + weight * (MAX_WAIT_SHARE - MIN_WAIT_SHARE),
        )

    def find_stock(self, rate: float, amount: int) -> int:
        """Return the units to hold for a demand and a request's size."""
        return max(FIRST_REQUESTS * amount, int(rate * self.endurance_s))

    def find_surplus(self, available: int, rate: float) -> int:
        """Return the units to give back, 0 while the stock is in bounds."""
        stock = int(rate * self.endurance_s)
        if available <= RETURN_ABOVE * stock:
            return 0
        return available - stock

    def needs_refill(self, available: int, rate: float) -> bool:
        """Tell whether the stock has run low."""
        return available < REFILL_BELOW * int(rate * self.endurance_s)


__all__ = (
    "DEFAULT_WEIGHT",
    "Sizing",
)
