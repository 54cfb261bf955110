"""Rules of the configuration that a sidecar keeps itself."""

from __future__ import annotations

import eliot

from cyclamenwing.catalog import index
from cyclamenwing.catalog import types
from cyclamenwing.request import types as request_types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import errors


class Rules:
    """Hold the rules of the sidecar's route, by the highest revision.

    :param board: the sidecar's state
    :param checks_orders: whether the endpoint checks fencing numbers, as
        the sidecar's settings say
    """

    def __init__(
        self, board: blackboard.SidecarBoard, checks_orders: bool
    ) -> None:
        self._board = board
        self._route: types.Route | None = None
        self._checks_orders = checks_orders

    def adopt(self, rules: types.SidecarRules) -> bool:
        """Take over rules; False if they are not of a higher revision."""
        if rules["revision"] <= self._board.revision:
            return False
        self._board.revision = rules["revision"]
        self._route = rules["route"]
        eliot.log_message("sidecar:adopted", revision=rules["revision"])
        return True

    def checks_orders(self) -> bool:
        """Tell whether the endpoint itself refuses old fencing numbers."""
        if self._route is None:
            return self._checks_orders
        return self._route.get("orders_checked", self._checks_orders)

    def check_order(self, order: request_types.RunOrder) -> None:
        """Refuse a run that an entry behind in revision takes too lightly.

        Raise `StaleRulesError` when the order calls a run idempotent that
        is not so by this sidecar's higher revision.
        """
        if order["revision"] >= self._board.revision:
            return
        if not order["idempotent"] or order["protocol"] != "plain":
            return
        if self._route is None or not self._is_idempotent(order):
            raise errors.StaleRulesError(
                f"{order['method']} {order['path']} is not idempotent since"
                f" revision {self._board.revision}; the entry follows"
                f" {order['revision']}"
            )

    def _is_idempotent(self, order: request_types.RunOrder) -> bool:
        if self._route is None:
            return False
        path = order["path"].partition("?")[0]
        rule = index.find_rule(self._route, order["method"], path)
        return rule is not None and rule.get("idempotent", False)


__all__ = ("Rules",)
