"""Forwarding of answers from endpoints to the client."""

from __future__ import annotations

from collections.abc import Callable

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import delivery
from cyclamenwing.gateway import events
from cyclamenwing.gateway import request_context
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

SUCCESS_STATUSES = range(200, 300)
EVENT_STREAM = b"text/event-stream"


class AnswerForwarder:
    """Forward the answer of one request to the client.

    The endpoint is read on while the client does not read. A stream that
    breaks may be resumed at another endpoint; its events then go on in the
    same answer.

    :param answer_delivery: writes the answer to the client
    :param record_answer: called once an answer of success has begun
    """

    def __init__(
        self,
        answer_delivery: delivery.Delivery,
        context: request_context.RequestContext,
        record_answer: Callable[[request_context.RequestContext], None],
    ) -> None:
        self._delivery = answer_delivery
        self._context = context
        self._record_answer = record_answer
        # Called with the first event or the whole answer of success.
        self.observe_begin: Callable[[], None] | None = None
        self.reader = events.EventReader()
        self.started = False
        self._content_type = EVENT_STREAM
        # The whole answer of the endpoint is here and only has to be written.
        self.complete = False

    @property
    def client_lost(self) -> bool:
        """Return whether the client gets no more of the answer."""
        return self._delivery.lost

    async def forward_whole(
        self,
        head: h1.ResponseHead,
        connection: h1_client.ClientConnection,
        timeout_s: float,
        max_bytes: int,
    ) -> None:
        """Read a complete answer, then begin to send it to the client.

        :param timeout_s: longest time for reading it

        :raises ConnectionSilentError: if it is not complete in time
        :raises ResponseTooLargeError: if it exceeds `max_bytes`
        """
        until_s = clock.read_time() + timeout_s
        size = 0
        try:
            while (
                data := await connection.read_data(
                    max(until_s - clock.read_time(), 0.0)
                )
            ) is not None:
                size += len(data)
                if size > max_bytes:
                    raise transport_errors.ResponseTooLargeError(
                        connection.address
                    )
                self._delivery.hold(data)
        except transport_errors.TransportError:
            self._delivery.forget()
            raise
        self._record_first_byte(head)
        if head.status in SUCCESS_STATUSES:
            self._begin_answer()
        self.started = True
        self.complete = True
        self._delivery.start(head, size)

    async def forward_stream(
        self, head: h1.ResponseHead, connection: h1_client.ClientConnection
    ) -> None:
        """Forward the events of a stream until the endpoint has sent all.

        Until the stream ends only whole events are sent, so that a resumed
        stream can go on at an event boundary.
        """
        context = self._context
        self._check_content_type(head)
        self.reader.restart()
        while True:
            await self._delivery.wait_room()
            remaining_s = context.deadline_s - clock.read_time()
            data = await connection.read_data(max(remaining_s, 0.0))
            if data is None:
                break
            events_data = self.reader.feed(data)
            if self.reader.count and not context.events:
                self._begin_answer()
            context.events = self.reader.count
            if events_data:
                await context.cover_events(self.reader.count)
                self._start(head)
                self._delivery.write(events_data, self.reader.count)
        if self.reader.partial:
            raise transport_errors.ConnectionLostError(
                "the stream ended inside an event", "unknown"
            )
        if not self.started and not _is_framed(head):
            raise transport_errors.ConnectionLostError(
                "the connection ended before the first event", "unknown"
            )
        self._start(head)
        self.complete = True

    async def finish(self) -> None:
        """Write the rest of a complete answer as the client reads it.

        :raises ConnectionLostError: if the client does not
        """
        await self._delivery.finish()

    async def write_rest(self) -> None:
        """Write the events of an incomplete answer until the deadline.

        :raises ConnectionLostError: if the client does not read them
        """
        if self.started:
            await self._delivery.write_rest()

    def discard(self) -> None:
        """Write nothing more."""
        self._delivery.discard()

    def _check_content_type(self, head: h1.ResponseHead) -> None:
        """Check that the answer to a resumed stream goes on with it.

        The text of an error may come with a status of success.

        :raises MalformedMessageError: if it is of another type
        """
        found = _read_type(head)
        if not self.started:
            self._content_type = found or EVENT_STREAM
        elif found and found != self._content_type:
            raise transport_errors.MalformedMessageError(
                f"resumed stream answered with {found!r}", "unknown"
            )

    def _begin_answer(self) -> None:
        if self.observe_begin is not None:
            self.observe_begin()
        self._record_answer(self._context)

    def _start(self, head: h1.ResponseHead) -> None:
        if not self.started:
            self._record_first_byte(head)
            self.started = True
            self._delivery.start(head, None)

    def _record_first_byte(self, head: h1.ResponseHead) -> None:
        if self._context.first_byte_s is None:
            self._context.first_byte_s = clock.read_time()
            self._context.status = head.status


def _read_type(head: h1.ResponseHead) -> bytes:
    """Return the media type of an answer, without its parameters."""
    value = h1.find_header(head.headers, b"content-type") or b""
    return value.partition(b";")[0].strip().lower()


def _is_framed(head: h1.ResponseHead) -> bool:
    """Return whether the body's end is told from that of the connection."""
    names = {name for name, _ in head.headers}
    return not names.isdisjoint((b"content-length", b"transfer-encoding"))


__all__ = (
    "SUCCESS_STATUSES",
    "AnswerForwarder",
)
