"""Exchange of orders to evacuate zones with peers, by gossip.

Each message carries all orders. They are few, and a process that has lost its
state or a reply must not serve without them.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import cold_notices
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import evacuations

# Bound on the orders in one message. Deployments have fewer than ten zones.
MAX_ORDER_NOTICES = 100

EVACUATED = metric_types.Gauge(
    "gateway_zones_evacuated",
    "Availability zones that get no requests by an operator's order",
)


class OrderReporter:
    """Log the orders that changed and count those in force."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        board.metrics.register_gauge(
            EVACUATED, board.directory.evacuations.count_zones
        )

    def report(self, orders: Iterable[evacuations.Order], source: str) -> None:
        """Log orders that began or ended.

        :param source: "store" or the host of a peer
        """
        known = self._board.directory.evacuations
        now_s = clock.read_time()
        for order in orders:
            eliot.log_message(
                "zone:evacuated" if order.in_force else "zone:restored",
                zone=order.zone,
                era=order.era,
                revision=order.revision,
                source=source,
                age_s=round(known.measure_age(order.zone, now_s), 3),
            )
        self._mark_restored(now_s)

    def _mark_restored(self, now_s: float) -> None:
        """Take the endpoints of restored zones as cold.

        They may have become cold during the evacuation.
        """
        directory = self._board.directory
        restored = directory.evacuations.take_ended()
        if not restored:
            return
        incarnations = [
            endpoint.incarnation
            for endpoint in directory.registered.values()
            if endpoint.zone in restored
        ]
        for incarnation in directory.mark_cold(
            incarnations, None, cold_marks.EVACUATION, now_s
        ):
            cold_notices.log_cold(self._board, incarnation, now_s)


class OrderNoticeExchange:
    """Build the notices of orders and merge those of peers."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._reporter = OrderReporter(board)

    def build(self, now_s: float) -> list[evacuations.OrderNotice]:
        """Return the orders to tell a peer of, those in force first."""
        notices = self._board.directory.evacuations.list_notices(now_s)
        return notices[:MAX_ORDER_NOTICES]

    def merge(
        self,
        notices: Sequence[evacuations.OrderNotice],
        host: str,
        now_s: float,
    ) -> None:
        """Apply the orders that a peer knows of."""
        self._reporter.report(
            self._board.directory.evacuations.merge(notices, now_s), host
        )


__all__ = (
    "EVACUATED",
    "OrderNoticeExchange",
    "OrderReporter",
)
