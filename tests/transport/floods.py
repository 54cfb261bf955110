"""Peers that send bytes without end, from a thread at full speed."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import pathlib
import socket
import threading
import time
from collections.abc import Iterator

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nReplica-Stamp: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
UNBOUNDED = HEAD + b"\r\n"
BLOCK_BYTES = 65_536
MAX_SECONDS = 30.0


def make_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


# What a peer sends once, and then again and again.
FORMS: dict[str, tuple[bytes, bytes]] = {
    "interim heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "head": (HEAD, b"X-Filler: 0123456789\r\n"),
    "header line": (HEAD + b"X-Filler: ", b"0123456789"),
    "chunk size": (CHUNKED, b"0"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Filler: 0123456789\r\n"),
    "chunks of 1 byte": (CHUNKED, make_chunk(b"x")),
    "chunks of 4 KB": (CHUNKED, make_chunk(b"x" * 4096)),
    "body": (UNBOUNDED, b"x" * 4096),
    "lines": (UNBOUNDED, b"data: 0123456789\n"),
    "comments": (UNBOUNDED, b": 0123456789\n\n"),
    "blank lines": (UNBOUNDED, b"\n"),
    "events": (UNBOUNDED, b"id: 7\ndata: 7\n\n"),
    "chunked events": (CHUNKED, make_chunk(b"id: 7\ndata: 7\n\n")),
}
# Forms that no reader has to take until its time is over.
INVALID_FORMS = ("interim heads", "head", "header line", "chunk size")


class Flood:
    """Accept one connection at a time and send one form until it closes.

    :param pause_s: pause after each repetition, 0 for full speed
    """

    def __init__(
        self, start: bytes, repeated: bytes, pause_s: float = 0.0
    ) -> None:
        self._start = start
        self._block = repeated
        self._pause_s = pause_s
        if not pause_s:
            self._block *= max(BLOCK_BYTES // len(repeated), 1)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.settimeout(0.1)
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self.sent_bytes = 0
        self._thread.start()

    def stop(self) -> None:
        self._ended.set()
        self._thread.join()
        self._socket.close()

    def _run(self) -> None:
        while not self._ended.is_set():
            try:
                peer, _ = self._socket.accept()
            except TimeoutError:
                continue
            with peer, contextlib.suppress(OSError):
                self._send(peer)

    def _send(self, peer: socket.socket) -> None:
        peer.settimeout(1.0)
        peer.recv(BLOCK_BYTES)
        peer.sendall(self._start)
        end_s = time.monotonic() + MAX_SECONDS
        while not self._ended.is_set() and time.monotonic() < end_s:
            peer.sendall(self._block)
            self.sent_bytes += len(self._block)
            time.sleep(self._pause_s)


@contextlib.contextmanager
def send_flood(form: str) -> Iterator[Flood]:
    flood = Flood(*FORMS[form])
    try:
        yield flood
    finally:
        flood.stop()


def read_run_delay() -> float:
    """Return the seconds that this process's threads waited for a processor.

    The scheduler counts them while a thread could run but another one does.
    """
    delay_ns = 0
    for path in pathlib.Path("/proc/self/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):
            delay_ns += int(path.read_text().split()[1])
    return delay_ns / 1e9


class LoopWatch:
    """Measure the longest time for which the event loop stood still.

    Time in which this process waited for a processor is left out: beside
    other busy processes the loop then stands still without its own doing.

    What earlier tests have left in memory is frozen meanwhile: late in a whole
    run a full pass of the garbage collector takes 0.15 to 0.34 s because of
    it. Passes over what the code under test allocates count as before.
    """

    INTERVAL_S = 0.01

    def __init__(self) -> None:
        self.longest_s = 0.0
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> LoopWatch:
        gc.collect()
        gc.freeze()
        self._task = asyncio.create_task(self._run())
        await asyncio.sleep(2 * self.INTERVAL_S)
        self.longest_s = 0.0
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._task is not None
        await asyncio.sleep(self.INTERVAL_S)
        self._task.cancel()
        gc.unfreeze()

    async def _run(self) -> None:
        while True:
            started_s = time.monotonic()
            delay_s = read_run_delay()
            await asyncio.sleep(self.INTERVAL_S)
            elapsed_s = time.monotonic() - started_s - self.INTERVAL_S
            if elapsed_s > self.longest_s:
                elapsed_s -= read_run_delay() - delay_s
            self.longest_s = max(self.longest_s, elapsed_s)
