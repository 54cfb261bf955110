"""Errors of membership and of orders to endpoints."""

from __future__ import annotations

from cyclamenwing import errors


class MembershipError(errors.CodedError):
    """Report a failure of membership or of an order to an endpoint."""

    code = "membership_error"
    status = 503


class HostListError(MembershipError):
    """Report that the platform's host list can't be read."""

    code = "host_list_unavailable"


class StaleOrderError(MembershipError):
    """Report an order with a stale fencing token or by a former holder."""

    code = "stale_order"
    status = 409


class OrderUnconfirmedError(MembershipError):
    """Report that the sidecar can't read the current fencing token."""

    code = "order_unconfirmed"
    retry_after_s = 1.0


class OrderLeaseLapsedError(MembershipError):
    """Report that a lease expired before its holder sent the order."""

    code = "order_lease_lapsed"
    status = 409


class OrderHeldError(MembershipError):
    """Report that another holder has the lease of a route's orders."""

    code = "order_held"
    status = 409
    retry_after_s = 10.0


class UnknownOrderError(MembershipError):
    """Report an order or endpoint that is unknown to this process."""

    code = "unknown_order"
    status = 404


class EndpointOrderError(MembershipError):
    """Report that an endpoint failed to execute an order."""

    code = "endpoint_order_failed"
    status = 502


__all__ = (
    "EndpointOrderError",
    "HostListError",
    "MembershipError",
    "OrderHeldError",
    "OrderLeaseLapsedError",
    "OrderUnconfirmedError",
    "StaleOrderError",
    "UnknownOrderError",
)
