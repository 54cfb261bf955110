"""TCP proxy that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

READ_BYTES = 65_536
UP = "up"
DOWN = "down"


class Proxy:
    """Forward connections to an address, with faults set by the soak.

    A connection that has lost data in a direction loses all later data of
    that direction too, as after a network failure.

    :ivar delay_s: delay of each piece of data
    :ivar dropped: directions whose data is lost
    :ivar refusing: new connections are reset
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self.delay_s = 0.0
        self.dropped: frozenset[str] = frozenset()
        self.refusing = False
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            _reset(writer)

    def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        self.reset()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            _reset(writer)
            return
        host, _, port = self._target.partition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, target_writer}
        for source, sink, direction in (
            (reader, target_writer, UP),
            (target_reader, writer, DOWN),
        ):
            task = asyncio.ensure_future(
                self._forward(source, sink, direction)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        lost = False
        try:
            while data := await source.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                lost = lost or direction in self.dropped
                if not lost:
                    sink.write(data)
                    await sink.drain()
        except OSError:
            pass
        # The end of a connection is lost too while it is cut.
        if not lost and direction not in self.dropped:
            self._writers.discard(sink)
            sink.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


__all__ = ("DOWN", "UP", "Proxy")
