"""Admission of HTTP requests by their headers, before the body is read."""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from typing import Protocol

from tornado import httputil

from cyclamenwing.transport import errors

MAX_BODY_BYTES = 8 * 1024 * 1024


class RequestFilter(Protocol):
    """Decide on a request before its body is read."""

    def admit(self, path: str, headers: httputil.HTTPHeaders) -> int:
        """Return the body's limit in bytes; raise a coded error."""


class AllowAllFilter:
    """Admit everyone.

    :param limit_bytes: largest body
    """

    def __init__(self, limit_bytes: int = MAX_BODY_BYTES) -> None:
        self._limit_bytes = limit_bytes

    def admit(self, path: str, headers: httputil.HTTPHeaders) -> int:
        """Return the limit."""
        return self._limit_bytes


class FleetKeyFilter:
    """Admit only processes that hold a valid fleet key.

    :param fleet_keys: valid keys
    :param limit_bytes: largest body
    """

    def __init__(
        self, fleet_keys: Sequence[str], limit_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._accepted = [f"Bearer {key}".encode() for key in fleet_keys]
        self._limit_bytes = limit_bytes

    def admit(self, path: str, headers: httputil.HTTPHeaders) -> int:
        """Return the limit; raise `ForbiddenPeerError`."""
        given = headers.get("Authorization", "").encode()
        # Every key is compared, so that the time tells nothing.
        found = [hmac.compare_digest(given, key) for key in self._accepted]
        if not any(found):
            raise errors.ForbiddenPeerError("no valid fleet key")
        return self._limit_bytes


__all__ = (
    "MAX_BODY_BYTES",
    "RequestFilter",
    "AllowAllFilter",
    "FleetKeyFilter",
)
