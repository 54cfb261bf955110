"""Registration of this gateway in the store, and the list of all others."""

from __future__ import annotations

import asyncio
import math
import random

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.membership import delegates
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

HOSTS_PREFIX = "cyclamenwing/hosts/"
RETRY_DELAY_S = 1.0
# The same after the store has returned from an older copy.
ERA_RETRY_DELAY_S = 0.2
# When the whole fleet starts for the first time, the list is complete after
# this time; until then no gateway draws tokens.
BOOTSTRAP_DELAY_S = 1.5
# Interval at which the list is read again. New gateways also announce
# themselves by gossip.
REFRESH_INTERVAL_S = 15.0


class Registration:
    """Register this gateway and keep the roster up to date."""

    def __init__(
        self, board: blackboard.Blackboard, store: protocol.TransactionStore
    ) -> None:
        self._board = board
        self._store = store
        # Era in which this gateway has registered.
        self._era = 0
        # Set once the roster is complete enough to know the delegates.
        self.settled = asyncio.Event()

    async def run(self) -> None:
        """Register, then read the list of gateways until cancelled."""
        while not await self._register():
            await asyncio.sleep(RETRY_DELAY_S)
        if self._board.first_start:
            await asyncio.sleep(BOOTSTRAP_DELAY_S)
            await self._read_members(stale=False)
        self._board.roster.settle(clock.read_time())
        self.settled.set()
        while True:
            # Spread over time, so that the fleet does not read at once.
            delay_s = REFRESH_INTERVAL_S * random.uniform(0.8, 1.2)
            if await self._board.eras.wait(self._era, delay_s):
                await self._register_again()
            else:
                await self._read_members(stale=True)

    async def _register_again(self) -> None:
        """Write the entry that an older copy of the store may lack."""
        while not await self._register():
            await asyncio.sleep(ERA_RETRY_DELAY_S * random.uniform(0.5, 1.5))

    async def _register(self) -> bool:
        own = self._board.roster.own
        key = HOSTS_PREFIX + own.host
        write = (key, msgspec.json.encode(own))
        try:
            if self._board.settings.bootstrap and not self._era:
                outcome = await self._store.commit([(key, 0)], [write])
                self._record_first_start(outcome)
            outcome = await self._store.commit([], [write])
        except store_errors.StoreError as err:
            eliot.log_message("registration:failed", code=err.code)
            return False
        self._era = outcome.era
        return await self._read_members(stale=False)

    def _record_first_start(
        self, outcome: protocol.Committed | protocol.Conflict
    ) -> None:
        """Record that the whole fleet starts for the first time.

        The setting may still say so when a process of the host starts again.
        Streams and configurations of former processes would then count as
        none, so the store must not know the host yet.
        """
        own = self._board.roster.own
        first = isinstance(outcome, protocol.Committed) or any(
            read_member(entry) == own for entry in outcome.entries
        )
        eliot.log_message("registration:bootstrap", first=first)
        if first:
            self._board.first_start = True
            # No stream began before.
            self._board.versions.since_s = -math.inf

    async def _read_members(self, stale: bool) -> bool:
        """Read all registered gateways; return whether the store answered.

        :param stale: accept a list that is some seconds old, which costs the
            store less
        """
        try:
            snapshot = await self._store.read(HOSTS_PREFIX, stale=stale)
        except store_errors.StoreError as err:
            eliot.log_message("registration:read_failed", code=err.code)
            return False
        roster = self._board.roster
        for entry in snapshot.entries:
            member = read_member(entry)
            if member is not None:
                roster.add(member)
        self._board.registered = True
        roster.refresh(clock.read_time())
        eliot.log_message(
            "registration:members",
            members=len(roster.members),
            delegates=roster.count_delegates(),
            acts_as_delegate=roster.acts_as_delegate,
        )
        return True


def read_member(entry: protocol.Entry) -> delegates.Member | None:
    """Return a registered gateway, None if its entry can't be read."""
    try:
        return decoding.decode(entry.value, delegates.Member)
    except msgspec.DecodeError as err:
        eliot.log_message(
            "registration:unreadable", key=entry.key, reason=str(err)
        )
        return None


__all__ = (
    "HOSTS_PREFIX",
    "Registration",
    "read_member",
)
