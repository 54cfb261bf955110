"""Parsing of event streams that arrive in chunks of any size.

A chunk may end in the middle of an event or of its end mark.
"""

from __future__ import annotations

import pytest

from cyclamenwing.gateway import events

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n"


@pytest.mark.parametrize("size", range(1, len(STREAM)))
def test_events_are_whole_for_any_chunk_size(size: int) -> None:
    reader = events.EventReader()
    parts = [STREAM[i : i + size] for i in range(0, len(STREAM), size)]
    assert b"".join(reader.feed(part) for part in parts) == STREAM
    assert (reader.count, reader.last_id, reader.partial) == (3, b"3", b"")


def test_partial_event_is_held_back_and_dropped_on_restart() -> None:
    reader = events.EventReader()
    assert reader.feed(b"id: 1\n\nid: 2\nda") == b"id: 1\n\n"
    reader.restart()
    assert reader.feed(b"id: 2\n\n") == b"id: 2\n\n"
    assert reader.last_id == b"2"
