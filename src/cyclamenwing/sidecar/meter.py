"""Token count of an engine's server-sent events."""

from __future__ import annotations

from typing import Any

import msgspec

from cyclamenwing.request import types
from cyclamenwing.sidecar import errors

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE = b"data: [DONE]"


class Event(msgspec.Struct):
    """Hold the fields of a chunk that metering needs."""

    choices: list[Any] = []
    usage: dict[str, Any] | None = None


class StreamMeter:
    """Cut a stream into events, count tokens and hide usage.

    :param show_usage: whether the caller asked for the usage chunk
    """

    def __init__(self, show_usage: bool) -> None:
        self._show_usage = show_usage
        self._rest = b""
        self.usage = types.Usage(prompt=0, completion=0)
        self.done = False

    def feed(self, chunk: bytes) -> bytes:
        """Take a chunk and return the whole events to pass on."""
        events = (self._rest + chunk).split(EVENT_END)
        self._rest = events.pop()
        return b"".join(self._take(event) for event in events)

    def _take(self, event: bytes) -> bytes:
        if event == DONE:
            self.done = True
            return event + EVENT_END
        read = _read_event(event)
        if read.usage is not None:
            self.usage = read_usage(read.usage)
        if not read.choices:
            return event + EVENT_END if self._show_usage else b""
        if read.usage is None:
            self.usage["completion"] += 1
        return event + EVENT_END


def read_usage(usage: dict[str, Any]) -> types.Usage:
    """Read the token counts of an engine's usage object."""
    try:
        return types.Usage(
            prompt=int(usage["prompt_tokens"]),
            completion=int(usage["completion_tokens"]),
        )
    except (KeyError, TypeError, ValueError) as err:
        raise errors.EndpointMalformedError("bad usage", "ran") from err


def _read_event(event: bytes) -> Event:
    if not event.startswith(DATA_PREFIX):
        raise errors.EndpointMalformedError("not a data event", "ran")
    try:
        return _DECODER.decode(event[len(DATA_PREFIX) :])
    except (msgspec.ValidationError, msgspec.DecodeError) as err:
        raise errors.EndpointMalformedError(str(err), "ran") from err


_DECODER = msgspec.json.Decoder(Event)

__all__ = (
    "Event",
    "StreamMeter",
    "read_usage",
)
