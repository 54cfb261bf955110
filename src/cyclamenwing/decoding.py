"""Decoder of JSON that other processes, operators or callers have written.

msgspec and the standard library raise RecursionError for JSON that is nested
deeper than the interpreter's stack, which is not one of their decode errors.
All input is decoded here, so that such input is malformed like any other.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

# Deepest nesting of documents whose type leaves values open. They are encoded
# again later, by calls that may be further down the stack.
MAX_DEPTH = 100

# Integers that can be encoded again. JSON has longer ones, and msgspec decodes
# these, but does not encode them.
Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

T = TypeVar("T")


class Decoder(Generic[T]):
    """Decode JSON into one type.

    :param kind: a type that msgspec supports
    """

    def __init__(self, kind: type[T]) -> None:
        self._decoder = msgspec.json.Decoder(kind)

    def decode(self, data: bytes | bytearray | str) -> T:
        """Decode one JSON value.

        :raises msgspec.ValidationError: if it does not match the type
        :raises msgspec.DecodeError: if it is malformed or nested too deeply
        """
        try:
            return self._decoder.decode(data)
        except RecursionError as err:
            raise msgspec.DecodeError("nested too deeply") from err
        except UnicodeDecodeError as err:
            raise msgspec.DecodeError(str(err)) from err


_decoders: dict[Any, Decoder[Any]] = {}


def decode(data: bytes | bytearray | str, kind: type[T]) -> T:
    """Decode one JSON value; see `Decoder.decode`."""
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = Decoder(kind)
    result: T = decoder.decode(data)
    return result


def decode_document(data: bytes | bytearray | str) -> dict[str, Any]:
    """Decode a JSON object of which any part may be encoded again.

    :raises msgspec.ValidationError: if it is no object
    :raises msgspec.DecodeError: if it is malformed, or nested deeper than
        `MAX_DEPTH`
    """
    document = decode(data, dict[str, Any])
    level: list[Any] = [document]
    for _ in range(MAX_DEPTH):
        level = [
            child
            for item in level
            for child in (item.values() if isinstance(item, dict) else item)
            if isinstance(child, dict | list)
        ]
        if not level:
            return document
    raise msgspec.DecodeError("nested too deeply")


__all__ = (
    "MAX_DEPTH",
    "Decoder",
    "Integer",
    "decode",
    "decode_document",
)
