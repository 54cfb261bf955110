"""Cold endpoints: what shows them, their logs and notices to peers."""

from __future__ import annotations

from collections.abc import Sequence

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import delivery_log
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import exclusions
from cyclamenwing.transport import errors as transport_errors

# Cold endpoints in one message; the others follow in the next ones.
MAX_COLD_NOTICES = 100

COLD = metric_types.Gauge(
    "gateway_endpoints_cold",
    "Registered endpoints that are limited as they are cold or were lately",
)
ALLOWED_RATE = metric_types.Gauge(
    "gateway_cold_allowed_rate",
    "Requests per second that this gateway may send to cold endpoints",
)
USED_RATE = metric_types.Gauge(
    "gateway_cold_used_rate",
    "Requests that this gateway sent to cold endpoints in the last second",
)


class ColdNoticeExchange:
    """Build the notices of cold endpoints and merge those of peers."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._log = delivery_log.DeliveryLog()
        self.record_delivered = self._log.record
        self.forget = self._log.forget

    def build(
        self, address: str, serves: bool, receiver: str, now_s: float
    ) -> list[cold_marks.ColdNotice]:
        """Return the marks that a peer has not been told of yet.

        :param serves: the receiver is attached to this gateway
        """
        starts = self._board.directory.limits.cold.starts
        notices = [
            notice
            for notice, mark in starts.list_notices(now_s)
            if self._log.lacks(address, notice)
            and not (mark.peer and mark.peer == receiver)
            and (serves or not mark.from_delegate)
        ]
        # The latest ones matter most.
        return notices[-MAX_COLD_NOTICES:]

    def merge(
        self,
        notices: Sequence[cold_marks.ColdNotice],
        host: str,
        from_delegate: bool,
        now_s: float,
    ) -> None:
        """Record the cold endpoints that a peer knows of."""
        starts = self._board.directory.limits.cold.starts
        for notice in notices:
            if starts.merge_notice(notice, now_s, host, from_delegate):
                log_cold(self._board, notice.incarnation, now_s)


def register_gauges(board: blackboard.Blackboard) -> None:
    """Register the metrics of cold endpoints."""
    limits = board.directory.limits

    def count_cold() -> int:
        now_s = clock.read_time()
        return sum(
            limits.cold.starts.read(e.incarnation, now_s) is not None
            for e in board.directory.registered.values()
        )

    board.metrics.register_gauge(COLD, count_cold)
    board.metrics.register_gauge(
        ALLOWED_RATE, lambda: limits.measure_cold_rates(clock.read_time())[0]
    )
    board.metrics.register_gauge(
        USED_RATE, lambda: limits.measure_cold_rates(clock.read_time())[1]
    )


def apply_configuration(board: blackboard.Blackboard) -> None:
    """Read which services have cold endpoints."""
    if board.configuration is None:
        return
    starts = board.directory.limits.cold.starts
    if starts.set_terms({
        name: service.cold
        for name, service in board.configuration.services.items()
        if service.cold is not None
    }):
        # Their entries may have been read before.
        now_s = clock.read_time()
        for incarnation in list(starts.marks):
            log_cold(board, incarnation, now_s)


def record_failed(
    board: blackboard.Blackboard,
    endpoint: endpoints.Endpoint,
    err: transport_errors.TransportError,
) -> None:
    """Take an endpoint as down if it refused a connection.

    One that answers nothing may only be cut off from this host, one that
    resets a connection may be full, and one that leaves ends by itself.
    """
    error = getattr(err.__cause__, "real_error", err.__cause__)
    if not isinstance(error, ConnectionRefusedError):
        return
    directory = board.directory
    now_s = clock.read_time()
    incarnation = endpoint.incarnation
    if not directory.is_gone(
        endpoint
    ) and directory.limits.cold.starts.record_refused(incarnation, now_s):
        log_cold(board, incarnation, now_s)


def report_warm(board: blackboard.Blackboard) -> None:
    """Log the endpoints whose limit has ended and forget old marks."""
    directory = board.directory
    ended = directory.limits.cold.starts.trim(
        directory.registered, clock.read_time()
    )
    for incarnation in ended:
        endpoint = directory.registered.get(incarnation.name)
        if endpoint is not None and endpoint.incarnation == incarnation:
            eliot.log_message(
                "endpoint:warm",
                endpoint=endpoint.name,
                service=endpoint.service,
                address=endpoint.address,
            )


def log_cold(
    board: blackboard.Blackboard,
    incarnation: exclusions.Incarnation,
    now_s: float,
) -> None:
    """Log that an endpoint is cold, unless its service has no limit."""
    limits = board.directory.limits
    mark = limits.cold.starts.marks.get(incarnation)
    cold = limits.cold.starts.read(incarnation, now_s)
    if mark is None or cold is None:
        return
    # The wait also finds out whether this gateway is a sender.
    wait_s = limits.measure_wait(incarnation, now_s)
    eliot.log_message(
        "endpoint:cold",
        endpoint=incarnation.name,
        address=incarnation.address,
        source=mark.source,
        peer=mark.peer or None,
        left_s=None
        if mark.down
        else round(limits.cold.starts.measure_cold(incarnation, now_s), 3),
        limit_rps=cold.limit_rps,
        allowed_rps=round(limits.cold.measure_rate(incarnation, now_s), 3),
        wait_s=round(wait_s, 3),
    )


__all__ = (
    "ALLOWED_RATE",
    "COLD",
    "USED_RATE",
    "ColdNoticeExchange",
    "apply_configuration",
    "log_cold",
    "record_failed",
    "register_gauges",
    "report_warm",
)
