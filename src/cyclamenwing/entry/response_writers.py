"""Writers that pass an answer on to the caller."""

from __future__ import annotations

from typing import Protocol

MAX_BUFFER_BYTES = 256 * 1024


class ResponseWriter(Protocol):
    """Write an answer; `open` may be called again before `write`."""

    async def open(self, status: int, headers: dict[str, str]) -> None:
        """Set the status and headers."""

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer."""

    async def finish(self) -> None:
        """End a complete answer."""


class BufferedWriter:
    """Buffer an answer until it is complete or exceeds a limit.

    Buffered bytes can still be replaced by another run's answer or by a
    coded refusal.

    :param writer: receives the answer
    :param buffer_bytes: most bytes to buffer; 0 buffers nothing
    """

    def __init__(
        self, writer: ResponseWriter, buffer_bytes: int = MAX_BUFFER_BYTES
    ) -> None:
        self._writer = writer
        self._buffer_bytes = buffer_bytes
        self._buffer = bytearray()
        self.sent_bytes = 0

    async def open(self, status: int, headers: dict[str, str]) -> None:
        """Set the status and headers."""
        await self._writer.open(status, headers)

    async def write(self, data: bytes) -> None:
        """Buffer bytes; flush the buffer if it exceeds the limit."""
        self._buffer.extend(data)
        if len(self._buffer) > self._buffer_bytes:
            await self._flush()

    async def finish(self) -> None:
        """Flush the buffer and end the answer."""
        await self._flush()
        await self._writer.finish()

    def reset(self) -> bool:
        """Discard the buffer; return False if bytes were already sent."""
        if self.sent_bytes:
            return False
        self._buffer.clear()
        return True

    async def _flush(self) -> None:
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            self.sent_bytes += len(data)
            await self._writer.write(data)


class RecordingWriter:
    """Pass an answer on and keep a copy of a small one.

    :param writer: receives the answer
    :param max_bytes: size of the largest answer to keep
    """

    def __init__(self, writer: ResponseWriter, max_bytes: int) -> None:
        self._writer = writer
        self._max_bytes = max_bytes
        self._copy = bytearray()
        self.status = 0
        self.headers: dict[str, str] = {}

    @property
    def body(self) -> bytes | None:
        """Return the copied answer; None if it was too large."""
        if len(self._copy) > self._max_bytes:
            return None
        return bytes(self._copy)

    async def open(self, status: int, headers: dict[str, str]) -> None:
        """Set the status and headers."""
        self.status = status
        self.headers = headers
        await self._writer.open(status, headers)

    async def write(self, data: bytes) -> None:
        """Write bytes of the answer."""
        self._copy.extend(data[: self._max_bytes + 1 - len(self._copy)])
        await self._writer.write(data)

    async def finish(self) -> None:
        """End a complete answer."""
        await self._writer.finish()


__all__ = (
    "MAX_BUFFER_BYTES",
    "BufferedWriter",
    "RecordingWriter",
    "ResponseWriter",
)
