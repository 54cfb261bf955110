"""Configuration of the route that a sidecar checks orders against."""

from __future__ import annotations

import eliot

from cyclamenwing.catalog import index
from cyclamenwing.catalog import types
from cyclamenwing.request import types as request_types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import errors


class Rules:
    """Hold the rules of the sidecar's route at the highest known revision.

    :param board: state of the sidecar
    :param endpoint_checks_tokens: whether the endpoint checks fencing tokens,
        according to the settings; a rule of the route takes precedence
    """

    def __init__(
        self, board: blackboard.SidecarBoard, endpoint_checks_tokens: bool
    ) -> None:
        self._board = board
        self._route: types.Route | None = None
        self._endpoint_checks_tokens = endpoint_checks_tokens

    def adopt(self, rules: types.SidecarRules) -> bool:
        """Adopt rules of a higher revision; return whether it did."""
        if rules["revision"] <= self._board.revision:
            return False
        self._board.revision = rules["revision"]
        self._route = rules["route"]
        eliot.log_message("sidecar:rules_adopted", revision=rules["revision"])
        return True

    def endpoint_checks_tokens(self) -> bool:
        """Return whether the endpoint itself rejects stale fencing tokens."""
        if self._route is None:
            return self._endpoint_checks_tokens
        return self._route.get("orders_checked", self._endpoint_checks_tokens)

    def check_order(self, order: request_types.RunOrder) -> None:
        """Check the idempotency of an order by an older revision.

        :raises StaleRulesError: if the order of an entry with an older
            revision is marked idempotent, but the request is not idempotent
            at the sidecar's revision
        """
        if order["revision"] >= self._board.revision:
            return
        if not order["idempotent"] or order["protocol"] != "plain":
            return
        if self._route is None or not self._is_idempotent(order):
            raise errors.StaleRulesError(
                f"{order['method']} {order['path']} is not idempotent since"
                f" revision {self._board.revision}; the entry has revision"
                f" {order['revision']}"
            )

    def _is_idempotent(self, order: request_types.RunOrder) -> bool:
        if self._route is None:
            return False
        path = order["path"].partition("?")[0]
        rule = index.find_rule(self._route, order["method"], path)
        return rule is not None and rule.get("idempotent", False)


__all__ = ("Rules",)
