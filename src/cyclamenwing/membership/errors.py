"""Errors of membership."""

from __future__ import annotations

from cyclamenwing import errors


class MembershipError(errors.CodedError):
    """Report what membership can't do."""

    code = "membership_error"
    status = 503


class HostListError(MembershipError):
    """Report a host list that can't be read."""

    code = "host_list_unavailable"


class StaleOrderError(MembershipError):
    """Report an order whose fencing number is old."""

    code = "stale_order"
    status = 409


class OrderUnconfirmedError(MembershipError):
    """Report an order before the sidecar knows the fencing number."""

    code = "order_unconfirmed"
    retry_after_s = 1.0


class OrderLeaseLapsedError(MembershipError):
    """Report a holder whose lease ended before the order was sent."""

    code = "order_lease_lapsed"
    status = 409


class OrderHeldError(MembershipError):
    """Report that another holder has the right to give orders."""

    code = "order_held"
    status = 409
    retry_after_s = 10.0


class UnknownOrderError(MembershipError):
    """Report an order or an endpoint that isn't known here."""

    code = "unknown_order"
    status = 404


class EndpointOrderError(MembershipError):
    """Report an endpoint that did not carry out an order."""

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
