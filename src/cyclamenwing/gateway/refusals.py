"""Refusals that a gateway gives, and when their clients return."""

from __future__ import annotations

import random

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import request_context
from cyclamenwing.routing import return_times
from cyclamenwing.transport import h1

# Refusals whose time to return is planned here, by code. The others keep
# theirs: `leaving` is short as another process takes over, and `quarantined`
# has an end.
KINDS = {
    errors.NoConfigurationError.code: return_times.Kind.CONFIGURATION,
    errors.BudgetUnreachableError.code: return_times.Kind.TOKENS,
    errors.NoEndpointError.code: return_times.Kind.ENDPOINT,
    errors.EndpointsWaitingError.code: return_times.Kind.PLANNED,
    errors.OverloadedError.code: return_times.Kind.ROOM,
    errors.StreamVersionUnknownError.code: return_times.Kind.VERSION_KNOWN,
    errors.StreamVersionGoneError.code: return_times.Kind.VERSION_BACK,
}
# Clients of unknown priority return after the others.
LOWEST_PRIORITY = 1_000_000
# Serving takes the latency goal of the route, or this part of the time that a
# request has in all, as goals may be longer than its deadline.
MAX_SERVE_SHARE = 0.5


class RefusalWriter:
    """Answer requests that are refused, and spread the clients' returns."""

    def __init__(
        self, board: blackboard.Blackboard, dialect: calls.Dialect
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._returns = return_times.ReturnTimes()

    def record_answer(self, context: request_context.RequestContext) -> None:
        """Count an answer of success that has begun."""
        self._returns.record_answer(context.service.name, clock.read_time())

    def make_refusal(
        self,
        request: h1.Request,
        context: request_context.RequestContext | None,
        err: errors.GatewayError,
    ) -> calls.Refusal:
        """Return the refusal to send, with the time at which to return."""
        refusal = err.make_refusal()
        kind = KINDS.get(err.code)
        if kind is None or refusal.retry_after_s is None:
            return refusal
        # A time other than the usual one of its kind was predicted.
        room_s = 0.0
        if refusal.retry_after_s != type(err).retry_after_s:
            kind, room_s = self._choose_predicted(err), refusal.retry_after_s
        return refusal._replace(
            retry_after_s=self._returns.plan(
                kind,
                context.service.name if context else "",
                self._describe_client(request, context),
                clock.read_time(),
                random.random(),
                room_s,
            )
        )

    async def refuse(
        self,
        connection: h1.ServerConnection,
        request: h1.Request,
        context: request_context.RequestContext | None,
        err: errors.GatewayError,
    ) -> None:
        """Answer a request with an error."""
        request_id = h1.find_header(request.headers, b"request-id")
        refusal = self.make_refusal(request, context, err)
        after_s = refusal.retry_after_s
        eliot.log_message(
            "request:refused",
            request=calls.format_request_id(request_id),
            code=err.code,
            status=refusal.status,
            reason=err.message,
            run=refusal.run,
            route=context.route.name if context else None,
            retry_after_s=None if after_s is None else round(after_s, 3),
        )
        if context is not None:
            context.status = refusal.status
        status, headers, body = self._dialect.write_refusal(
            refusal, request_id
        )
        await connection.respond(status, headers, body)

    def _choose_predicted(self, err: errors.GatewayError) -> return_times.Kind:
        if (
            isinstance(err, errors.EndpointsWaitingError)
            and self._board.directory.limits.count_limited()
        ):
            # `RateLimits.plan_return` has spread the times already.
            return return_times.Kind.IN_TURN
        return return_times.Kind.PLANNED

    def _describe_client(
        self,
        request: h1.Request,
        context: request_context.RequestContext | None,
    ) -> return_times.Client:
        if context is None:
            return return_times.Client(
                LOWEST_PRIORITY, self._read_wait(request), 0.0
            )
        priority = context.route.priority
        workspace = context.workspace
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return return_times.Client(
            priority,
            context.deadline_s - clock.read_time(),
            min(
                context.route.goal_s,
                (context.deadline_s - context.started_s) * MAX_SERVE_SHARE,
            ),
        )

    def _read_wait(self, request: h1.Request) -> float | None:
        try:
            return self._dialect.read_call(request).wait_s
        except base_errors.CodedError:
            return None


__all__ = ("RefusalWriter",)
