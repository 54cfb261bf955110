"""Assembly of an answer from its parts, with length and digest checks."""

from __future__ import annotations

import base64
import hashlib

from cyclamenwing.request import errors
from cyclamenwing.request import types


def encode_part(offset: int, data: bytes) -> types.Part:
    """Return a part frame; bytes that are not UTF-8 are sent as base64."""
    try:
        return {"t": "part", "o": offset, "d": data.decode()}
    except UnicodeDecodeError:
        text = base64.b64encode(data).decode()
        return {"t": "part", "o": offset, "d": text, "b": True}


def decode_part(frame: types.Frame) -> bytes:
    """Return a part's bytes.

    :raises AnswerBrokenError: if the part is marked as base64 and isn't
    """
    if not frame.get("b"):
        return frame["d"].encode()
    try:
        return base64.b64decode(frame["d"], validate=True)
    except ValueError as err:
        raise errors.AnswerBrokenError(
            "answer part is not valid base64", "ran"
        ) from err


class Assembler:
    """Return each byte of an answer once and in order.

    After `rewind`, parts come from a second run of the request. Bytes that
    the first run already delivered are hashed and compared instead of
    returned, so that the answers of two runs are never mixed.
    """

    def __init__(self) -> None:
        self.offset = 0
        self._hash = hashlib.sha256()
        self._replay_offset = 0
        self._replay_hash: hashlib._Hash | None = None

    @property
    def next_offset(self) -> int:
        """Return the offset of the next byte to receive."""
        return (
            self.offset if self._replay_hash is None else self._replay_offset
        )

    def rewind(self) -> None:
        """Start over at offset 0 with the answer of another run."""
        if self.offset:
            self._replay_offset = 0
            self._replay_hash = hashlib.sha256()

    def accept(self, frame: types.Frame) -> bytes:
        """Return the bytes of a part that were not returned before.

        :raises AnswerGapError: if bytes before the part are missing
        :raises AnswerBrokenError: if the part can't be decoded or differs
            from the first run's answer
        """
        data = decode_part(frame)
        start = frame["o"]
        if start > self.next_offset or start < 0:
            raise errors.AnswerGapError(
                f"expected a part at {self.next_offset}, got one at {start}",
                "unknown",
            )
        unseen = data[self.next_offset - start :]
        if self._replay_hash is not None:
            unseen = self._check_repeated(unseen)
        self._hash.update(unseen)
        self.offset += len(unseen)
        return unseen

    def check_end(self, frame: types.Frame) -> None:
        """Check an answer's length and digest against its end frame.

        :raises AnswerGapError: if bytes at the end are missing
        :raises AnswerBrokenError: if the length or the digest differs
        """
        if frame["length"] > self.next_offset:
            raise errors.AnswerGapError(
                f"bytes received: {self.next_offset} of {frame['length']}",
                "unknown",
            )
        digest = self._hash.hexdigest()
        if frame["length"] != self.offset or frame["digest"] != digest:
            raise errors.AnswerBrokenError(
                "answer differs from its end frame in length or digest", "ran"
            )

    def _check_repeated(self, data: bytes) -> bytes:
        replay_hash = self._replay_hash
        assert replay_hash is not None
        repeated = data[: self.offset - self._replay_offset]
        replay_hash.update(repeated)
        self._replay_offset += len(repeated)
        if self._replay_offset == self.offset:
            if replay_hash.digest() != self._hash.digest():
                raise errors.AnswerBrokenError(
                    "answers of two runs of the request differ", "ran"
                )
            self._replay_hash = None
        return data[len(repeated) :]


__all__ = (
    "Assembler",
    "decode_part",
    "encode_part",
)
