"""Order of an answer's parts, with its length and digest checked."""

from __future__ import annotations

import base64
import hashlib

from cyclamenwing.request import errors
from cyclamenwing.request import types


def encode_part(offset: int, data: bytes) -> types.Part:
    """Make a part; bytes that are not UTF-8 travel as base64."""
    try:
        return {"t": "part", "o": offset, "d": data.decode()}
    except UnicodeDecodeError:
        text = base64.b64encode(data).decode()
        return {"t": "part", "o": offset, "d": text, "b": True}


def decode_part(frame: types.Frame) -> bytes:
    """Return a part's bytes; raise `AnswerBrokenError` on bad base64."""
    if not frame.get("b"):
        return frame["d"].encode()
    try:
        return base64.b64decode(frame["d"], validate=True)
    except ValueError as err:
        raise errors.AnswerBrokenError("part is not base64", "ran") from err


class Assembler:
    """Pass on each byte of an answer once and in order."""

    def __init__(self) -> None:
        self.offset = 0
        self._hash = hashlib.sha256()

    def accept(self, frame: types.Frame) -> bytes:
        """Return the new bytes of a part; a gap raises an error."""
        data = decode_part(frame)
        start = frame["o"]
        if start > self.offset:
            raise errors.AnswerBrokenError(
                f"gap: have {self.offset}, got part at {start}", "unknown"
            )
        new = data[self.offset - start :]
        self._hash.update(new)
        self.offset += len(new)
        return new

    def check_end(self, frame: types.Frame) -> None:
        """Raise `AnswerBrokenError` unless all bytes were passed on."""
        if frame["length"] != self.offset:
            raise errors.AnswerBrokenError(
                f"short: have {self.offset} of {frame['length']}", "unknown"
            )
        if frame["digest"] != self._hash.hexdigest():
            raise errors.AnswerBrokenError("digest differs", "unknown")


__all__ = (
    "Assembler",
    "decode_part",
    "encode_part",
)
