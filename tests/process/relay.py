"""TCP relay that can stop forwarding without closing connections."""

from __future__ import annotations

import asyncio


class Relay:
    """Forward connections to an address until they are silenced.

    A silenced connection stays open, as after a network failure.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._silence_events: set[asyncio.Event] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def silence(self) -> None:
        """Stop forwarding on all connections that are open now."""
        for event in self._silence_events:
            event.set()
        self._silence_events.clear()

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        ip, _, port = self._target.partition(":")
        target_reader, target_writer = await asyncio.open_connection(
            ip, int(port)
        )
        silenced = asyncio.Event()
        self._silence_events.add(silenced)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(_forward(source, sink, silenced))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


async def _forward(
    source: asyncio.StreamReader,
    sink: asyncio.StreamWriter,
    silenced: asyncio.Event,
) -> None:
    try:
        while data := await source.read(65536):
            if silenced.is_set():
                continue
            sink.write(data)
            await sink.drain()
    except ConnectionError:
        pass
    if not silenced.is_set():
        sink.close()
