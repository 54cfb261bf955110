"""Listening sockets whose connections are served request by request."""

from __future__ import annotations

import asyncio
import functools
import socket
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

import eliot
import h11
from tornado import iostream
from tornado import netutil
from tornado import tcpserver

from cyclamenwing.transport import errors
from cyclamenwing.transport import h1

BACKLOG = 512
MAX_TRACE = 1500

Handler = Callable[[h1.ServerConnection, h1.Request], Awaitable[None]]


class Server(tcpserver.TCPServer):
    """Accept connections and hand each request to a handler.

    A client that leaves cancels the handler's task.

    :param handler: answers one request
    :param read_limits: returns the limits in force
    """

    def __init__(
        self,
        handler: Handler,
        read_limits: Callable[[], h1.Limits],
    ) -> None:
        super().__init__(
            max_buffer_size=h1.MAX_READ_BUFFER_BYTES * 8,
        )
        self._handler = handler
        self._read_limits = read_limits
        self.connections: set[h1.ServerConnection] = set()
        self.draining = False

    def bind_address(self, address: str) -> str:
        """Listen on ``ip:port``; return the bound address."""
        host, _, port = address.rpartition(":")
        try:
            sockets = netutil.bind_sockets(
                int(port), host, socket.AF_INET, BACKLOG
            )
        except OSError as err:
            raise errors.BindFailedError(address, str(err)) from err
        self.add_sockets(sockets)
        bound = sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def handle_stream(
        self, stream: iostream.IOStream, address: object
    ) -> None:
        """Serve one connection until it ends."""
        h1.configure_socket(stream.socket)
        connection = h1.ServerConnection(stream)
        self.connections.add(connection)
        try:
            while not connection.closed and not connection.closing:
                if not await self._serve_one(connection):
                    break
        finally:
            self.connections.discard(connection)
            connection.close()

    def drain(self) -> None:
        """Announce with each further answer that its connection closes."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections on which no request is on its way."""
        for connection in list(self.connections):
            if not connection.reading:
                connection.close()

    def count_active(self) -> int:
        """Return the connections with a request on its way."""
        return sum(1 for c in self.connections if c.reading)

    async def _serve_one(self, connection: h1.ServerConnection) -> bool:
        try:
            request = await connection.read_request(self._read_limits())
        except h1.RequestRefusedError as err:
            await self._refuse(connection, err)
            return False
        if request is None:
            return False
        if self.draining or _asks_to_close(request):
            connection.closing = True
        task = asyncio.ensure_future(self._handler(connection, request))
        connection.on_close(functools.partial(_cancel, task))
        if connection.closed:
            task.cancel()
        try:
            served = await self._await_handler(connection, task)
        finally:
            connection.on_close(None)
        if self.draining:
            # An answer that began before the drain did not announce it.
            connection.closing = True
        return served

    async def _await_handler(
        self, connection: h1.ServerConnection, task: asyncio.Future[None]
    ) -> bool:
        try:
            await task
        except asyncio.CancelledError:
            if not connection.closed:
                raise
            return False
        except (errors.TransportError, h11.LocalProtocolError) as err:
            eliot.log_message("server:broken", reason=str(err))
            return False
        except Exception as err:
            # One faulty request must not end the process; the client sees
            # an answer that is not complete.
            eliot.log_message(
                "server:handler_failed",
                reason=repr(err),
                trace=traceback.format_exc()[-MAX_TRACE:],
            )
            return False
        return True

    async def _refuse(
        self, connection: h1.ServerConnection, error: h1.RequestRefusedError
    ) -> None:
        eliot.log_message(
            "server:refused", status=error.http_status, reason=error.message
        )
        connection.closing = True
        try:
            await connection.respond(error.http_status, (), b"")
        except (errors.TransportError, h11.LocalProtocolError) as err:
            eliot.log_message("server:broken", reason=str(err))


def _cancel(task: asyncio.Future[None]) -> None:
    task.cancel()


def _asks_to_close(request: h1.Request) -> bool:
    value = h1.find_header(request.headers, b"connection") or b""
    return b"close" in value.lower()


__all__ = (
    "Handler",
    "Server",
)
