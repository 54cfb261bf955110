"""Orders of operators to send nothing to an availability zone.

Handles the pattern of a zone that is taken out of use under load. Each gateway
learns of the order by another way and at another time, and all must stop
sending within seconds. The prompt parts that prefer an endpoint of the zone
are then read anew elsewhere, so they move one after the other where there is
time.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

# Part of the bound over which prompt parts leave a zone if the order is known
# to be recent. The rest is left to watches, of which two in a row take up to
# 3 s.
SPREAD_SHARE = 0.3
# Ended orders are kept to override old notices of peers.
ENDED_TTL_S = 60.0
# Zones whose ended orders are kept. Operators name a few zones.
MAX_ENDED_KEPT = 256
_HASH_RANGE = 2**64


class Order(NamedTuple):
    """Describe the latest order on a zone.

    :param era: era of the store that `revision` belongs to
    :param revision: revision at which the order was written or withdrawn, or
        at which its absence was read
    :param in_force: whether the zone is evacuated
    """

    zone: str
    era: int
    revision: int
    in_force: bool

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Return a key by which the order that applies is the highest.

        A revision occurs twice only in a store that names no eras. The order
        in force then applies, as sending to the zone is the greater harm.
        """
        return self.era, self.revision, self.in_force


class OrderNotice(NamedTuple):
    """Tell another gateway of an order.

    :param age_s: time since a gateway first learned of it
    """

    order: Order
    age_s: float


@dataclasses.dataclass(slots=True)
class KnownOrder:
    """Hold an order as this gateway knows it.

    :param learned_s: time at which a gateway first learned of it
    :param spread_from_s: time from which prompt parts move, None if all of
        them have moved at once
    """

    order: Order
    learned_s: float
    spread_from_s: float | None = None


class Evacuations:
    """Keep the orders on all zones.

    :param bound_s: time after an order by which nothing is sent to its zone
    """

    def __init__(self, bound_s: float = 0.0) -> None:
        self._spread_s = bound_s * SPREAD_SHARE
        self._in_force: dict[str, KnownOrder] = {}
        self._ended: dict[str, KnownOrder] = {}
        self._restored: dict[str, float] = {}
        # All orders up to this era and revision are known from the store.
        self._known_to = (-1, -1)

    @property
    def active(self) -> bool:
        """Return whether any zone is evacuated."""
        return bool(self._in_force)

    def count_zones(self) -> int:
        """Return the number of evacuated zones."""
        return len(self._in_force)

    def is_evacuated(self, zone: str, now_s: float, part: str = "") -> bool:
        """Return whether a request must not be sent to a zone.

        :param part: prompt part by which its endpoint is preferred, empty if
            it has none
        """
        known = self._in_force.get(zone)
        if known is None:
            return False
        if not part or known.spread_from_s is None:
            return True
        delay_s = self._spread_s * _hash_part(part)
        return now_s >= known.spread_from_s + delay_s

    def load(
        self, zones: Mapping[str, int], era: int, revision: int, now_s: float
    ) -> list[Order]:
        """Apply a full read of the store; return the orders that changed.

        :param zones: revision of the order on each zone that has one
        :param revision: revision as of which all orders were read
        """
        orders = [
            Order(zone, era, written, True) for zone, written in zones.items()
        ]
        orders += [
            Order(zone, era, revision, False)
            for zone in self._in_force
            if zone not in zones
        ]
        changed = [o for o in orders if self._put(o, now_s, None)]
        self._known_to = max(self._known_to, (era, revision))
        return changed

    def apply(self, order: Order, now_s: float, live: bool) -> bool:
        """Apply a change in the store; return whether it was news.

        :param live: the change was made a short time ago
        """
        news = self._put(order, now_s, now_s if live else None)
        self._known_to = max(self._known_to, (order.era, order.revision))
        return news

    def merge(
        self, notices: Iterable[OrderNotice], now_s: float
    ) -> list[Order]:
        """Merge the notices of a peer; return the orders that changed.

        The peer may have missed the end of an order for longer than ended
        orders are kept. This gateway then announces the end again.
        """
        changed = []
        for order, age_s in notices:
            if self._is_obsolete(order):
                ended = Order(order.zone, *self._known_to, False)
                self._ended[order.zone] = KnownOrder(ended, now_s)
            elif (order.in_force or age_s < ENDED_TTL_S) and self._put(
                order, now_s - max(age_s, 0.0), None
            ):
                changed.append(order)
        return changed

    def list_notices(self, now_s: float) -> list[OrderNotice]:
        """Return all orders to tell peers of."""
        self._trim(now_s)
        return [
            OrderNotice(known.order, now_s - known.learned_s)
            for known in (*self._in_force.values(), *self._ended.values())
        ]

    def take_ended(self) -> dict[str, float]:
        """Return the zones restored since the last call.

        Each comes with the time at which a gateway first learned of the end
        of its order. A zone is included if this gateway has learned of the
        order only by its end.
        """
        restored, self._restored = self._restored, {}
        return restored

    def measure_age(self, zone: str, now_s: float) -> float:
        """Return the seconds since a gateway learned of a zone's order."""
        known = self._in_force.get(zone) or self._ended.get(zone)
        return now_s - known.learned_s if known else 0.0

    def _is_obsolete(self, order: Order) -> bool:
        """Return whether an order had ended by the last read of the store."""
        return (
            order.in_force
            and (order.era, order.revision) <= self._known_to
            and order.zone not in self._in_force
            and order.zone not in self._ended
        )

    def _put(
        self, order: Order, learned_s: float, spread_from_s: float | None
    ) -> bool:
        """Adopt an order that ranks higher; return whether that was news.

        An order that is written again does not move prompt parts again.
        """
        zone = order.zone
        current = self._in_force.get(zone)
        known = current or self._ended.get(zone)
        if known is not None and order.rank <= known.order.rank:
            return False
        if order.in_force:
            self._ended.pop(zone, None)
            self._restored.pop(zone, None)
            if current is not None:
                spread_from_s = current.spread_from_s
            self._in_force[zone] = KnownOrder(order, learned_s, spread_from_s)
            return current is None
        if known is None or current is not None:
            self._restored[zone] = learned_s
        self._ended[zone] = KnownOrder(order, learned_s)
        return self._in_force.pop(zone, None) is not None

    def _trim(self, now_s: float) -> None:
        for zone, known in list(self._ended.items()):
            if now_s - known.learned_s >= ENDED_TTL_S:
                del self._ended[zone]
        while len(self._ended) > MAX_ENDED_KEPT:
            del self._ended[next(iter(self._ended))]


def find_moving_part(parts: Sequence[tuple[str, int]]) -> str:
    """Return the part by which `Placement.choose` prefers an endpoint.

    It is empty if no endpoint is preferred.
    """
    return parts[-2][0] if len(parts) > 1 else ""


def _hash_part(part: str) -> float:
    return xxhash.xxh64_intdigest(part.encode()) / _HASH_RANGE


__all__ = (
    "ENDED_TTL_S",
    "SPREAD_SHARE",
    "Evacuations",
    "KnownOrder",
    "Order",
    "OrderNotice",
    "find_moving_part",
)
