"""Errors raised while a request is routed to an endpoint."""

from __future__ import annotations

import math

from cyclamenwing import errors


class RoutingError(errors.CodedError):
    """Report that a request can't be routed to any endpoint."""

    code = "routing_error"
    status = 503


class NoEndpointError(RoutingError):
    """Report that no endpoint of the route accepts requests."""

    code = "no_endpoint"


class OverloadedError(RoutingError):
    """Report a request refused at once because the fleet is overloaded.

    Either the queue is full or the request could not start before its
    deadline.
    """

    code = "overloaded"
    status = 429

    @classmethod
    def from_wait(cls, message: str, retry_after_s: float) -> OverloadedError:
        """Return an error that asks to retry after a time, rounded up."""
        error = cls(message)
        error.retry_after_s = math.ceil(retry_after_s)
        return error


class QuarantinedError(RoutingError):
    """Report a poison request: endpoints that ran it have crashed."""

    code = "quarantined"
    status = 422


class RetriesExhaustedError(RoutingError):
    """Report that an attempt failed and no further retry is allowed."""

    code = "retries_exhausted"
    status = 502


__all__ = (
    "NoEndpointError",
    "OverloadedError",
    "QuarantinedError",
    "RetriesExhaustedError",
    "RoutingError",
)
