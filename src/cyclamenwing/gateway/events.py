"""Events of a stream, cut out of its bytes."""

from __future__ import annotations

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


class EventReader:
    """Split a stream's bytes into whole events."""

    def __init__(self) -> None:
        self.partial = b""
        self.last_id: bytes | None = None
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are there, as they came."""
        self.partial += data
        end = 0
        for match in _END.finditer(self.partial):
            self._record_event(self.partial[end : match.end()])
            end = match.end()
        whole, self.partial = self.partial[:end], self.partial[end:]
        return whole

    def restart(self) -> None:
        """Drop the part of an event that a broken stream left."""
        self.partial = b""

    def _record_event(self, event: bytes) -> None:
        self.count += 1
        ids = _ID.findall(event)
        if ids:
            self.last_id = ids[-1]


__all__ = ("EventReader",)
