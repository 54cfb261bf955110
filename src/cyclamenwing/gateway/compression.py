"""Compression of large values between gateways.

Configurations with thousands of routes would take seconds on the links of
small hosts; they shrink to about a tenth.
"""

from __future__ import annotations

import zlib

from cyclamenwing.gateway import errors

# Smaller values are sent as they are.
MIN_PACKED_BYTES = 512
# The lowest level takes the least processor time and is enough here.
LEVEL = 1
PLAIN = b"="
PACKED = b"z"


def pack(value: bytes) -> bytes:
    """Return a value as sent to peers, compressed if it is large."""
    if len(value) < MIN_PACKED_BYTES:
        return PLAIN + value
    return PACKED + zlib.compress(value, LEVEL)


def unpack(data: bytes) -> bytes:
    """Return the value that a peer packed.

    :raises PeerDataError: if the data is damaged
    """
    kind, content = data[:1], data[1:]
    if kind == PLAIN:
        return content
    if kind != PACKED:
        raise errors.PeerDataError(f"unknown form {kind!r} of a value")
    try:
        return zlib.decompress(content)
    except zlib.error as err:
        raise errors.PeerDataError(str(err)) from err


__all__ = (
    "pack",
    "unpack",
)
