"""Parsing of server-sent events."""

from __future__ import annotations

import re

from cyclamenwing.transport import errors as transport_errors

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# Begins of lines that are no field, comment or end of an event, as in the head
# or text of an error. Most streams end lines by a line feed alone, and the
# search for these is several times as fast.
_FOREIGN_START = re.compile(rb"(?!\xef\xbb\xbf)[^a-z:\r\n]")
_FOREIGN_LINE = re.compile(rb"\n[^a-z:\r\n]")
_FOREIGN_LINE_ANY_END = re.compile(rb"[\r\n][^a-z:\r\n]")


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
        self._resumed = False

    @property
    def partial(self) -> bytes:
        """Return the bytes of an event that has not ended."""
        return bytes(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that are whole now, unchanged.

        The time is linear in the new bytes, however small the pieces are.

        :raises MalformedMessageError: if an event has no end, the bytes are
            no events, or a resumed stream repeats one
        """
        begin = max(len(self._partial) - _END_OVERLAP, 0)
        self._partial += data
        ends = [m.end() for m in _END.finditer(self._partial, begin)]
        whole = bytes(self._partial[: ends[-1]]) if ends else b""
        if _has_foreign_line(whole):
            raise transport_errors.MalformedMessageError(
                "the stream has bytes that are no event", "unknown"
            )
        self._check_resumed(whole)
        self.count += len(ends)
        del self._partial[: len(whole)]
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
        self._resumed = self.last_id is not None

    def _check_resumed(self, whole: bytes) -> None:
        """Check that the first event after a restart follows the last one.

        :raises MalformedMessageError: if the ids don't increase
        """
        if not self._resumed or not whole:
            return
        self._resumed = False
        found = _ID.search(whole)
        first, last = found and found[1], self.last_id
        if first is None or last is None:
            return
        if first.isdigit() and last.isdigit() and int(first) <= int(last):
            raise transport_errors.MalformedMessageError(
                "the resumed stream repeats an event", "unknown"
            )


def _has_foreign_line(data: bytes) -> bool:
    pattern = _FOREIGN_LINE_ANY_END if b"\r" in data else _FOREIGN_LINE
    return bool(_FOREIGN_START.match(data) or pattern.search(data))


__all__ = ("EventReader",)
