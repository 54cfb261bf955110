"""Serve client requests: admit, reserve, choose, send, forward, settle."""

from __future__ import annotations

import asyncio
import contextlib

import eliot

from cyclamenwing.gateway import admission
from cyclamenwing.gateway import attempts
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import delivery
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import forwarding
from cyclamenwing.gateway import poison_requests
from cyclamenwing.gateway import refusals
from cyclamenwing.gateway import request_context
from cyclamenwing.gateway import reservations
from cyclamenwing.gateway import stream_origins
from cyclamenwing.gateway import unavailability
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1

# Bound on the endpoints tried for one request, counting those that refuse it
# without running it.
MAX_ATTEMPTS = 4
REQUESTS = metric_types.Counter(
    "gateway_requests", "Requests by route kind and outcome", ("kind", "code")
)
FIRST_BYTE = metric_types.Timer(
    "gateway_first_byte", "Time to the first byte of an answer", ("kind",)
)
DURATION = metric_types.Timer(
    "gateway_duration", "Time to the end of an answer", ("kind",)
)


class RequestHandler:
    """Serve the requests of clients."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        dialect: calls.Dialect,
        token_reservations: reservations.Reservations,
        poison_tracker: poison_requests.PoisonRequestTracker,
        endpoint_attempts: attempts.Attempts,
        origins: stream_origins.StreamOrigins,
        held_answers: delivery.HeldAnswers,
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._reservations = token_reservations
        self._poison_requests = poison_tracker
        self._attempts = endpoint_attempts
        self._origins = origins
        self._held_answers = held_answers
        self._refusals = refusals.RefusalWriter(board, dialect)
        self._interruptible: dict[
            asyncio.Timeout, forwarding.AnswerForwarder
        ] = {}

    async def handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        """Answer one request and count it as active meanwhile."""
        started_s = clock.read_time()
        self._board.active_requests += 1
        try:
            await self._handle(connection, request, started_s)
        finally:
            self._board.active_requests -= 1

    def interrupt(self) -> None:
        """Answer all requests in progress at once, as the process stops.

        A client whose answer has begun sees it end incomplete, unless all
        of it is here; that may still be written until connections close.
        """
        now_s = asyncio.get_running_loop().time()
        for time_limit, forwarder in self._interruptible.items():
            if not forwarder.complete:
                time_limit.reschedule(now_s)

    async def _handle(
        self,
        connection: h1.ServerConnection,
        request: h1.Request,
        started_s: float,
    ) -> None:
        try:
            context = admission.admit(
                self._board, self._dialect, request, started_s
            )
        except errors.GatewayError as err:
            await self._refuse(connection, request, None, err)
            return
        forwarder = forwarding.AnswerForwarder(
            delivery.Delivery(connection, context, self._held_answers),
            context,
            self._record_answer,
        )
        code = "cancelled"
        try:
            await self._serve_until_interrupted(context, forwarder)
            code = "passed"
        except errors.GatewayError as err:
            code = err.code
            if forwarder.started:
                # Part of the answer was sent already. Closing the connection
                # shows the client that the answer is incomplete.
                connection.close()
            else:
                await self._refuse(connection, request, context, err)
        finally:
            self._record_outcome(context, code)

    async def _serve_until_interrupted(
        self,
        context: request_context.RequestContext,
        forwarder: forwarding.AnswerForwarder,
    ) -> None:
        time_limit = asyncio.timeout(None)
        try:
            async with time_limit:
                self._interruptible[time_limit] = forwarder
                await self._serve(context, forwarder)
        except TimeoutError as err:
            if not time_limit.expired():
                raise
            if context.may_have_run:
                raise errors.AnswerLateError(
                    "the process stops before the answer", "unknown"
                ) from err
            raise errors.LeavingError("the process stops") from err
        finally:
            self._interruptible.pop(time_limit, None)

    async def _serve(
        self,
        context: request_context.RequestContext,
        forwarder: forwarding.AnswerForwarder,
    ) -> None:
        self._poison_requests.check_quarantine(context)
        if context.route.resumable and context.call.last_event_id is not None:
            await self._origins.resolve(context)
        # Before the reservation, which may wait for tokens.
        unavailable = unavailability.make_error(self._board, context)
        if unavailable is not None:
            raise unavailable
        await self._reserve(context)
        context.reserved_s = clock.read_time()
        try:
            await self._try_endpoints(context, forwarder)
            await forwarder.finish()
        except errors.GatewayError:
            # A client that does not read it changes nothing about the outcome.
            with contextlib.suppress(transport_errors.TransportError):
                await forwarder.write_rest()
            raise
        finally:
            # Nothing may be written that has not been charged.
            forwarder.discard()
            self._settle(context)

    def _record_answer(self, context: request_context.RequestContext) -> None:
        self._poison_requests.record_answer(context)
        self._refusals.record_answer(context)
        if context.route.kind is configuration.RouteKind.STREAM:
            self._origins.record(context)

    async def _reserve(self, context: request_context.RequestContext) -> None:
        workspace = context.workspace
        if workspace is None or workspace.prepaid_tokens is None:
            return
        if context.max_tokens:
            context.reservation = await self._reservations.reserve(
                workspace.name,
                workspace.prepaid_tokens,
                context.max_tokens,
                context.route.goal_s,
                context.begin_by_s - clock.read_time(),
                initial=context.initial_tokens,
                lasts_s=context.deadline_s - clock.read_time(),
            )

    def _settle(self, context: request_context.RequestContext) -> None:
        if context.reservation is not None:
            self._reservations.settle(
                context.reservation,
                context.count_spent(context.tokens_per_event),
            )

    async def _try_endpoints(
        self,
        context: request_context.RequestContext,
        forwarder: forwarding.AnswerForwarder,
    ) -> None:
        retry_budget = self._board.retry_budget
        retry_budget.record_request(context.service.name, clock.read_time())
        last_error: errors.GatewayError | None = None
        for attempt in range(MAX_ATTEMPTS):
            self._check_deadline(context, last_error)
            self._check_quarantine(context)
            if (
                attempt
                and context.sent_count
                and not self._acquire_retry(context)
            ):
                break
            target = self._attempts.choose(context)
            if target is None:
                break
            may_retry = context.sent_count + 1 < context.route.attempts
            try:
                await self._attempts.run(context, forwarder, target, may_retry)
                return
            except attempts.AttemptNotRunError as err:
                last_error = err
            except attempts.AttemptLostError as err:
                last_error = err
            finally:
                self._board.placement.end(
                    target.endpoint, target.request_number
                )
            self._log_attempt(context, target, last_error)
            if isinstance(
                last_error, attempts.AttemptLostError
            ) and not self._may_retry(context, forwarder):
                break
            context.excluded.add(target.endpoint.name)
        raise self._make_final_error(context, last_error)

    def _check_deadline(
        self,
        context: request_context.RequestContext,
        last_error: errors.GatewayError | None,
    ) -> None:
        if (
            clock.read_time() + attempts.DEADLINE_MARGIN_S
            >= context.deadline_s
        ):
            if context.may_have_run:
                raise errors.AnswerLateError(
                    "no answer before the deadline", "unknown"
                )
            raise errors.DeadlineError(
                f"deadline passed; last error: {last_error}"
            )

    def _check_quarantine(
        self, context: request_context.RequestContext
    ) -> None:
        try:
            self._poison_requests.check_quarantine(context)
        except errors.QuarantinedError as err:
            if context.may_have_run:
                raise errors.AnswerLostError(err.message, "unknown") from err
            raise

    def _acquire_retry(self, context: request_context.RequestContext) -> bool:
        now_s = clock.read_time()
        return self._board.retry_budget.try_acquire(
            context.service.name, self._board.count_gateways(now_s), now_s
        )

    def _may_retry(
        self,
        context: request_context.RequestContext,
        forwarder: forwarding.AnswerForwarder,
    ) -> bool:
        if context.sent_count >= context.route.attempts:
            return False
        if context.route.resumable:
            return (
                not forwarder.started or forwarder.reader.last_id is not None
            )
        return context.route.repeatable and not forwarder.started

    def _make_final_error(
        self,
        context: request_context.RequestContext,
        last_error: errors.GatewayError | None,
    ) -> errors.GatewayError:
        if context.may_have_run:
            if (
                clock.read_time() + attempts.DEADLINE_MARGIN_S
                >= context.deadline_s
            ):
                return errors.AnswerLateError(
                    "no answer before the deadline", "unknown"
                )
            return errors.AnswerLostError(
                last_error.message if last_error else "", "unknown"
            )
        unavailable = unavailability.make_error(self._board, context)
        if unavailable is not None:
            return unavailable
        if last_error is None:
            origin = context.origin
            if origin is not None:
                return errors.StreamVersionGoneError(
                    f"no endpoint of {origin.service} has the version "
                    f"{origin.software}"
                )
            return errors.NoEndpointError(context.service.name)
        return errors.OverloadedError(last_error.message)

    async def _refuse(
        self,
        connection: h1.ServerConnection,
        request: h1.Request,
        context: request_context.RequestContext | None,
        err: errors.GatewayError,
    ) -> None:
        if context is None:
            self._board.metrics.count(REQUESTS, "none", err.code)
        await self._refusals.refuse(connection, request, context, err)

    def _record_outcome(
        self, context: request_context.RequestContext, code: str
    ) -> None:
        now_s = clock.read_time()
        kind = context.route.kind.value
        metrics = self._board.metrics
        metrics.count(REQUESTS, kind, code)
        metrics.observe(DURATION, now_s - context.started_s, kind)
        if context.first_byte_s is not None:
            metrics.observe(
                FIRST_BYTE, context.first_byte_s - context.started_s, kind
            )
        config = self._board.configuration
        eliot.log_message(
            "request:done",
            request=calls.format_request_id(context.call.request_id),
            outcome=code,
            status=context.status,
            route=context.route.name,
            workspace=context.workspace.name if context.workspace else None,
            endpoint=context.endpoint,
            software=context.software,
            resumes=calls.format_request_id(context.call.resumes),
            sent=context.sent_count,
            ran=context.may_have_run,
            events=context.events,
            tokens=context.max_tokens,
            spent=context.count_spent(context.tokens_per_event),
            reserved_ms=_compute_elapsed_ms(context, context.reserved_s),
            first_ms=_compute_elapsed_ms(context, context.first_byte_s),
            ms=round((now_s - context.started_s) * 1000, 1),
            version=config.version if config else 0,
        )

    def _log_attempt(
        self,
        context: request_context.RequestContext,
        target: attempts.Target,
        err: errors.GatewayError,
    ) -> None:
        eliot.log_message(
            "attempt:failed",
            request=calls.format_request_id(context.call.request_id),
            endpoint=target.endpoint.name,
            software=target.endpoint.software,
            code=err.code,
            reason=err.message,
            sent=context.sent_count,
            events=context.events,
        )


def _compute_elapsed_ms(
    context: request_context.RequestContext, time_s: float | None
) -> float | None:
    if time_s is None:
        return None
    return round((time_s - context.started_s) * 1000, 1)


__all__ = ("RequestHandler",)
