"""Decoder of the store entries by which endpoints register themselves."""

from __future__ import annotations

import ipaddress
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
    zone: str
    # Version of its software; that of its weights is with its models.
    version: str
    # Requests that the endpoint runs at the same time.
    slots: decoding.Integer
    # Remaining time in which the endpoint is cold, at the time of writing.
    cold_left_ms: float
    # Number of the entry's last renewal. It is not used, but an entry without
    # it was not written by an endpoint.
    seq: decoding.Integer
    # Start time of this incarnation in Unix milliseconds.
    born: decoding.Integer = 0


_DECODER = decoding.Decoder(EndpointEntry)


def read_endpoint(key: str, value: bytes) -> endpoints.Endpoint:
    """Decode an endpoint's entry.

    :raises EndpointUnreadableError: if the value is no valid entry
    """
    try:
        entry = _DECODER.decode(value)
        _check_address(entry.address)
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


def _check_address(address: str) -> None:
    """Check that an address has an IPv4 address and a port.

    :raises ValueError: if it has not
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdecimal() and 0 < int(port) < 65_536):
        raise ValueError(f"invalid port in {address!r}")


def read_name(key: str) -> str:
    """Return the endpoint's id from its key."""
    return key.removeprefix(KEY_PREFIX)


__all__ = (
    "KEY_PREFIX",
    "read_endpoint",
    "read_name",
)
