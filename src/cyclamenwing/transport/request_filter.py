"""Filters that admit HTTP requests by their headers.

A filter runs before the body of the request is read.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from typing import Protocol

from tornado import httputil

from cyclamenwing.transport import errors

MAX_BODY_BYTES = 8 * 1024 * 1024


class RequestFilter(Protocol):
    """Admit or reject a request before its body is read."""

    def admit(self, path: str, headers: httputil.HTTPHeaders) -> int:
        """Return the size limit of the body in bytes.

        :raises CodedError: if the request is rejected
        """


class AllowAllFilter:
    """Admit every request.

    :param limit_bytes: size limit of a body
    """

    def __init__(self, limit_bytes: int = MAX_BODY_BYTES) -> None:
        self._limit_bytes = limit_bytes

    def admit(self, path: str, headers: httputil.HTTPHeaders) -> int:
        """Return the size limit of the body in bytes."""
        return self._limit_bytes


class FleetKeyFilter:
    """Admit only requests that carry a valid fleet key.

    :param fleet_keys: valid keys
    :param limit_bytes: size limit of a body
    """

    def __init__(
        self, fleet_keys: Sequence[str], limit_bytes: int = MAX_BODY_BYTES
    ) -> None:
        self._accepted_values = [
            f"Bearer {key}".encode() for key in fleet_keys
        ]
        self._limit_bytes = limit_bytes

    def admit(self, path: str, headers: httputil.HTTPHeaders) -> int:
        """Return the size limit of the body in bytes.

        :raises ForbiddenPeerError: without a valid fleet key
        """
        given = headers.get("Authorization", "").encode()
        # All keys are compared in constant time, so that the response time
        # does not reveal which key or how much of it matches.
        matches = [
            hmac.compare_digest(given, key) for key in self._accepted_values
        ]
        if not any(matches):
            raise errors.ForbiddenPeerError(
                "the Authorization header has no valid fleet key"
            )
        return self._limit_bytes


__all__ = (
    "MAX_BODY_BYTES",
    "AllowAllFilter",
    "FleetKeyFilter",
    "RequestFilter",
)
