"""Log lines are bounded in rate and size and never block the service.

A reader that stops reading, or a burst of messages, must not stall requests.
"""

from __future__ import annotations

import json
import os
import threading
import time

import pytest

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import logs


@pytest.fixture
def frozen_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clock, "read_time", lambda: 5.0)


def write_lines(count: int, per_s: int, size: int = 500) -> list[bytes]:
    read, write = os.pipe()
    log = logs.BoundedLog(write, per_s, size)
    for number in range(count):
        log.enqueue({"message_type": "x", "request": "r", "n": "n" * number})
    log.flush()
    os.close(write)
    data = os.read(read, 1_000_000)
    os.close(read)
    return data.splitlines()


@pytest.mark.usefixtures("frozen_time")
def test_lines_beyond_the_rate_are_dropped() -> None:
    assert len(write_lines(50, per_s=20)) == 20


def test_dropped_lines_are_counted_in_the_next_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read, write = os.pipe()
    log = logs.BoundedLog(write, 2, 500)
    now = [1.0]
    monkeypatch.setattr(clock, "read_time", lambda: now[0])
    for _ in range(5):
        log.enqueue({"message_type": "x"})
    now[0] = 2.0
    log.enqueue({"message_type": "y"})
    log.flush()
    lines = os.read(read, 10_000).splitlines()
    assert json.loads(lines[-1])["dropped_before"] == 3
    os.close(read)
    os.close(write)


@pytest.mark.usefixtures("frozen_time")
def test_long_lines_are_truncated_to_valid_json() -> None:
    lines = write_lines(100, per_s=1000, size=60)
    assert all(len(line) <= 200 for line in lines)
    assert all(json.loads(line)["message_type"] == "x" for line in lines)


def test_stalled_log_reader_does_not_block_the_service() -> None:
    read, write = os.pipe()
    log = logs.BoundedLog(write, 1_000_000, 2000)
    log.start()
    started_s = time.monotonic()
    for _ in range(5 * logs.MAX_QUEUED_LINES):
        log.enqueue({"message_type": "x", "text": "y" * 500})
    assert time.monotonic() - started_s < 2.0
    assert log.dropped > 0
    log.stop()
    os.close(read)


def test_flush_waits_for_a_line_that_the_thread_is_writing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    written = []
    taken = threading.Event()

    def write_slowly(_: int, data: bytes) -> int:
        if not taken.is_set():
            taken.set()
            time.sleep(0.1)
        written.append(json.loads(data)["message_type"])
        return len(data)

    monkeypatch.setattr(os, "write", write_slowly)
    log = logs.BoundedLog(-1, 100, 1000)
    log.start()
    try:
        log.enqueue({"message_type": "first"})
        assert taken.wait(1.0)
        log.enqueue({"message_type": "last"})
        log.flush()
        # The process ends now, and the thread with it.
        assert written == ["first", "last"]
    finally:
        log.stop()
