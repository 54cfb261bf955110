"""Structured logging with bounded rate and line size that never blocks."""

from __future__ import annotations

import collections
import json
import os
import signal
import threading
from typing import Any

import eliot
import msgspec

from cyclamenwing.gateway import clock

MAX_QUEUED_LINES = 2000
# The thread may be stuck in a write if the reader of the log has stopped
# reading; the process must end all the same.
FLUSH_TIMEOUT_S = 0.2
CONTROL_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class BoundedLog:
    """Write log messages as JSON lines in a thread of its own.

    Messages beyond the rate are dropped, and so are those that come while
    the queue is full because the reader of the log has stopped reading. The
    next line that is written counts them in `dropped_before`.

    :param descriptor: file descriptor to write to
    :param lines_per_s: most lines per second
    :param line_bytes: size above which a line is truncated
    """

    def __init__(
        self, descriptor: int, lines_per_s: int, line_bytes: int
    ) -> None:
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._line_bytes = line_bytes
        self._queue: collections.deque[bytes] = collections.deque()
        self._wake = threading.Event()
        # Held while a line is being written that is not queued any more.
        self._writing = threading.Lock()
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped = 0

    def start(self) -> None:
        """Start the writer thread and receive messages from eliot."""
        threading.Thread(target=self._write, daemon=True).start()
        eliot.add_destinations(self.enqueue)

    def stop(self) -> None:
        """Stop receiving messages."""
        eliot.remove_destination(self.enqueue)

    def enqueue(self, message: dict[str, Any]) -> None:
        """Queue a message, or drop it."""
        second = int(clock.read_time())
        if second != self._current_second:
            self._current_second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        if (
            self._lines_this_second > self._lines_per_s
            or len(self._queue) >= MAX_QUEUED_LINES
        ):
            self.dropped += 1
            return
        fields = {
            key: value
            for key, value in message.items()
            if key not in ("task_uuid", "task_level")
        }
        if self.dropped:
            fields["dropped_before"], self.dropped = self.dropped, 0
        self._queue.append(self._encode(fields))
        self._wake.set()

    def flush(self) -> None:
        """Write the queued lines after those that the thread has taken."""
        if self._writing.acquire(timeout=FLUSH_TIMEOUT_S):
            try:
                self._write_queued()
            finally:
                self._writing.release()

    def _encode(self, fields: dict[str, Any]) -> bytes:
        try:
            line = msgspec.json.encode(fields)
        except TypeError:
            line = json.dumps(fields, default=str).encode()
        if len(line) > self._line_bytes:
            truncated = {
                "message_type": fields.get("message_type"),
                "request": fields.get("request"),
                "cut": line[: self._line_bytes // 2].decode("latin-1"),
            }
            line = msgspec.json.encode(truncated)
        return line + b"\n"

    def _write(self) -> None:
        # The main thread decides when the process ignores signals.
        signal.pthread_sigmask(signal.SIG_BLOCK, CONTROL_SIGNALS)
        while True:
            self._wake.wait()
            self._wake.clear()
            with self._writing:
                self._write_queued()

    def _write_queued(self) -> None:
        while self._queue:
            try:
                data = self._queue.popleft()
                while data:
                    data = data[os.write(self._descriptor, data) :]
            except (OSError, IndexError):
                # The reader of the log has closed it, or `flush` has emptied
                # the queue meanwhile. Logging must not stop the service.
                self.dropped += 1
                return


__all__ = ("BoundedLog",)
