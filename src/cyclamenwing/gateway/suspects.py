"""Requests that crash the endpoints that run them."""

from __future__ import annotations

import asyncio
import time

import eliot
import xxhash

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import ticket
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import quarantine
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1client

# Requests that happen to run beside one that crashes an endpoint are there
# once or twice; three crashes are of the request itself.
CRASHES = quarantine.MAX_CRASHES_KEPT
# An endpoint that lost a connection and still accepts others has not crashed.
CONFIRM_AFTER_S = 0.05
CONFIRM_TIMEOUT_S = 0.3
MS_PER_S = 1000


class Suspects:
    """Keep requests that crash endpoints from running again."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board
        self._controller = quarantine.QuarantineController()
        self._tasks: set[asyncio.Task[None]] = set()

    def check(self, item: ticket.Ticket) -> None:
        """Refuse a request that has crashed the endpoints that ran it.

        :raises QuarantinedError: with a time to come back
        """
        name = make_fingerprint(item)
        record = self._board.suspects.records.get(name)
        if record is not None and len(record["crashes"]) >= CRASHES:
            raise errors.QuarantinedError(
                f"{name} was running at {len(record['crashes'])} crashes"
            )

    def note_lost(
        self, item: ticket.Ticket, endpoint: endpoints.Endpoint
    ) -> None:
        """Find out whether an endpoint that lost a request has crashed."""
        task = asyncio.ensure_future(self._confirm(item, endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note_answered(self, item: ticket.Ticket) -> None:
        """Clear a request that was answered whole."""
        now_ms = _read_ms()
        if self._board.suspects.records:
            self._controller.clear(
                self._board.suspects, make_fingerprint(item), now_ms, now_ms
            )

    def make_gossip(self) -> quarantine.QuarantineGossip | None:
        """Return what peers should know."""
        now_ms = _read_ms()
        holder = self._board.escrow.holder
        self._controller.expire(self._board.suspects, holder, now_ms)
        return self._controller.make_gossip(
            self._board.suspects, holder, now_ms
        )

    def receive(self, news: quarantine.QuarantineGossip) -> None:
        """Take over what a peer knows."""
        self._controller.receive(self._board.suspects, news, _read_ms())

    async def _confirm(
        self, item: ticket.Ticket, endpoint: endpoints.Endpoint
    ) -> None:
        await asyncio.sleep(CONFIRM_AFTER_S)
        try:
            connection = await h1client.ClientConnection.open(
                endpoint.address, CONFIRM_TIMEOUT_S
            )
        except transport_errors.ConnectFailedError:
            name = make_fingerprint(item)
            self._controller.record_crash(
                self._board.suspects, name, endpoint.name, _read_ms()
            )
            eliot.log_message(
                "suspect:crash", fingerprint=name, endpoint=endpoint.name
            )
        else:
            connection.close()


def make_fingerprint(item: ticket.Ticket) -> str:
    """Return what a request has in common with its repeats."""
    digest = xxhash.xxh64()
    workspace = item.workspace.name if item.workspace else ""
    for part in (
        item.request.method,
        item.request.target,
        workspace.encode(),
        item.request.body,
    ):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()


def _read_ms() -> int:
    return int(time.time() * MS_PER_S)


__all__ = (
    "CRASHES",
    "Suspects",
    "make_fingerprint",
)
