"""Proxy between one gateway and the store that can silence connections."""

from __future__ import annotations

import asyncio
import time


class Link:
    """One connection through the proxy, and the call that waits on it."""

    def __init__(self) -> None:
        self.waiting = ""
        self.since_s = 0.0
        self.silent = False
        self.writers: list[asyncio.StreamWriter] = []


class StoreProxy:
    """Forward connections to the store.

    A silenced connection stays open and passes nothing on in either direction.

    :ivar cut: new connections are silent as well
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ""
        self.cut = False
        self.links: set[Link] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self) -> str:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self.address

    def list_waiting(self, text: str) -> list[Link]:
        """Return the connections on which a call with a text is waiting."""
        return [i for i in self.links if text in i.waiting and not i.silent]

    def partition(self) -> None:
        """Silence all connections, those to come too."""
        self.cut = True
        for link in self.links:
            link.silent = True

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for link in list(self.links):
            for writer in link.writers:
                writer.transport.abort()

    async def _accept(self, reader, writer) -> None:
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        link = Link()
        link.silent = self.cut
        link.writers = [writer, far_writer]
        self.links.add(link)
        for source, sink, calls in (
            (reader, far_writer, True),
            (far_reader, writer, False),
        ):
            task = asyncio.create_task(self._copy(link, source, sink, calls))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(self, link, source, sink, calls: bool) -> None:
        try:
            while data := await source.read(65536):
                if link.silent:
                    continue
                if calls and data[:4] in (b"GET ", b"POST"):
                    link.waiting = data.split(b"\r\n")[0].decode("latin-1")
                    link.since_s = time.monotonic()
                elif not calls:
                    link.waiting = ""
                sink.write(data)
                await sink.drain()
        except (OSError, asyncio.CancelledError):
            pass
        if not link.silent:
            self.links.discard(link)
            sink.close()
