"""Errors of routing."""

from __future__ import annotations

import math

from cyclamenwing import errors


class RoutingError(errors.CodedError):
    """Report a request that found no place to run."""

    code = "routing_error"
    status = 503


class NoEndpointError(RoutingError):
    """Report a route without an endpoint that takes work."""

    code = "no_endpoint"


class OverloadedError(RoutingError):
    """Report a request refused early because queues are full."""

    code = "overloaded"
    status = 429

    @classmethod
    def from_wait(cls, message: str, retry_after_s: float) -> OverloadedError:
        """Make a refusal that tells when to come back."""
        error = cls(message)
        error.retry_after_s = math.ceil(retry_after_s)
        return error


class QuarantinedError(RoutingError):
    """Report a request that crashed endpoints before."""

    code = "quarantined"
    status = 422


class RetriesExhaustedError(RoutingError):
    """Report that every attempt failed."""

    code = "retries_exhausted"
    status = 502


__all__ = (
    "NoEndpointError",
    "OverloadedError",
    "QuarantinedError",
    "RetriesExhaustedError",
    "RoutingError",
)
