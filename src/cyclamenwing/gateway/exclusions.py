"""What endpoints say of themselves in answers: leaving, waits and limits."""

from __future__ import annotations

import http
import time

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import cold_notices
from cyclamenwing.gateway import connections
from cyclamenwing.gateway import errors
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import exclusions as routing_exclusions

MS_PER_S = 1000
# Endpoints whose unreadable limit has been logged.
MAX_UNREADABLE_KEPT = 1024

EXCLUSIONS = metric_types.Counter(
    "gateway_endpoint_exclusions",
    "Answers that excluded their endpoint",
    ("cause",),
)
LEAVING = metric_types.Gauge(
    "gateway_endpoints_leaving",
    "Registered endpoints that get no requests as they leave or have left",
)
LIMITED = metric_types.Gauge(
    "gateway_endpoints_limited",
    "Endpoints that named a limit for all gateways together",
)
WAITING = metric_types.Gauge(
    "gateway_endpoints_waiting",
    "Registered endpoints that asked for no requests for a time",
)


class AnswerObserver:
    """Apply to the directory what endpoints say of themselves in answers."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        connection_pool: connections.ConnectionPool,
    ) -> None:
        self._board = board
        self._connections = connection_pool
        self._unreadable_limits: dict[
            routing_exclusions.Incarnation, None
        ] = {}
        cold_notices.register_gauges(board)
        board.metrics.register_gauge(LEAVING, board.directory.count_leaving)
        board.metrics.register_gauge(
            LIMITED, board.directory.limits.count_limited
        )
        board.metrics.register_gauge(
            WAITING, lambda: board.directory.count_waiting(clock.read_time())
        )

    def observe(
        self,
        endpoint: endpoints.Endpoint,
        status: int,
        metadata: calls.AnswerMetadata,
    ) -> None:
        """Exclude an endpoint if the head of an answer asks for it."""
        directory = self._board.directory
        if metadata.leaving and directory.record_leaving(endpoint):
            self._connections.close_idle(endpoint)
            self._report("leaving", endpoint, status, metadata)
        if metadata.refuse_s and directory.record_wait(
            endpoint, clock.read_time(), metadata.refuse_s
        ):
            self._report("waiting", endpoint, status, metadata)

    def observe_limit(
        self,
        endpoint: endpoints.Endpoint,
        status: int,
        metadata: calls.AnswerMetadata,
        sent_s: float,
    ) -> None:
        """Apply the limit that an answer names, or its end.

        :param sent_s: time at which the request was sent
        """
        limits = self._board.directory.limits
        incarnation = endpoint.incarnation
        now_s = clock.read_time()
        if status == http.HTTPStatus.MISDIRECTED_REQUEST:
            # Another process has the address.
            limits.release(incarnation, sent_s, now_s)
            return
        if limits.cold.starts.record_answer(
            incarnation, metadata.cold_remaining_s, sent_s, now_s
        ):
            cold_notices.log_cold(self._board, incarnation, now_s)
        unreadable = metadata.limit_unreadable
        if unreadable:
            changed = incarnation not in self._unreadable_limits
            self._unreadable_limits[incarnation] = None
            if len(self._unreadable_limits) > MAX_UNREADABLE_KEPT:
                del self._unreadable_limits[
                    next(iter(self._unreadable_limits))
                ]
        elif metadata.limit_rps is None and not (
            metadata.signed or metadata.not_run
        ):
            return
        else:
            self._unreadable_limits.pop(incarnation, None)
            changed = limits.record_answer(
                incarnation, metadata.limit_rps, sent_s, clock.read_time()
            )
        if changed:
            eliot.log_message(
                "endpoint:limit",
                endpoint=endpoint.name,
                service=endpoint.service,
                address=endpoint.address,
                status=status,
                limit_rps=metadata.limit_rps,
                unreadable=unreadable,
                wait_s=round(
                    limits.measure_wait(incarnation, clock.read_time()), 3
                ),
            )

    def _report(
        self,
        cause: str,
        endpoint: endpoints.Endpoint,
        status: int,
        metadata: calls.AnswerMetadata,
    ) -> None:
        self._board.metrics.count(EXCLUSIONS, cause)
        now_s = time.time()
        started_s = endpoint.started_ms / MS_PER_S
        eliot.log_message(
            "endpoint:excluded",
            endpoint=endpoint.name,
            service=endpoint.service,
            address=endpoint.address,
            cause=cause,
            status=status,
            leaving=metadata.leaving,
            refuse_s=metadata.refuse_s,
            age_s=round(now_s - started_s, 3) if started_s else None,
            until_s=None
            if cause == "leaving"
            else round(now_s + (metadata.refuse_s or 0.0), 3),
        )


def make_waiting_error(
    board: blackboard.Blackboard,
    service: str,
    scope: endpoints.Scope = endpoints.ANY_ENDPOINT,
) -> errors.EndpointsWaitingError | None:
    """Return the error for a service if all its endpoints want a pause."""
    wait_s = board.directory.measure_wait(service, clock.read_time(), scope)
    if wait_s is None:
        return None
    error = errors.EndpointsWaitingError(
        f"no endpoint of {service} wants requests for {wait_s:.2f} s"
    )
    error.retry_after_s = wait_s
    return error


__all__ = (
    "EXCLUSIONS",
    "LEAVING",
    "LIMITED",
    "WAITING",
    "AnswerObserver",
    "make_waiting_error",
)
