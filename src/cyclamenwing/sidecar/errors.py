"""Errors of the sidecar."""

from __future__ import annotations

from cyclamenwing import errors


class SidecarError(errors.CodedError):
    """Report a run that the sidecar could not complete."""

    code = "sidecar_error"
    status = 502


class EndpointDownError(SidecarError):
    """Report an endpoint that refused the connection, so nothing ran."""

    code = "endpoint_down"
    status = 503


class EndpointCrashedError(SidecarError):
    """Report an endpoint that closed the connection during a run."""

    code = "endpoint_crashed"


class EndpointSilentError(SidecarError):
    """Report an endpoint that sent nothing within the timeout."""

    code = "endpoint_silent"


class EndpointMalformedError(SidecarError):
    """Report a response of the endpoint that can't be decoded."""

    code = "endpoint_malformed"


class StaleRulesError(SidecarError):
    """Report an order by an older revision whose rules were less strict."""

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
