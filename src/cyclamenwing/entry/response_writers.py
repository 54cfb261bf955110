"""Where the bytes of an answer go."""

from __future__ import annotations

from typing import Protocol

BUFFER_BYTES = 256 * 1024


class ResponseWriter(Protocol):
    """Take an answer; `open` may come again before the first bytes."""

    async def open(self, status: int, headers: dict[str, str]) -> None:
        """Take the status line and headers."""

    async def write(self, data: bytes) -> None:
        """Take bytes of the answer."""

    async def finish(self) -> None:
        """Take note that the answer is whole."""


class BufferedWriter:
    """Hold an answer back until it is whole, up to a bound.

    What is held can still be given up for another run's answer or a
    coded refusal.

    :param sink: where the answer goes
    :param hold_bytes: bytes to hold; 0 passes all on at once
    """

    def __init__(
        self, sink: ResponseWriter, hold_bytes: int = BUFFER_BYTES
    ) -> None:
        self._sink = sink
        self._hold_bytes = hold_bytes
        self._held = bytearray()
        self.passed = 0

    async def open(self, status: int, headers: dict[str, str]) -> None:
        """Take the status line and headers."""
        await self._sink.open(status, headers)

    async def write(self, data: bytes) -> None:
        """Hold bytes, or pass them on beyond the bound."""
        self._held.extend(data)
        if len(self._held) > self._hold_bytes:
            await self._pass()

    async def finish(self) -> None:
        """Pass on what is held."""
        await self._pass()
        await self._sink.finish()

    def reset(self) -> bool:
        """Forget what is held; False means that bytes were passed on."""
        if self.passed:
            return False
        self._held.clear()
        return True

    async def _pass(self) -> None:
        if self._held:
            data = bytes(self._held)
            self._held.clear()
            self.passed += len(data)
            await self._sink.write(data)


class RecordingWriter:
    """Keep a copy of a small answer beside passing it on.

    :param sink: where the answer goes
    :param max_bytes: bytes to keep at most
    """

    def __init__(self, sink: ResponseWriter, max_bytes: int) -> None:
        self._sink = sink
        self._max_bytes = max_bytes
        self._copy = bytearray()
        self.status = 0
        self.headers: dict[str, str] = {}

    @property
    def body(self) -> bytes | None:
        """Return the whole answer; None if it was too large."""
        if len(self._copy) > self._max_bytes:
            return None
        return bytes(self._copy)

    async def open(self, status: int, headers: dict[str, str]) -> None:
        """Take the status line and headers."""
        self.status = status
        self.headers = headers
        await self._sink.open(status, headers)

    async def write(self, data: bytes) -> None:
        """Take bytes of the answer."""
        self._copy.extend(data[: self._max_bytes + 1 - len(self._copy)])
        await self._sink.write(data)

    async def finish(self) -> None:
        """Take note that the answer is whole."""
        await self._sink.finish()


__all__ = (
    "BUFFER_BYTES",
    "BufferedWriter",
    "RecordingWriter",
    "ResponseWriter",
)
