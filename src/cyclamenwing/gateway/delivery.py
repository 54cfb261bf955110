"""Writing of answers to clients that may not read them at once."""

from __future__ import annotations

import asyncio

import eliot
import h11

from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import read_ahead
from cyclamenwing.gateway import request_context
from cyclamenwing.metrics import recorder
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1

# A client that reads no more of its answer is left this long after its
# deadline.
WRITE_MARGIN_S = 1.0
# A complete answer is kept for a client beyond that while the client has read
# some of it within this time.
MAX_PAUSE_S = 10.0

HELD = metric_types.Gauge(
    "gateway_read_ahead_bytes",
    "Memory of answers that are held for clients that do not read",
)
DROPPED = metric_types.Counter(
    "gateway_readers_dropped",
    "Answers dropped as too much was held for clients",
)


class HeldAnswers:
    """Hold the answers of a process, and drop those beyond its bound."""

    def __init__(
        self, bounds: read_ahead.ReadAhead, metrics: recorder.Recorder
    ) -> None:
        self.bounds = bounds
        self._metrics = metrics
        metrics.register_gauge(HELD, lambda: bounds.held_bytes)

    def drop_excess(self) -> None:
        """Drop answers until the others are within the bound."""
        now_s = clock.read_time()
        while (answer := self.bounds.choose_dropped(now_s)) is not None:
            eliot.log_message(
                "answer:reader_dropped",
                request=answer.request,
                bytes=answer.held_bytes,
                unread_s=round(answer.measure_unread(now_s), 3),
                total=self.bounds.held_bytes,
            )
            self._metrics.count(DROPPED)
            self.bounds.discard(answer)
            answer.drop()


