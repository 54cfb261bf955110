"""Parsing of server-sent events."""

from __future__ import annotations

import re

from cyclamenwing.transport import errors as transport_errors

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


# Longest end of an event, less one byte.
_END_OVERLAP = 3
# Far more than an event with the tokens of one step.
MAX_EVENT_BYTES = 256 * 1024


class EventReader:
    """Split the bytes of an event stream into whole events.

    `last_id` holds the id of the last whole event that has one, `count` the
    number of whole events.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self.last_id: bytes | None = None
        self.count = 0

    @property
    def partial(self) -> bytes:
        """Return the bytes of an event that has not ended."""
        return bytes(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that are whole now, unchanged.

        The time is linear in the new bytes, however small the pieces are.

        :raises MalformedMessageError: if an event has no end
        """
        begin = max(len(self._partial) - _END_OVERLAP, 0)
        self._partial += data
        end = 0
        for match in _END.finditer(self._partial, begin):
            self.count += 1
            end = match.end()
        whole = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise transport_errors.MalformedMessageError(
                "an event of the stream is too long", "unknown"
            )
        ids = _ID.findall(whole)
        if ids:
            self.last_id = ids[-1]
        return whole

    def restart(self) -> None:
        """Drop the partial event at the end of a broken stream."""
        self._partial.clear()


__all__ = ("EventReader",)
