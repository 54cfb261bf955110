"""Meters that count and limit the tokens of an engine's response."""

from __future__ import annotations

from typing import Any
from typing import Protocol

import msgspec

from cyclamenwing import decoding
from cyclamenwing.request import types
from cyclamenwing.sidecar import errors

EVENT_END = b"\n\n"
DATA_PREFIX = b"data:"
DONE_DATA = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1024 * 1024


class Meter(Protocol):
    """Count the tokens of a response while it is forwarded.

    `stopped` is set once the response is complete, even if the endpoint
    sends more.
    """

    usage: types.Usage
    stopped: bool

    def feed(self, chunk: bytes) -> bytes:
        """Process a chunk and return the bytes to forward.

        :raises EndpointMalformedError: if the response can't be decoded
        """

    def finish(self) -> bytes:
        """Return the last bytes to forward.

        :raises SidecarError: if the response is incomplete or malformed
        """


class Event(msgspec.Struct):
    """Hold the fields of a completion chunk that metering needs."""

    id: Any = ""
    object: Any = "chat.completion.chunk"
    created: Any = 0
    model: Any = ""
    choices: list[Any] = []
    usage: dict[str, Any] | None = None


class PassThroughMeter:
    """Forward a response unchanged and count nothing."""

    def __init__(self) -> None:
        self.usage = types.Usage(prompt=0, completion=0)
        self.stopped = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the chunk."""
        return chunk

    def finish(self) -> bytes:
        """Return nothing more."""
        return b""


class BufferedMeter:
    """Buffer a JSON response until its usage is read.

    :param max_tokens: number of completion tokens that were reserved
    """

    def __init__(self, max_tokens: int) -> None:
        self.usage = types.Usage(prompt=0, completion=0)
        self.stopped = False
        self._max_tokens = max_tokens
        self._buffer = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Buffer the chunk and return nothing."""
        self._buffer.extend(chunk)
        if len(self._buffer) > MAX_EVENT_BYTES * 8:
            raise errors.EndpointMalformedError(
                "the response exceeds the size limit", "ran"
            )
        return b""

    def finish(self) -> bytes:
        """Read the usage and return the complete response."""
        try:
            decoded = decoding.decode(self._buffer, dict[str, Any])
        except msgspec.DecodeError as err:
            raise errors.EndpointMalformedError(str(err), "ran") from err
        usage = read_usage(decoded.get("usage"))
        self.usage = _cap_usage(usage, self._max_tokens)
        return bytes(self._buffer)


class StreamMeter:
    """Count the tokens of an event stream and drop its usage chunk.

    :param show_usage: whether the caller asked for the usage chunk, which
        is then forwarded
    :param max_tokens: number of completion tokens that were reserved
    """

    def __init__(self, show_usage: bool, max_tokens: int) -> None:
        self.usage = types.Usage(prompt=0, completion=0)
        self.stopped = False
        self._show_usage = show_usage
        self._max_tokens = max_tokens
        self._partial_event = b""

    def feed(self, chunk: bytes) -> bytes:
        """Process a chunk and return the complete events to forward."""
        if self.stopped:
            return b""
        events = (self._partial_event + chunk).split(EVENT_END)
        self._partial_event = events.pop()
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise errors.EndpointMalformedError(
                "an event exceeds the size limit", "ran"
            )
        return b"".join(self._process_event(event) for event in events)

    def finish(self) -> bytes:
        """Return nothing more.

        :raises EndpointCrashedError: if the stream ended before its end event
        """
        if not self.stopped:
            raise errors.EndpointCrashedError(
                "the stream ended before [DONE]", "unknown"
            )
        return b""

    def _process_event(self, event: bytes) -> bytes:
        if self.stopped:
            return b""
        data = _parse_event_data(event)
        if data is None:
            return event + EVENT_END
        if data == DONE_DATA:
            self.stopped = True
            return event + EVENT_END
        return self._meter_event(event, _decode_event(data))

    def _meter_event(self, event: bytes, decoded: Event) -> bytes:
        if decoded.usage is not None:
            usage = read_usage(decoded.usage)
            self.usage = _cap_usage(usage, self._max_tokens)
        if not decoded.choices:
            shown = self._show_usage or decoded.usage is None
            return event + EVENT_END if shown else b""
        if not _is_generated(decoded):
            return event + EVENT_END
        if (
            self.usage["completion"] >= self._max_tokens
            and decoded.usage is None
        ):
            return self._truncate(decoded)
        if decoded.usage is None:
            self.usage["completion"] += 1
        return event + EVENT_END

    def _truncate(self, decoded: Event) -> bytes:
        # The engine ignored max_tokens: the stream ends here as if the engine
        # had stopped at the limit.
        self.stopped = True
        last = {"index": 0, "delta": {}, "finish_reason": "length"}
        decoded.choices = [last]
        encoded = msgspec.json.encode(decoded)
        return b"data: " + encoded + EVENT_END + DONE_EVENT


def read_usage(usage: Any) -> types.Usage:
    """Return the token counts of an engine's usage object.

    :raises EndpointMalformedError: if a count is missing or negative
    """
    try:
        token_counts = types.Usage(
            prompt=int(usage["prompt_tokens"]),
            completion=int(usage["completion_tokens"]),
        )
    except (KeyError, TypeError, ValueError) as err:
        raise errors.EndpointMalformedError(
            "the usage has no valid token counts", "ran"
        ) from err
    if min(token_counts["prompt"], token_counts["completion"]) < 0:
        raise errors.EndpointMalformedError(
            "the usage has negative token counts", "ran"
        )
    return token_counts


def _cap_usage(usage: types.Usage, max_tokens: int) -> types.Usage:
    completion = min(usage["completion"], max_tokens)
    return types.Usage(prompt=usage["prompt"], completion=completion)


def _is_generated(decoded: Event) -> bool:
    return any(
        isinstance(choice, dict) and any((choice.get("delta") or {}).values())
        for choice in decoded.choices
    )


def _parse_event_data(event: bytes) -> bytes | None:
    lines = [
        line[len(DATA_PREFIX) :].strip()
        for line in event.split(b"\n")
        if line.startswith(DATA_PREFIX)
    ]
    if lines:
        return b"\n".join(lines)
    if all(not line or line.startswith(b":") for line in event.split(b"\n")):
        return None
    raise errors.EndpointMalformedError(
        "an event has neither data nor a comment", "ran"
    )


def _decode_event(data: bytes) -> Event:
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as err:
        raise errors.EndpointMalformedError(str(err), "ran") from err


_DECODER = decoding.Decoder(Event)

__all__ = (
    "BufferedMeter",
    "Event",
    "Meter",
    "PassThroughMeter",
    "StreamMeter",
    "read_usage",
)
