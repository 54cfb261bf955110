"""Decoder of the store entries by which endpoints register themselves."""

from __future__ import annotations

from typing import Literal

import msgspec

from cyclamenwing import decoding
from cyclamenwing.platform import errors
from cyclamenwing.routing import endpoints

KEY_PREFIX = "servers/"
MS_PER_S = 1000.0


class EndpointEntry(msgspec.Struct):
    """Hold an endpoint's entry; the endpoint's id is only in its key."""

    service: str
    # "ip:port" that requests are sent to.
    address: str
    state: Literal["ready", "draining"]
    zone: str = ""
    # Version of its software; that of its weights is with its models.
    version: str = ""
    # Requests that the endpoint runs at the same time.
    slots: decoding.Integer = 1
    # Remaining time in which the endpoint is cold, at the time of writing.
    cold_left_ms: float = 0.0
    # Start time of this incarnation in Unix milliseconds.
    born: decoding.Integer = 0


_DECODER = decoding.Decoder(EndpointEntry)


def read_endpoint(key: str, value: bytes) -> endpoints.Endpoint:
    """Decode an endpoint's entry.

    :raises EndpointUnreadableError: if the value is no valid entry
    """
    try:
        entry = _DECODER.decode(value)
        host, _, port = entry.address.rpartition(":")
        if not host or not 0 < int(port) < 65_536:
            raise ValueError(f"invalid address {entry.address!r}")
    except (msgspec.DecodeError, ValueError) as err:
        raise errors.EndpointUnreadableError(f"{key}: {err}") from err
    return endpoints.Endpoint(
        name=read_name(key),
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=max(entry.slots, 1),
        draining=entry.state == "draining",
        started_ms=entry.born,
        software=entry.version,
        cold_remaining_s=max(entry.cold_left_ms, 0.0) / MS_PER_S,
    )


def read_name(key: str) -> str:
    """Return the endpoint's id from its key."""
    return key.removeprefix(KEY_PREFIX)


__all__ = (
    "KEY_PREFIX",
    "read_endpoint",
    "read_name",
)
