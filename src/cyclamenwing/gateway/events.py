"""Parsing of server-sent events."""

from __future__ import annotations

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventReader:
    """Split the bytes of an event stream into whole events.

    `partial` holds the bytes of an event that has not ended, `last_id` the
    id of the last whole event that has one, `count` the whole events.
    """

    def __init__(self) -> None:
        self.partial = b""
        self.last_id: bytes | None = None
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that are whole now, unchanged."""
        self.partial += data
        end = 0
        for match in _END.finditer(self.partial):
            self._record_event(self.partial[end : match.end()])
            end = match.end()
        whole, self.partial = self.partial[:end], self.partial[end:]
        return whole

    def restart(self) -> None:
        """Drop the partial event at the end of a broken stream."""
        self.partial = b""

    def _record_event(self, event: bytes) -> None:
        self.count += 1
        ids = _ID.findall(event)
        if ids:
            self.last_id = ids[-1]


__all__ = ("EventReader",)
