"""Decoding of the entries under which endpoints register themselves."""

from __future__ import annotations

from typing import Literal

import msgspec

from cyclamenwing.platform import errors
from cyclamenwing.routing import endpoints

KEY_PREFIX = "servers/"


class ServerEntry(msgspec.Struct):
    """Hold an endpoint's entry; its id stands only in the key."""

    service: str
    # "ip:port" where requests are sent.
    address: str
    state: Literal["ready", "draining"]
    zone: str = ""
    slots: int = 1
    # Time for which the endpoint stays slow after its start.
    cold_left_ms: float = 0.0
    # Start of this incarnation, in Unix milliseconds.
    born: int = 0


_DECODER = msgspec.json.Decoder(ServerEntry)


def read_endpoint(key: str, value: bytes) -> endpoints.Endpoint:
    """Decode an entry.

    :raises EndpointUnreadableError: for one that names no endpoint to use
    """
    try:
        entry = _DECODER.decode(value)
        host, _, port = entry.address.rpartition(":")
        if not host or not 0 < int(port) < 65_536:
            raise ValueError(f"address {entry.address!r}")
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as err:
        raise errors.EndpointUnreadableError(f"{key}: {err}") from err
    return endpoints.Endpoint(
        name=read_name(key),
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=max(entry.slots, 1),
        draining=entry.state == "draining",
        born_ms=entry.born,
    )


def read_name(key: str) -> str:
    """Return the endpoint's id."""
    return key.removeprefix(KEY_PREFIX)


__all__ = (
    "KEY_PREFIX",
    "read_endpoint",
    "read_name",
)
