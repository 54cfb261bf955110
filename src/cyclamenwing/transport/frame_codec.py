"""Frames of a streamed answer, one JSON object a line."""

from __future__ import annotations

from collections.abc import AsyncIterator

import msgspec

from cyclamenwing.request import types
from cyclamenwing.transport import errors

MAX_LINE_BYTES = 4 * 1024 * 1024

_REQUIRED: dict[str, tuple[str, ...]] = {
    "head": ("status", "headers", "request"),
    "part": ("o", "d"),
    "beat": (),
    "end": ("length", "digest", "usage", "billed_request", "charges"),
    "refusal": ("code", "message", "run"),
}

_DECODER = msgspec.json.Decoder(types.Frame)


async def read_frames(
    chunks: AsyncIterator[bytes],
) -> AsyncIterator[types.Frame]:
    """Yield frames from chunks that may cut lines anywhere."""
    rest = b""
    async for chunk in chunks:
        lines = (rest + chunk).split(b"\n")
        rest = lines.pop()
        if len(rest) > MAX_LINE_BYTES:
            raise errors.MalformedMessageError("line too long", "unknown")
        for line in lines:
            yield decode_frame(line)
    if rest:
        raise errors.ConnectionLostError("stream ends in a line", "unknown")


def decode_frame(line: bytes) -> types.Frame:
    """Decode one line; raise `MalformedMessageError` on a wrong one."""
    try:
        frame = _DECODER.decode(line)
    except (msgspec.ValidationError, msgspec.DecodeError) as err:
        raise errors.MalformedMessageError(str(err), "unknown") from err
    required = _REQUIRED.get(frame.get("t", ""), ("t",))
    missing = [name for name in required if name not in frame]
    if missing:
        raise errors.MalformedMessageError(
            f"frame without {missing}", "unknown"
        )
    return frame


def encode_frame(frame: object) -> bytes:
    """Encode one frame with its line end."""
    return msgspec.json.encode(frame) + b"\n"


__all__ = (
    "MAX_LINE_BYTES",
    "decode_frame",
    "encode_frame",
    "read_frames",
)
