"""TCP proxy whose open connections can go silent while new ones work."""

import asyncio


class Link:
    """Hold a connection and whether it has gone silent."""

    def __init__(self):
        self.silent = False
        self.writers = []


class Proxy:
    """Forward connections to an address."""

    def __init__(self, target):
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._links = set()
        self._open = asyncio.Event()
        self._open.set()
        self._server = None

    async def start(self):
        """Listen and return the address."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def silence(self):
        """Let all open connections go silent for good, without a reset.

        Bytes that either side sends from now on are dropped, and so is the
        end of the other side. Return the number of connections.
        """
        for link in self._links:
            link.silent = True
        return len(self._links)

    def cut(self):
        """Hold up all bytes, also of new connections, until `heal`."""
        self._open.clear()

    def heal(self):
        """Let bytes pass again, those that were held up first."""
        self._open.set()

    def stop(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for link in self._links:
            for writer in link.writers:
                writer.transport.abort()

    async def _serve(self, reader, writer):
        link = Link()
        self._links.add(link)
        await self._open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._port)
        except OSError:
            writer.transport.abort()
            self._links.discard(link)
            return
        link.writers = [writer, far_writer]
        await asyncio.gather(
            self._copy(link, reader, far_writer),
            self._copy(link, far_reader, writer))
        self._links.discard(link)
        for end in (writer, far_writer):
            end.close()

    async def _copy(self, link, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._open.wait()
                if not link.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not link.silent:
            writer.close()
