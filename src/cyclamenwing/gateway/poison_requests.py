"""Quarantine of poison requests, which crash the endpoints that run them.

A request is told by its whole content, or by a part of its prompt that other
requests share.
"""

from __future__ import annotations

import asyncio
import time

import eliot
import xxhash

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import cold_notices
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import request_context
from cyclamenwing.metrics import types as metric_types
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import quarantine
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1_client

# A request that merely runs beside a poison request is present at one or two
# crashes. At three crashes the request itself is the cause.
CRASHES_TO_QUARANTINE = quarantine.MAX_CRASHES_KEPT
# An endpoint that lost a connection but accepts a new one after this delay has
# not crashed.
CONFIRM_DELAY_S = 0.05
CONFIRM_TIMEOUT_S = 0.3
MS_PER_S = 1000

POISON_PARTS = metric_types.Gauge(
    "gateway_poison_parts",
    "Prompt parts whose requests are refused as they crash endpoints",
)


class PoisonRequestTracker:
    """Track requests at crashes of endpoints and refuse poison requests."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._controller = quarantine.QuarantineController()
        self._tasks: set[asyncio.Task[None]] = set()
        board.metrics.register_gauge(
            POISON_PARTS,
            lambda: len(board.poison_parts.list_quarantined(_read_ms())),
        )

    def check_quarantine(
        self, context: request_context.RequestContext
    ) -> None:
        """Refuse a request that is quarantined, or has such a part.

        :raises QuarantinedError: if it was running at too many crashes
        """
        now_ms = _read_ms()
        found = self._board.poison_parts.find_quarantined(
            _list_parts(context), now_ms
        )
        if found is not None:
            error = errors.QuarantinedError(
                f"part {found.part} was in requests at {found.crashes} "
                "endpoint crashes"
            )
            error.retry_after_s = (found.until_ms - now_ms) / MS_PER_S
            raise error
        fingerprint = make_fingerprint(context)
        record = self._board.quarantine.records.get(fingerprint)
        if (
            record is not None
            and len(record["crashes"]) >= CRASHES_TO_QUARANTINE
        ):
            raise errors.QuarantinedError(
                f"{fingerprint} was running at "
                f"{len(record['crashes'])} endpoint crashes"
            )

    def investigate_lost(
        self,
        context: request_context.RequestContext,
        endpoint: endpoints.Endpoint,
    ) -> None:
        """Check in the background whether an endpoint has crashed.

        An endpoint that leaves or asked for a pause is not called. One that
        leaves exits soon by itself, which would look like a crash.

        :param context: request whose answer the endpoint lost
        """
        task = asyncio.ensure_future(
            self._confirm_crash(context, endpoint, _read_ms())
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def record_answer(self, context: request_context.RequestContext) -> None:
        """Acquit the parts of a request whose answer has begun."""
        acquitted = self._board.poison_parts.record_answer(
            _list_parts(context), _read_ms()
        )
        for part in acquitted:
            eliot.log_message(
                "suspect:part_acquitted",
                part=part,
                request=calls.format_request_id(context.call.request_id),
            )

    def clear_answered(self, context: request_context.RequestContext) -> None:
        """Clear the crashes of a request that got a complete answer."""
        now_ms = _read_ms()
        if self._board.quarantine.records:
            self._controller.clear(
                self._board.quarantine,
                make_fingerprint(context),
                now_ms,
                now_ms,
            )

    def build_gossip(self) -> quarantine.QuarantineGossip | None:
        """Return crash records for peers that confirm none, None without any.

        These are peers of earlier versions.
        """
        now_ms = _read_ms()
        holder = self._board.escrow.holder
        return self._controller.make_gossip(
            self._board.quarantine, holder, now_ms
        )

    def expire(self) -> None:
        """Drop records that have not changed for long."""
        now_ms = _read_ms()
        self._board.poison_parts.expire(now_ms)
        self._controller.expire(
            self._board.quarantine, self._board.escrow.holder, now_ms
        )

    def merge_gossip(self, received: quarantine.QuarantineGossip) -> None:
        """Merge the crash records of a peer."""
        self._controller.receive(self._board.quarantine, received, _read_ms())

    async def _confirm_crash(
        self,
        context: request_context.RequestContext,
        endpoint: endpoints.Endpoint,
        lost_ms: int,
    ) -> None:
        await asyncio.sleep(CONFIRM_DELAY_S)
        if not self._board.directory.accepts(endpoint, clock.read_time()):
            return
        fingerprint = make_fingerprint(context)
        try:
            connection = await h1_client.ClientConnection.open(
                endpoint.address, CONFIRM_TIMEOUT_S
            )
        except transport_errors.ConnectFailedError as err:
            self._controller.record_crash(
                self._board.quarantine,
                fingerprint,
                endpoint.name,
                _read_ms(),
            )
            crashed = True
            cold_notices.record_failed(self._board, endpoint, err)
            # Without any answer the host may merely be cut off.
            if not context.events and not isinstance(
                err.__cause__, TimeoutError
            ):
                self._suspect_parts(context, endpoint, lost_ms)
        else:
            connection.close()
            crashed = False
        record = self._board.quarantine.records.get(fingerprint)
        eliot.log_message(
            "suspect:crash" if crashed else "suspect:no_crash",
            request=calls.format_request_id(context.call.request_id),
            fingerprint=fingerprint,
            endpoint=endpoint.name,
            crashes=len(record["crashes"]) if record else 0,
            events=context.events,
            parts=[part.name for part in context.call.parts],
        )

    def _suspect_parts(
        self,
        context: request_context.RequestContext,
        endpoint: endpoints.Endpoint,
        lost_ms: int,
    ) -> None:
        now_ms = _read_ms()
        parts = self._board.poison_parts
        for part in parts.record_crash(
            _list_parts(context),
            endpoint.name,
            endpoint.started_ms,
            lost_ms,
            now_ms,
        ):
            eliot.log_message(
                "suspect:part",
                part=part,
                endpoint=endpoint.name,
                crashes=parts.count_crashes(part),
                quarantined=parts.is_quarantined(part, now_ms),
            )


def make_fingerprint(context: request_context.RequestContext) -> str:
    """Return a fingerprint that is the same for all repeats of a request."""
    digest = xxhash.xxh64()
    workspace = context.workspace.name if context.workspace else ""
    for part in (
        context.request.method,
        context.request.target,
        workspace.encode(),
        context.request.body,
    ):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def _list_parts(context: request_context.RequestContext) -> list[str]:
    return [part.name for part in context.call.parts]


def _read_ms() -> int:
    return int(time.time() * MS_PER_S)


__all__ = (
    "CRASHES_TO_QUARANTINE",
    "POISON_PARTS",
    "PoisonRequestTracker",
    "make_fingerprint",
)
