"""HTTP/1.1 server that passes each request to a coroutine."""

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
MAX_TRACEBACK_CHARS = 1500

Handler = Callable[[h1.ServerConnection, h1.Request], Awaitable[None]]


class Server(tcpserver.TCPServer):
    """Accept connections and call a handler for each request.

    The handler's task is cancelled when the client closes the connection.

    :param handler: coroutine that responds to one request
    :param read_limits: returns the limits that apply to the next request
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
        """Listen on ``ip:port`` and return the bound address.

        :raises BindFailedError: if the address can't be bound
        """
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
        """Serve the requests of one connection until it closes."""
        h1.configure_socket(stream.socket)
        connection = h1.ServerConnection(stream)
        self.connections.add(connection)
        try:
            while (
                not connection.closed and not connection.close_after_response
            ):
                if not await self._serve_one(connection):
                    break
        finally:
            self.connections.discard(connection)
            connection.close()

    def drain(self) -> None:
        """Close each connection after its next response that announces it.

        Responses that start from now on do. A connection whose response has
        started stays open for one more request, as its client may send it.
        """
        self.draining = True
        for connection in self.connections:
            if connection.response_pending:
                connection.close_after_response = True

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def count_active(self) -> int:
        """Return the number of connections that may have a request."""
        return sum(1 for c in self.connections if not c.idle)

    async def _serve_one(self, connection: h1.ServerConnection) -> bool:
        try:
            request = await connection.read_request(self._read_limits())
        except h1.RequestRefusedError as err:
            await self._refuse(connection, err)
            return False
        if request is None:
            return False
        if self.draining or _requests_close(request):
            connection.close_after_response = True
        task = asyncio.ensure_future(self._handler(connection, request))
        connection.set_close_callback(functools.partial(_cancel, task))
        if connection.closed:
            task.cancel()
        try:
            return await self._await_handler(connection, task)
        finally:
            connection.set_close_callback(None)

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
            eliot.log_message("server:exchange_failed", reason=str(err))
            return False
        except Exception as err:
            # A fault in a handler must not end the process. The connection
            # is closed, so the client sees an incomplete response.
            eliot.log_message(
                "server:handler_failed",
                reason=repr(err),
                trace=traceback.format_exc()[-MAX_TRACEBACK_CHARS:],
            )
            return False
        return True

    async def _refuse(
        self, connection: h1.ServerConnection, error: h1.RequestRefusedError
    ) -> None:
        eliot.log_message(
            "server:refused", status=error.http_status, reason=error.message
        )
        connection.close_after_response = True
        try:
            await connection.respond(error.http_status, (), b"")
        except (errors.TransportError, h11.LocalProtocolError) as err:
            eliot.log_message("server:exchange_failed", reason=str(err))


def _cancel(task: asyncio.Future[None]) -> None:
    task.cancel()


def _requests_close(request: h1.Request) -> bool:
    value = h1.find_header(request.headers, b"connection") or b""
    return b"close" in value.lower()


__all__ = (
    "Handler",
    "Server",
)
