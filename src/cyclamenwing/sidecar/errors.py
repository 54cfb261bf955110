"""Errors of the sidecar."""

from __future__ import annotations

from cyclamenwing import errors


class SidecarError(errors.CodedError):
    """Report a run that the sidecar can't complete."""

    code = "sidecar_error"
    status = 502


class EndpointDownError(SidecarError):
    """Report an endpoint that was not reached, so nothing ran."""

    code = "endpoint_down"
    status = 503


class EndpointCrashedError(SidecarError):
    """Report an endpoint that broke off during a run."""

    code = "endpoint_crashed"


class EndpointSilentError(SidecarError):
    """Report an endpoint that sent nothing within the bound."""

    code = "endpoint_silent"


class EndpointMalformedError(SidecarError):
    """Report an answer of the endpoint that can't be read."""

    code = "endpoint_malformed"


class StaleRulesError(SidecarError):
    """Report an order by rules that have become stricter since."""

    code = "stale_rules"
    status = 409


__all__ = (
    "EndpointCrashedError",
    "EndpointDownError",
    "EndpointMalformedError",
    "EndpointSilentError",
    "SidecarError",
    "StaleRulesError",
)
