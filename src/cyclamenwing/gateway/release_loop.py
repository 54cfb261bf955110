"""Release of what former processes of this host held, after its start."""

from __future__ import annotations

import asyncio

import eliot

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import releases
from cyclamenwing.store import errors as store_errors

# Once a new process has read which predecessors there are, it tries for this
# long to bound the age of their records, so that it can release their holdings
# to the pools.
PREDECESSOR_WINDOW_S = 12.0
PREDECESSOR_POLL_INTERVAL_S = 0.05
MAX_PREDECESSOR_POLL_INTERVAL_S = 1.0
# Bound on the calls to peers for evidence of a record's age.
MAX_STATEMENTS_PER_S = 80.0


class ReleaseLoop:
    """Bound the age of predecessors' records, then release their holdings."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        pool_client: pools.PoolClient,
        gateway_peers: peers.Peers,
        predecessor_release: releases.PredecessorRelease,
    ) -> None:
        self._board = board
        self._pools = pool_client
        self._peers = gateway_peers
        self._releases = predecessor_release

    async def run(self) -> None:
        """Release the holdings of predecessors with a bounded record age.

        It ends after `PREDECESSOR_WINDOW_S`; what is left then stays counted
        as used.
        """
        until_s = clock.read_time() + PREDECESSOR_WINDOW_S
        delay_s = PREDECESSOR_POLL_INTERVAL_S
        while clock.read_time() < until_s:
            if not self._pools.predecessors_read:
                # The store may be away when the process starts.
                until_s = clock.read_time() + PREDECESSOR_WINDOW_S
            members = len(self._board.roster.members)
            await asyncio.sleep(max(delay_s, members / MAX_STATEMENTS_PER_S))
            if self._board.predecessors:
                delay_s = min(delay_s * 1.5, MAX_PREDECESSOR_POLL_INTERVAL_S)
            for predecessor in list(self._board.predecessors):
                await self._release(predecessor)
            self._board.release_pending = bool(self._board.predecessors)
        self._board.release_pending = False
        for predecessor in self._board.predecessors:
            eliot.log_message(
                "funds:predecessor_kept", holder=predecessor.holder
            )

    async def _release(self, predecessor: record_age.Predecessor) -> None:
        roster = self._board.roster
        evidence = []
        if (
            predecessor.boot_elapsed_s is None
            or predecessor.boot_elapsed_s > escrow.OUTAGE_AGE_S
        ):
            evidence = await self._peers.request_record_ages(
                predecessor.holder
            )
        age = record_age.bound_age(
            predecessor,
            len(roster.members),
            min(len(roster.members), roster.count_delegates() - 1),
            evidence,
        )
        if age is None:
            return
        try:
            await self._releases.release(predecessor, age)
        except store_errors.StoreError as err:
            eliot.log_message("funds:close_failed", code=err.code)


__all__ = ("ReleaseLoop",)
