"""Check that no software version of an endpoint was missed.

A gateway that is cut off, stands still or has a silent watch knows only the
endpoints of some seconds ago, and can't tell. A stream may have begun at an
endpoint that has joined since. So before it takes the only version that it
knows for the one that began a stream, it asks the store for changes that it
has not followed, or hears from a peer if the store is away: then no endpoint
joins, and gossip tells which versions joined before.
"""

from __future__ import annotations

import asyncio

import eliot

from cyclamenwing import errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import follower
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

STORE_TIMEOUT_S = 0.3
# Live peers send gossip within this time.
GOSSIP_WAIT_S = 0.5
GOSSIP_POLL_INTERVAL_S = 0.02


class VersionCheck:
    """Record versions of endpoints that this gateway has not followed yet.

    Checks that are asked for while one runs share the next one, so their cost
    does not grow with the number of streams.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: protocol.TransactionStore,
        endpoint_follower: follower.EndpointFollower,
        codec: follower.Codec,
    ) -> None:
        self._board = board
        self._store = store
        self._endpoints = endpoint_follower
        self._codec = codec
        self._running: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None

    async def check(self) -> bool:
        """Return whether the history of versions is complete up to now."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._run_next(self._running))
        return await asyncio.shield(self._next)

    async def _run_next(self, before: asyncio.Task[bool] | None) -> bool:
        if before is not None:
            await asyncio.wait({before})
        self._running, self._next = self._next, None
        began_s = clock.read_time()
        try:
            async with asyncio.timeout(STORE_TIMEOUT_S):
                await self._ask_store()
            return True
        except (store_errors.StoreError, TimeoutError) as err:
            heard = await self._hear_peer(began_s)
            eliot.log_message(
                "versions:not_read", reason=repr(err), heard=heard
            )
            return heard

    async def _ask_store(self) -> None:
        """Record what has changed since the position of the watch."""
        position = (
            self._endpoints.follower.position
            if self._endpoints.follower
            else follower.Position(0, 0)
        )
        prefix = self._codec.endpoints_prefix
        try:
            changes = await self._store.follow(prefix, position.revision, 0.0)
            if changes.era == position.era:
                for change in changes.changes:
                    self._record(change.key, change.value)
                return
        except store_errors.StoreHistoryLostError:
            pass
        for entry in (await self._store.read(prefix)).entries:
            self._record(entry.key, entry.value)

    def _record(self, key: str, value: bytes | None) -> None:
        if value is None:
            return
        try:
            endpoint = self._codec.read_endpoint(key, value)
        except errors.CodedError:
            # The watch logs it.
            return
        self._board.versions.record(
            [(endpoint.service, endpoint.software)], clock.read_time()
        )

    async def _hear_peer(self, since_s: float) -> bool:
        """Wait for gossip of a peer; return whether some came.

        A gateway that knows no others has none to hear from.
        """
        board = self._board
        if not board.roster.members and not board.peers:
            return True
        while clock.read_time() - since_s < GOSSIP_WAIT_S:
            if any(peer.received_s > since_s for peer in board.peers.values()):
                return True
            await asyncio.sleep(GOSSIP_POLL_INTERVAL_S)
        return False


__all__ = ("VersionCheck",)
