"""TCP relay whose open connections can go silent."""

from __future__ import annotations

import asyncio


class Relay:
    """Forward connections to an address until they are silenced."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._silent: set[asyncio.Event] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def silence(self) -> None:
        """Forward nothing more on the connections that are open now."""
        for event in self._silent:
            event.set()
        self._silent.clear()

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
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        silent = asyncio.Event()
        self._silent.add(silent)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(_pump(source, sink, silent))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)


async def _pump(
    source: asyncio.StreamReader,
    sink: asyncio.StreamWriter,
    silent: asyncio.Event,
) -> None:
    try:
        while data := await source.read(65536):
            if silent.is_set():
                continue
            sink.write(data)
            await sink.drain()
    except ConnectionError:
        pass
    if not silent.is_set():
        sink.close()
