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
    """Pass on each byte of an answer once and in order.

    After `rewind` the parts of another run are compared with the bytes
    that were passed on, so that answers of two runs never mix.
    """

    def __init__(self) -> None:
        self.offset = 0
        self._hash = hashlib.sha256()
        self._read = 0
        self._again: hashlib._Hash | None = None

    @property
    def next_offset(self) -> int:
        """Return the offset from which parts are needed."""
        return self.offset if self._again is None else self._read

    def rewind(self) -> None:
        """Expect another run's answer from its start."""
        if self.offset:
            self._read = 0
            self._again = hashlib.sha256()

    def accept(self, frame: types.Frame) -> bytes:
        """Return the new bytes of a part; a gap raises an error."""
        data = decode_part(frame)
        start = frame["o"]
        if start > self.next_offset or start < 0:
            raise errors.AnswerGapError(
                f"have {self.next_offset}, got part at {start}", "unknown"
            )
        new = data[self.next_offset - start :]
        if self._again is not None:
            new = self._compare(new)
        self._hash.update(new)
        self.offset += len(new)
        return new

    def check_end(self, frame: types.Frame) -> None:
        """Raise a coded error unless all bytes were passed on."""
        if frame["length"] > self.next_offset:
            raise errors.AnswerGapError(
                f"have {self.next_offset} of {frame['length']}", "unknown"
            )
        digest = self._hash.hexdigest()
        if frame["length"] != self.offset or frame["digest"] != digest:
            raise errors.AnswerBrokenError("length or digest differs", "ran")

    def _compare(self, data: bytes) -> bytes:
        again = self._again
        assert again is not None
        known = data[: self.offset - self._read]
        again.update(known)
        self._read += len(known)
        if self._read == self.offset:
            if again.digest() != self._hash.digest():
                raise errors.AnswerBrokenError("two runs differ", "ran")
            self._again = None
        return data[len(known) :]


__all__ = (
    "Assembler",
    "decode_part",
    "encode_part",
)
