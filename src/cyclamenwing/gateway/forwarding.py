"""Forwarding of answers from endpoints to the client."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import h11

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import events
from cyclamenwing.gateway import request_context
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

# A client that reads no more of its answer is left this long after its
# deadline.
WRITE_MARGIN_S = 1.0
SUCCESS_STATUSES = range(200, 300)


class AnswerForwarder:
    """Forward the answer of one request to the client.

    A stream that breaks may be resumed at another endpoint; its events then
    go on in the same answer.

    :param record_answer: called once an answer of success has begun
    """

    def __init__(
        self,
        connection: h1.ServerConnection,
        context: request_context.RequestContext,
        record_answer: Callable[[request_context.RequestContext], None],
    ) -> None:
        self._connection = connection
        self._context = context
        self._record_answer = record_answer
        # Called with the first event or the whole answer of success.
        self.observe_begin: Callable[[], None] | None = None
        self.reader = events.EventReader()
        self.started = False
        # The whole answer of the endpoint is here and only has to be written.
        self.complete = False
        self.client_lost = False

    async def forward_whole(self, head: h1.ResponseHead, body: bytes) -> None:
        """Send a complete answer to the client."""
        self._record_first_byte(head)
        if head.status in SUCCESS_STATUSES:
            self._begin_answer()
        self.started = True
        self.complete = True
        await self._write_to_client(
            self._connection.respond(head.status, head.headers, body)
        )

    async def forward_stream(
        self, head: h1.ResponseHead, connection: h1_client.ClientConnection
    ) -> None:
        """Forward the events of a stream as they arrive.

        Until the stream ends only whole events are sent, so that a resumed
        stream can go on at an event boundary.
        """
        context = self._context
        self.reader.restart()
        while True:
            remaining_s = context.deadline_s - clock.read_time()
            data = await connection.read_data(max(remaining_s, 0.0))
            if data is None:
                break
            events_data = self.reader.feed(data)
            if self.reader.count and not context.events:
                self._begin_answer()
            context.events = self.reader.count
            if events_data:
                await self._forward_data(head, events_data)
        if self.reader.partial:
            raise transport_errors.ConnectionLostError(
                "the stream ended inside an event", "unknown"
            )
        if not self.started:
            if not _is_framed(head):
                raise transport_errors.ConnectionLostError(
                    "the connection ended before the first event", "unknown"
                )
            await self._forward_data(head, b"")
        await self._write_to_client(self._connection.finish())

    def _begin_answer(self) -> None:
        if self.observe_begin is not None:
            self.observe_begin()
        self._record_answer(self._context)

    async def _forward_data(self, head: h1.ResponseHead, data: bytes) -> None:
        if not self.started:
            self._record_first_byte(head)
            self.started = True
            await self._write_to_client(self._connection.start(head, None))
        if data:
            await self._write_to_client(self._connection.write(data))

    async def _write_to_client(self, write: Awaitable[None]) -> None:
        remaining_s = self._context.deadline_s - clock.read_time()
        try:
            async with asyncio.timeout(max(remaining_s, 0.0) + WRITE_MARGIN_S):
                await write
        except TimeoutError as err:
            self.client_lost = True
            self._connection.close()
            raise transport_errors.ConnectionLostError(
                "the client reads no more"
            ) from err
        except (transport_errors.TransportError, h11.LocalProtocolError):
            self.client_lost = True
            raise

    def _record_first_byte(self, head: h1.ResponseHead) -> None:
        if self._context.first_byte_s is None:
            self._context.first_byte_s = clock.read_time()
            self._context.status = head.status


def _is_framed(head: h1.ResponseHead) -> bool:
    """Return whether the body's end is told from that of the connection."""
    names = {name for name, _ in head.headers}
    return not names.isdisjoint((b"content-length", b"transfer-encoding"))


__all__ = (
    "SUCCESS_STATUSES",
    "AnswerForwarder",
)
