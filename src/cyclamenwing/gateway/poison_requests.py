"""Requests that crash the endpoints that run them."""

from __future__ import annotations

import asyncio
import time

import eliot
import xxhash

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import request_context
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import quarantine
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1client

# Requests that happen to run beside one that crashes an endpoint are there
# once or twice; three crashes are of the request itself.
CRASHES_TO_QUARANTINE = quarantine.MAX_CRASHES_TOLD
# An endpoint that lost a connection and still accepts others has not crashed.
CONFIRM_DELAY_S = 0.05
CONFIRM_TIMEOUT_S = 0.3
MS_PER_S = 1000


class PoisonRequestTracker:
    """Keep requests that crash endpoints from running again."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._controller = quarantine.QuarantineController()
        self._tasks: set[asyncio.Task[None]] = set()

    def check_quarantine(
        self, context: request_context.RequestContext
    ) -> None:
        """Refuse a request that has crashed the endpoints that ran it.

        :raises QuarantinedError: with a time to come back
        """
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
        """Find out whether an endpoint that lost a request has crashed."""
        task = asyncio.ensure_future(self._confirm_crash(context, endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def clear_answered(self, context: request_context.RequestContext) -> None:
        """Clear a request that was answered whole."""
        now_ms = _read_ms()
        if self._board.quarantine.records:
            self._controller.clear(
                self._board.quarantine,
                make_fingerprint(context),
                now_ms,
                now_ms,
            )

    def build_gossip(self) -> quarantine.QuarantineNews | None:
        """Return what peers should know."""
        now_ms = _read_ms()
        holder = self._board.escrow.holder
        self._controller.expire(self._board.quarantine, holder, now_ms)
        return self._controller.tell(self._board.quarantine, holder, now_ms)

    def merge_gossip(self, news: quarantine.QuarantineNews) -> None:
        """Take over what a peer knows."""
        self._controller.hear(self._board.quarantine, news, _read_ms())

    async def _confirm_crash(
        self,
        context: request_context.RequestContext,
        endpoint: endpoints.Endpoint,
    ) -> None:
        await asyncio.sleep(CONFIRM_DELAY_S)
        try:
            connection = await h1client.ClientConnection.open(
                endpoint.address, CONFIRM_TIMEOUT_S
            )
        except transport_errors.ConnectFailedError:
            fingerprint = make_fingerprint(context)
            self._controller.note_crash(
                self._board.quarantine,
                fingerprint,
                endpoint.name,
                _read_ms(),
            )
            eliot.log_message(
                "suspect:crash",
                fingerprint=fingerprint,
                endpoint=endpoint.name,
            )
        else:
            connection.close()


def make_fingerprint(context: request_context.RequestContext) -> str:
    """Return what a request has in common with its repeats."""
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


def _read_ms() -> int:
    return int(time.time() * MS_PER_S)


__all__ = (
    "CRASHES_TO_QUARANTINE",
    "PoisonRequestTracker",
    "make_fingerprint",
)
