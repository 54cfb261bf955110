"""Token count and bound of an engine's answers."""

from __future__ import annotations

from typing import Any
from typing import Protocol

import msgspec

from cyclamenwing.request import types
from cyclamenwing.sidecar import errors

EVENT_END = b"\n\n"
DATA_PREFIX = b"data:"
DONE_DATA = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1024 * 1024


class Meter(Protocol):
    """Count what an answer uses while it passes.

    `stopped` marks an answer that is whole before the endpoint ends it.
    """

    usage: types.Usage
    stopped: bool

    def feed(self, chunk: bytes) -> bytes:
        """Take a chunk and return the bytes to pass on."""

    def finish(self) -> bytes:
        """Return the last bytes; raise a coded error if some lack."""


class Event(msgspec.Struct):
    """Hold the fields of a chunk that metering needs."""

    id: Any = ""
    object: Any = "chat.completion.chunk"
    created: Any = 0
    model: Any = ""
    choices: list[Any] = []
    usage: dict[str, Any] | None = None


class PlainMeter:
    """Pass an answer on as it is."""

    def __init__(self) -> None:
        self.usage = types.Usage(prompt=0, completion=0)
        self.stopped = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the chunk."""
        return chunk

    def finish(self) -> bytes:
        """Return nothing more."""
        return b""


class WholeMeter:
    """Hold a JSON answer back until its usage is read.

    :param bound: generated tokens that were reserved
    """

    def __init__(self, bound: int) -> None:
        self.usage = types.Usage(prompt=0, completion=0)
        self.stopped = False
        self._bound = bound
        self._held = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Keep the chunk."""
        self._held.extend(chunk)
        if len(self._held) > MAX_EVENT_BYTES * 8:
            raise errors.EndpointMalformedError("answer too large", "ran")
        return b""

    def finish(self) -> bytes:
        """Return the whole answer."""
        try:
            read = msgspec.json.decode(self._held, type=dict[str, Any])
        except (msgspec.ValidationError, msgspec.DecodeError) as err:
            raise errors.EndpointMalformedError(str(err), "ran") from err
        usage = read_usage(read.get("usage"))
        self.usage = _cap_usage(usage, self._bound)
        return bytes(self._held)


class StreamMeter:
    """Cut a stream into events, count tokens and hide usage.

    :param show_usage: whether the caller asked for the usage chunk
    :param bound: generated tokens that were reserved
    """

    def __init__(self, show_usage: bool, bound: int) -> None:
        self.usage = types.Usage(prompt=0, completion=0)
        self.stopped = False
        self._show_usage = show_usage
        self._bound = bound
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Take a chunk and return the whole events to pass on."""
        if self.stopped:
            return b""
        events = (self._rest + chunk).split(EVENT_END)
        self._rest = events.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise errors.EndpointMalformedError("event too long", "ran")
        return b"".join(self._take(event) for event in events)

    def finish(self) -> bytes:
        """Raise `EndpointCrashedError` unless the stream was whole."""
        if not self.stopped:
            raise errors.EndpointCrashedError("stream cut off", "unknown")
        return b""

    def _take(self, event: bytes) -> bytes:
        if self.stopped:
            return b""
        data = _find_data(event)
        if data is None:
            return event + EVENT_END
        if data == DONE_DATA:
            self.stopped = True
            return event + EVENT_END
        return self._count(event, _read_event(data))

    def _count(self, event: bytes, read: Event) -> bytes:
        if read.usage is not None:
            usage = read_usage(read.usage)
            self.usage = _cap_usage(usage, self._bound)
        if not read.choices:
            shown = self._show_usage or read.usage is None
            return event + EVENT_END if shown else b""
        if not _is_generated(read):
            return event + EVENT_END
        if self.usage["completion"] >= self._bound and read.usage is None:
            return self._cut(read)
        if read.usage is None:
            self.usage["completion"] += 1
        return event + EVENT_END

    def _cut(self, read: Event) -> bytes:
        # An engine that ignores its bound is cut as if it kept it.
        self.stopped = True
        last = {"index": 0, "delta": {}, "finish_reason": "length"}
        read.choices = [last]
        encoded = msgspec.json.encode(read)
        return b"data: " + encoded + EVENT_END + DONE_EVENT


def read_usage(usage: Any) -> types.Usage:
    """Read the token counts of an engine's usage object."""
    try:
        made = types.Usage(
            prompt=int(usage["prompt_tokens"]),
            completion=int(usage["completion_tokens"]),
        )
    except (KeyError, TypeError, ValueError) as err:
        raise errors.EndpointMalformedError("bad usage", "ran") from err
    if min(made["prompt"], made["completion"]) < 0:
        raise errors.EndpointMalformedError("negative usage", "ran")
    return made


def _cap_usage(usage: types.Usage, bound: int) -> types.Usage:
    completion = min(usage["completion"], bound)
    return types.Usage(prompt=usage["prompt"], completion=completion)


def _is_generated(read: Event) -> bool:
    return any(
        isinstance(choice, dict) and any((choice.get("delta") or {}).values())
        for choice in read.choices
    )


def _find_data(event: bytes) -> bytes | None:
    lines = [
        line[len(DATA_PREFIX) :].strip()
        for line in event.split(b"\n")
        if line.startswith(DATA_PREFIX)
    ]
    if lines:
        return b"\n".join(lines)
    if all(not line or line.startswith(b":") for line in event.split(b"\n")):
        return None
    raise errors.EndpointMalformedError("not a data event", "ran")


def _read_event(data: bytes) -> Event:
    try:
        return _DECODER.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError) as err:
        raise errors.EndpointMalformedError(str(err), "ran") from err


_DECODER = msgspec.json.Decoder(Event)

__all__ = (
    "Event",
    "Meter",
    "PlainMeter",
    "StreamMeter",
    "WholeMeter",
    "read_usage",
)
