"""HTTP/1.1 connection of a caller, by h11 on asyncio's streams."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import h11

CONNECT_TIMEOUT_S = 1.0
READ_BYTES = 65_536


class LostError(Exception):
    """Report a connection that ended before the answer was complete."""


class Message(NamedTuple):
    """Hold what is sent."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes


class Answer:
    """Collect an answer as it arrives; `status` is 0 until it begins."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False


class Connection:
    """Send one request after the other on a connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._h11 = h11.Connection(h11.CLIENT)
        self.uses = 0

    @classmethod
    async def open(cls, address: str) -> Connection:
        """Connect to ``ip:port``.

        :raises OSError: if the peer does not accept
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer)

    @property
    def usable(self) -> bool:
        """Return whether the peer still accepts a request."""
        return not self._reader.at_eof() and self._h11.states == {
            h11.CLIENT: h11.IDLE,
            h11.SERVER: h11.IDLE,
        }

    async def exchange(self, message: Message, answer: Answer) -> None:
        """Send a request and fill in its answer.

        :raises LostError: if the connection ends first
        """
        self.uses += 1
        try:
            self._send(message)
            while not answer.whole:
                self._take(answer, await self._read_event())
        except (OSError, h11.RemoteProtocolError) as err:
            raise LostError(repr(err)) from err
        if self._h11.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._h11.start_next_cycle()

    def close(self) -> None:
        """Close at once."""
        self._writer.close()

    def _send(self, message: Message) -> None:
        headers = [
            *message.headers,
            ("Content-Length", str(len(message.body))),
        ]
        data = b"".join(
            self._h11.send(event) or b""
            for event in (
                h11.Request(
                    method=message.method,
                    target=message.target,
                    headers=headers,
                ),
                h11.Data(data=message.body),
                h11.EndOfMessage(),
            )
        )
        self._writer.write(data)

    async def _read_event(self) -> h11.Event | type[h11.PAUSED]:
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            self._h11.receive_data(await self._reader.read(READ_BYTES))
        return event  # type: ignore[return-value]

    def _take(
        self, answer: Answer, event: h11.Event | type[h11.PAUSED]
    ) -> None:
        if isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {
                key.decode(): value.decode() for key, value in event.headers
            }
        elif isinstance(event, h11.Data):
            answer.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            answer.whole = True
        else:
            raise LostError(f"closed: {event}")


__all__ = ("Answer", "Connection", "LostError", "Message")
