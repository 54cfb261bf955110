"""Codec for the frames of a streamed response, one JSON object per line."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec

from cyclamenwing import decoding
from cyclamenwing.request import types
from cyclamenwing.transport import errors

MAX_LINE_BYTES = 4 * 1024 * 1024

_REQUIRED_FIELDS: dict[str, tuple[str, ...]] = {
    "head": ("status", "headers", "request"),
    "part": ("o", "d"),
    "beat": (),
    "end": ("length", "digest", "usage", "billed_request", "charges"),
    "refusal": ("code", "message", "run"),
}

_DECODER = decoding.Decoder(types.Frame)


async def read_frames(
    chunks: AsyncIterator[bytes],
) -> AsyncIterator[types.Frame]:
    """Yield the frames of a stream whose chunks may split lines.

    :raises MalformedMessageError: for a line that is too long or not a frame
    :raises ConnectionLostError: if the stream ends within a line
    """
    partial_line = b""
    async for chunk in chunks:
        lines = (partial_line + chunk).split(b"\n")
        partial_line = lines.pop()
        if len(partial_line) > MAX_LINE_BYTES:
            raise errors.MalformedMessageError(
                "a frame exceeds the size limit", "unknown"
            )
        for line in lines:
            yield decode_frame(line)
    if partial_line:
        raise errors.ConnectionLostError(
            "the stream ends within a frame", "unknown"
        )


def decode_frame(line: bytes) -> types.Frame:
    """Decode one line.

    :raises MalformedMessageError: if it is not a frame or lacks a field that
        its type requires
    """
    try:
        frame = _DECODER.decode(line)
    except msgspec.DecodeError as err:
        raise errors.MalformedMessageError(str(err), "unknown") from err
    required = _REQUIRED_FIELDS.get(frame.get("t", ""), ("t",))
    missing = [name for name in required if name not in frame]
    if missing:
        raise errors.MalformedMessageError(
            f"a frame lacks the fields {missing}", "unknown"
        )
    return frame


def encode_frame(frame: object) -> bytes:
    """Encode one frame and its newline."""
    return msgspec.json.encode(frame) + b"\n"


__all__ = (
    "MAX_LINE_BYTES",
    "decode_frame",
    "encode_frame",
    "read_frames",
)
