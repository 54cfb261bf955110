"""Attempts: choose an endpoint, send the request, read the answer."""

from __future__ import annotations

import functools
import http
from typing import NamedTuple

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import cold_notices
from cyclamenwing.gateway import configuration
from cyclamenwing.gateway import connections
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import exclusions
from cyclamenwing.gateway import forwarding
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import poison_requests
from cyclamenwing.gateway import request_context
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import endpoints
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_client

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# A request that may run again is sent to another endpoint if no answer has
# begun within this multiple of its route's latency goal.
SLOW_ATTEMPT_GOALS = 2.0
MIN_SLOW_ATTEMPT_S = 0.3
# The endpoint gets a deadline this much before the client's, so that its
# answer or error can still be forwarded in time.
DEADLINE_MARGIN_S = 0.02
# Answers to other requests that are skipped on a connection per attempt.
MAX_FOREIGN_ANSWERS = 3

ATTEMPTS = metric_types.Counter(
    "gateway_attempts", "Attempts at endpoints by outcome", ("outcome",)
)


class AttemptNotRunError(errors.GatewayError):
    """Report an attempt that the endpoint has not run."""

    code = "attempt_not_run"


class AttemptLostError(errors.GatewayError):
    """Report an attempt that may have run without a complete answer."""

    code = "attempt_lost"


class AttemptSlowError(AttemptLostError):
    """Report an attempt given up because no answer began in time."""

    code = "attempt_slow"


class Target(NamedTuple):
    """Hold the endpoint of an attempt.

    :param request_number: number of its `placement.InFlightRequest`
    :param counted: number of the endpoint's limits towards which the request
        counts already
    """

    endpoint: endpoints.Endpoint
    request_number: int
    counted: int