class Delivery:
    """Write one answer to its client.

    What the client's socket takes at once is written without waiting. The
    rest is held, and written as the client reads. Events count as passed to
    the client, and are charged, from when their block is passed to the
    socket.
    """

    def __init__(
        self,
        connection: h1.ServerConnection,
        context: request_context.RequestContext,
        held_answers: HeldAnswers,
    ) -> None:
        self._connection = connection
        self._context = context
        self._held_answers = held_answers
        self._bounds = held_answers.bounds
        self._answer = read_ahead.HeldAnswer(
            calls.format_request_id(context.call.request_id), self._drop
        )
        # The block that the socket has not taken yet.
        self._passed: read_ahead.Block | None = None
        self._changed: asyncio.Future[None] | None = None
        self._progress_s = 0.0
        self._dropped = False
        self._error: Exception | None = None

    @property
    def lost(self) -> bool:
        """Return whether the client gets no more of the answer."""
        return self._dropped or self._error is not None

    def start(self, head: h1.ResponseHead, length: int | None) -> None:
        """Write the head of the answer, and then what is held already.

        :param length: size of the body, None if it is not known

        :raises ConnectionLostError: if the client is gone
        """
        self._check_client()
        block = read_ahead.Block(b"", 0)
        try:
            future = self._connection.pass_head(head, length)
        except (transport_errors.TransportError, h11.LocalProtocolError) as e:
            self._error = e
            raise
        if not self._await_taken(future, block):
            self._pass_blocks()
        self._check_client()

    def write(self, data: bytes, events: int) -> None:
        """Write a part of the answer, or hold it.

        :param events: whole events of the stream up to the end of it

        :raises ConnectionLostError: if the client is gone or was dropped
        """
        self._check_client()
        if self._passed is None and self._answer.empty:
            self._pass_block(read_ahead.Block(data, events))
        else:
            self._bounds.add(self._answer, data, events)
        if self._passed is not None:
            self._held_answers.drop_excess()
        self._check_client()

    def hold(self, data: bytes) -> None:
        """Hold a part of an answer whose head has not been written.

        :raises ConnectionLostError: if the answer was dropped
        """
        self._check_client()
        self._bounds.add(self._answer, data, 0)
        self._held_answers.drop_excess()
        self._check_client()

    async def wait_room(self) -> None:
        """Wait while too much of the answer is held to read any more.

        :raises ConnectionLostError: if the client reads nothing until
            `WRITE_MARGIN_S` after its deadline
        """
        until_s = self._context.deadline_s + WRITE_MARGIN_S
        while not self._bounds.has_room(self._answer):
            await self._wait_change(until_s)

    async def finish(self) -> None:
        """Write the rest and the end of a complete answer.

        :raises ConnectionLostError: if the client does not read it
        """
        while self._passed is not None:
            until_s = max(
                self._context.deadline_s + WRITE_MARGIN_S,
                self._progress_s + MAX_PAUSE_S,
            )
            await self._wait_change(until_s)
        self._check_client()
        remaining_s = self._context.deadline_s - clock.read_time()
        wait_s = max(remaining_s + WRITE_MARGIN_S, MAX_PAUSE_S)
        try:
            async with asyncio.timeout(wait_s):
                await self._connection.finish()
        except TimeoutError as err:
            raise self._leave_client() from err
        except (transport_errors.TransportError, h11.LocalProtocolError) as e:
            self._error = e
            raise

    async def write_rest(self) -> None:
        """Write what is held of an incomplete answer until the deadline.

        :raises ConnectionLostError: if the client does not read it
        """
        while self._passed is not None:
            await self._wait_change(self._context.deadline_s)

    def forget(self) -> None:
        """Forget what is held of an answer that has not begun."""
        self._bounds.discard(self._answer)

    def discard(self) -> None:
        """Write nothing more."""
        self._dropped = True
        self._bounds.discard(self._answer)

    def _pass_blocks(self) -> None:
        """Pass blocks to the socket until it does not take one at once."""
        while self._passed is None and not self._answer.empty:
            block = self._answer.take()
            # It is counted again if the socket does not take it at once.
            self._bounds.release(self._answer, block, clock.read_time())
            self._pass_block(block)

    def _pass_block(self, block: read_ahead.Block) -> None:
        self._context.passed_events = block.events
        try:
            future = self._connection.pass_data(block.data)
        except (transport_errors.TransportError, h11.LocalProtocolError) as e:
            self._error = e
            raise
        self._await_taken(future, block)

    def _await_taken(
        self, future: asyncio.Future[None], block: read_ahead.Block
    ) -> bool:
        """Return whether the socket has not taken a block at once."""
        if future.done():
            return False
        self._progress_s = clock.read_time()
        self._passed = block
        self._bounds.add_passed(self._answer, block, self._progress_s)
        future.add_done_callback(self._continue)
        return True

    def _continue(self, future: asyncio.Future[None]) -> None:
        block, self._passed = self._passed, None
        if not self._dropped and block is not None:
            self._progress_s = clock.read_time()
            self._bounds.release(self._answer, block, self._progress_s)
            try:
                future.result()
                self._pass_blocks()
            except Exception as err:
                # Raised to the handler once it writes or waits.
                self._error = err
                self._bounds.discard(self._answer)
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)

    async def _wait_change(self, until_s: float) -> None:
        self._check_client()
        self._changed = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(max(until_s - clock.read_time(), 0.0)):
                await self._changed
        except TimeoutError as err:
            raise self._leave_client() from err
        finally:
            self._changed = None
        self._check_client()

    def _leave_client(self) -> transport_errors.ConnectionLostError:
        self._error = transport_errors.ConnectionLostError(
            "the client reads no more"
        )
        self._connection.close()
        return self._error

    def _check_client(self) -> None:
        if self._dropped:
            raise transport_errors.ConnectionLostError(
                "the answer was dropped, as its client did not read it"
            )
        if self._error is not None:
            raise transport_errors.ConnectionLostError(
                "the client closed the connection or reads too slowly"
            ) from self._error

    def _drop(self) -> None:
        """Close the connection, so that the answer is visibly incomplete.

        The server then cancels the handler, which closes the connection to
        the endpoint and so cancels the run.
        """
        self._dropped = True
        self._connection.close()


__all__ = (
    "DROPPED",
    "HELD",
    "Delivery",
    "HeldAnswers",
)
