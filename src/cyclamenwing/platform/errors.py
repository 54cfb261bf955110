"""Errors of the platform adapter."""

from __future__ import annotations

from cyclamenwing import errors


class PlatformError(errors.CodedError):
    """Report platform data that can't be decoded."""

    code = "platform_error"
    status = 503


class ConfigurationUnreadableError(PlatformError):
    """Report a configuration that can't be decoded."""

    code = "configuration_unreadable"


class EndpointUnreadableError(PlatformError):
    """Report an invalid entry of an endpoint."""

    code = "endpoint_unreadable"


class RequestUnreadableError(PlatformError):
    """Report a request whose headers can't be parsed."""

    code = "request_unreadable"
    status = 400


__all__ = (
    "ConfigurationUnreadableError",
    "EndpointUnreadableError",
    "PlatformError",
    "RequestUnreadableError",
)