class Attempts:
    """Send requests to endpoints and forward their answers."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        dialect: calls.Dialect,
        gateway_peers: peers.Peers,
        connection_pool: connections.ConnectionPool,
        poison_tracker: poison_requests.PoisonRequestTracker,
    ) -> None:
        self._board = board
        self._dialect = dialect
        self._peers = gateway_peers
        self._connections = connection_pool
        self._poison_requests = poison_tracker
        self._observer = exclusions.AnswerObserver(board, connection_pool)

    def choose(self, context: request_context.RequestContext) -> Target | None:
        """Return an endpoint for a request, None if there is none.

        The request counts as load of the endpoint from here on.
        """
        now_s = clock.read_time()
        candidates = [
            e
            for e in self._board.directory.list_usable(
                context.service.name, now_s, context.scope
            )
            if e.name not in context.excluded
            and (
                context.origin is None or e.software == context.origin.software
            )
        ]
        engine = context.service.engine
        placement = self._board.placement
        chosen = placement.choose(
            candidates,
            context.demand,
            engine.cache_tokens if engine else 0,
            now_s,
        )
        if chosen is None:
            return None
        context.endpoint = chosen.name
        context.software = chosen.software
        limits = self._board.directory.limits
        counted = limits.count_limits(chosen.incarnation, now_s)
        limits.try_acquire(chosen.incarnation, now_s)
        request_number = placement.start(chosen, context.demand, now_s)
        if context.demand.parts:
            self._peers.gossip.record_sent_parts(
                chosen.name, tuple(context.demand.parts)
            )
        return Target(chosen, request_number, counted)

    async def run(
        self,
        context: request_context.RequestContext,
        forwarder: forwarding.AnswerForwarder,
        target: Target,
        may_retry: bool,
    ) -> None:
        """Send a request to one endpoint and read its answer.

        Returns once all of the answer is here and its connection is free,
        though the client may have to read the rest.

        :param may_retry: another attempt is allowed if this one is slow

        :raises AttemptNotRunError: if the endpoint has not run the request
        :raises AttemptLostError: if the endpoint may have run it and no
            complete answer came
        """
        endpoint = target.endpoint
        endpoint_state = self._board.placement.ensure_state(endpoint)
        connection = await self._connect(context, target)
        done = False
        try:
            metadata = await self._send(
                context, forwarder, target, connection, may_retry
            )
            done = True
        except transport_errors.ConnectFailedError as err:
            raise AttemptNotRunError(err.message) from err
        except transport_errors.ConnectionSilentError as err:
            endpoint_state.record_failure(clock.read_time())
            self._board.metrics.count(ATTEMPTS, "silent")
            raise AttemptSlowError(err.message) from err
        except transport_errors.TransportError as err:
            if forwarder.client_lost:
                raise
            endpoint_state.record_failure(clock.read_time())
            self._connections.close_idle(endpoint)
            self._board.metrics.count(ATTEMPTS, "lost")
            cold_notices.record_failed(self._board, endpoint, err)
            self._poison_requests.investigate_lost(context, endpoint)
            raise AttemptLostError(err.message) from err
        finally:
            if not done:
                connection.close()
        endpoint_state.record_success()
        self._poison_requests.clear_answered(context)
        self._board.metrics.count(ATTEMPTS, "answered")
        if self._board.directory.is_gone(endpoint):
            connection.close()
        else:
            self._connections.release(endpoint, connection, metadata)

    async def _connect(
        self,
        context: request_context.RequestContext,
        target: Target,
    ) -> h1_client.ClientConnection:
        endpoint = target.endpoint
        remaining_s = context.deadline_s - clock.read_time()
        try:
            connection = await self._connections.acquire(
                endpoint, context.route.repeatable, remaining_s
            )
        except transport_errors.ConnectFailedError as err:
            self._board.placement.ensure_state(endpoint).record_failure(
                clock.read_time()
            )
            self._board.metrics.count(ATTEMPTS, "connect_failed")
            cold_notices.record_failed(self._board, endpoint, err)
            raise AttemptNotRunError(err.message) from err
        if not self._may_send(target, context.scope):
            connection.close()
            self._board.metrics.count(ATTEMPTS, "excluded")
            raise AttemptNotRunError("the endpoint was excluded meanwhile")
        try:
            self._poison_requests.check_quarantine(context)
        except errors.QuarantinedError as err:
            connection.close()
            raise AttemptNotRunError(err.message) from err
        return connection

    def _may_send(self, target: Target, scope: endpoints.Scope) -> bool:
        """Return whether the endpoint still accepts requests.

        It may have named a limit or turned cold since it was chosen, or its
        zone may have been evacuated.
        """
        directory = self._board.directory
        now_s = clock.read_time()
        incarnation = target.endpoint.incarnation
        return directory.accepts(target.endpoint, now_s, scope) and (
            target.counted >= directory.limits.count_limits(incarnation, now_s)
            or directory.limits.try_acquire(incarnation, now_s)
        )

    async def _send(
        self,
        context: request_context.RequestContext,
        forwarder: forwarding.AnswerForwarder,
        target: Target,
        connection: h1_client.ClientConnection,
        may_retry: bool,
    ) -> calls.AnswerMetadata:
        remaining_s = (
            context.deadline_s - clock.read_time() - DEADLINE_MARGIN_S
        )
        if remaining_s <= 0:
            raise AttemptNotRunError("no time left before the deadline")
        workspace = context.workspace
        options = calls.UpstreamOptions(
            endpoint=target.endpoint.name,
            wait_s=remaining_s,
            workspace=workspace.name if workspace else None,
            resume_after=forwarder.reader.last_id
            if forwarder.started
            else None,
        )
        connection.send(
            self._dialect.write_call(context.request, context.call, options)
        )
        streams = context.route.kind is configuration.RouteKind.STREAM
        # The whole answer of an engine takes as long as it is long.
        forwarder.observe_begin = (
            functools.partial(self._observe_begin, target, clock.read_time())
            if streams or context.service.engine is None
            else None
        )
        context.sent_count += 1
        ran_earlier = context.may_have_run
        context.may_have_run = True
        wait_s = remaining_s
        if may_retry and (context.route.repeatable or context.route.resumable):
            slow_after_s = context.route.goal_s * SLOW_ATTEMPT_GOALS
            wait_s = min(remaining_s, max(slow_after_s, MIN_SLOW_ATTEMPT_S))
        head, metadata = await self._read_matching_head(
            context, target.endpoint, connection, wait_s
        )
        if metadata.not_run:
            context.may_have_run = ran_earlier
            # Its body is not needed, and may come slowly or without end.
            endpoint_state = self._board.placement.ensure_state(
                target.endpoint
            )
            if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
                endpoint_state.mark_superseded(clock.read_time())
            else:
                endpoint_state.record_failure(clock.read_time())
            raise AttemptNotRunError(f"status {head.status}, request not run")
        self._check_answer(head, metadata)
        self._board.placement.mark_answering(
            target.endpoint, target.request_number
        )
        await self._forward(context, forwarder, head, connection)
        return metadata

    def _observe_begin(self, target: Target, sent_s: float) -> None:
        """Record the time from sending a request to its first event."""
        observation = self._board.placement.compare_first_event(
            target.endpoint,
            target.request_number,
            clock.read_time() - sent_s,
        )
        if observation is not None:
            self._peers.gossip.rate_notices.record(
                target.endpoint, observation
            )

    async def _read_matching_head(
        self,
        context: request_context.RequestContext,
        endpoint: endpoints.Endpoint,
        connection: h1_client.ClientConnection,
        wait_s: float,
    ) -> tuple[h1.ResponseHead, calls.AnswerMetadata]:
        sent_s = clock.read_time()
        until_s = sent_s + wait_s
        for _ in range(MAX_FOREIGN_ANSWERS + 1):
            head = await connection.read_head(
                max(until_s - clock.read_time(), 0.0)
            )
            metadata = self._dialect.read_answer(head)
            self._observer.observe(endpoint, head.status, metadata)
            if (
                metadata.request_id is None
                and context.call.request_id is not None
                and connection.uses > 1
            ):
                # It may be an earlier answer written once more, so a refusal
                # does not prove that this request has not run.
                raise transport_errors.MalformedMessageError(
                    f"answer {head.status} without a request id on a kept "
                    "connection",
                    "unknown",
                )
            if metadata.request_id in (None, context.call.request_id):
                self._observer.observe_limit(
                    endpoint, head.status, metadata, sent_s
                )
                return head, metadata
            eliot.log_message(
                "attempt:foreign_answer",
                address=connection.address,
                request=calls.format_request_id(context.call.request_id),
                answered=calls.format_request_id(metadata.request_id),
            )
            await connection.discard_body(
                max(until_s - clock.read_time(), 0.0), MAX_ANSWER_BYTES
            )
            connection.skip_response()
            connection.reusable = False
        raise transport_errors.MalformedMessageError(
            "only answers to other requests arrived"
        )

    def _check_answer(
        self, head: h1.ResponseHead, metadata: calls.AnswerMetadata
    ) -> None:
        if head.status in forwarding.SUCCESS_STATUSES and not (
            metadata.signed and metadata.request_id is not None
        ):
            raise transport_errors.MalformedMessageError(
                "the answer lacks a signature or a request id"
            )
        if metadata.encoded:
            raise transport_errors.MalformedMessageError(
                "the answer's body is encoded"
            )

    async def _forward(
        self,
        context: request_context.RequestContext,
        forwarder: forwarding.AnswerForwarder,
        head: h1.ResponseHead,
        connection: h1_client.ClientConnection,
    ) -> None:
        streams = context.route.kind is configuration.RouteKind.STREAM
        if head.status in forwarding.SUCCESS_STATUSES and streams:
            await forwarder.forward_stream(head, connection)
            return
        if forwarder.started:
            raise transport_errors.MalformedMessageError(
                f"resumed stream answered with status {head.status}"
            )
        remaining_s = context.deadline_s - clock.read_time()
        await forwarder.forward_whole(
            head,
            connection,
            max(remaining_s, DEADLINE_MARGIN_S),
            MAX_ANSWER_BYTES,
        )


__all__ = (
    "DEADLINE_MARGIN_S",
    "AttemptLostError",
    "AttemptNotRunError",
    "Attempts",
    "Target",
)
