"""What endpoints say of themselves in answers: leaving, waits and limits."""

from __future__ import annotations

import time

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import connections
from cyclamenwing.gateway import errors
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import endpoints

MS_PER_S = 1000

EXCLUSIONS = metric_types.Counter(
    "gateway_endpoint_exclusions",
    "Answers that excluded their endpoint",
    ("cause",),
)
LEAVING = metric_types.Gauge(
    "gateway_endpoints_leaving",
    "Registered endpoints that get no requests as they leave or have left",
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
        self._named_limits: dict[str, tuple[float | None, bool]] = {}
        board.metrics.register_gauge(LEAVING, board.directory.count_leaving)
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
        self._report_limit(endpoint, status, metadata)

    def _report_limit(
        self,
        endpoint: endpoints.Endpoint,
        status: int,
        metadata: calls.AnswerMetadata,
    ) -> None:
        named = (metadata.limit_rps, metadata.limit_unreadable)
        if named == self._named_limits.get(endpoint.name, (None, False)):
            return
        self._named_limits[endpoint.name] = named
        eliot.log_message(
            "endpoint:limit",
            endpoint=endpoint.name,
            service=endpoint.service,
            address=endpoint.address,
            status=status,
            limit_rps=metadata.limit_rps,
            unreadable=metadata.limit_unreadable,
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
    board: blackboard.Blackboard, service: str
) -> errors.EndpointsWaitingError | None:
    """Return the error for a service if all its endpoints want a pause."""
    wait_s = board.directory.measure_wait(service, clock.read_time())
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
    "WAITING",
    "AnswerObserver",
    "make_waiting_error",
)
