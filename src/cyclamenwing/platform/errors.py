"""Errors of the platform's adapter."""

from __future__ import annotations

from cyclamenwing import errors


class PlatformError(errors.CodedError):
    """Report something of the platform's that can't be translated."""

    code = "platform_error"
    status = 503


class ConfigurationUnreadableError(PlatformError):
    """Report a configuration that can't be read."""

    code = "configuration_unreadable"


class EndpointUnreadableError(PlatformError):
    """Report an entry that names no endpoint to use."""

    code = "endpoint_unreadable"


class RequestUnreadableError(PlatformError):
    """Report a request whose headers can't be read."""

    code = "request_unreadable"
    status = 400


__all__ = (
    "ConfigurationUnreadableError",
    "EndpointUnreadableError",
    "PlatformError",
    "RequestUnreadableError",
)
