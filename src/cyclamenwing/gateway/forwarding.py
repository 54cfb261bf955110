"""Passing of an answer to the client, from one endpoint or several."""

from __future__ import annotations

from collections.abc import Awaitable

import h11

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import events
from cyclamenwing.gateway import request_context
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1client


class Passing:
    """Pass an answer on to the client, from one endpoint or several."""

    def __init__(
        self, connection: h1.ServerConnection, item: request_context.Ticket
    ) -> None:
        self._connection = connection
        self._item = item
        self.reader = events.EventReader()
        self.started = False
        self.client_lost = False

    async def pass_whole(self, head: h1.Head, body: bytes) -> None:
        """Pass a whole answer on."""
        self._note_first(head)
        self.started = True
        await self._guard(
            self._connection.respond(head.status, head.headers, body)
        )

    async def pass_stream(
        self, head: h1.Head, connection: h1client.ClientConnection
    ) -> None:
        """Pass events on as they arrive."""
        item = self._item
        self.reader.restart()
        while True:
            left_s = item.limit_s - clock.read_time()
            data = await connection.read_data(max(left_s, 0.0))
            if data is None:
                break
            whole = self.reader.feed(data)
            item.events = self.reader.count
            if whole:
                await self._write(head, whole)
        if self.reader.rest or not self.started:
            await self._write(head, self.reader.rest)
        await self._guard(self._connection.finish())

    async def _write(self, head: h1.Head, data: bytes) -> None:
        if not self.started:
            self._note_first(head)
            self.started = True
            await self._guard(self._connection.start(head, None))
        if data:
            await self._guard(self._connection.write(data))

    async def _guard(self, work: Awaitable[None]) -> None:
        try:
            await work
        except (transport_errors.TransportError, h11.LocalProtocolError):
            self.client_lost = True
            raise

    def _note_first(self, head: h1.Head) -> None:
        if self._item.first_byte_s is None:
            self._item.first_byte_s = clock.read_time()
            self._item.status = head.status


__all__ = ("Passing",)
