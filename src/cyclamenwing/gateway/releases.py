"""Release of holdings that dead processes of the host can't have used."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import eliot

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import eras
from cyclamenwing.gateway import pool_restoration
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import records
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

POOL_PREFIX = pool_restoration.POOL_PREFIX
# Longest delay after a conflict with another gateway.
MAX_RETRY_DELAY_S = 0.02


class PredecessorRelease:
    """Release the holdings of predecessors to the pools.

    :param request_draw: called once tokens became free
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: protocol.TransactionStore,
        request_draw: Callable[[], None],
    ) -> None:
        self._board = board
        self._store = store
        self._request_draw = request_draw

    async def release(
        self, predecessor: record_age.Predecessor, age: record_age.Age
    ) -> None:
        """Release the holdings that a predecessor can't have used.

        :param age: upper bound on the age of its record at its death
        """
        proved = predecessor._replace(age=age)
        self._board.predecessors = [
            proved if other is predecessor else other
            for other in self._board.predecessors
        ]
        for workspace in list(self._board.escrow.pools):
            # Each pool has a commit of its own: after a power loss of the
            # fleet all hosts do this at once, and commits of many pools
            # would all conflict with each other.
            while not await self._release_holder(predecessor, workspace, age):
                await asyncio.sleep(random.uniform(0.0, MAX_RETRY_DELAY_S))
        self._board.predecessors.remove(proved)
        self._request_draw()

    async def _release_holder(
        self,
        predecessor: record_age.Predecessor,
        workspace: str,
        age: record_age.Age,
    ) -> bool:
        own_escrow = self._board.escrow
        if workspace in own_escrow.unopened:
            raise store_errors.StoreUnavailableError(
                f"the pool of {workspace} is not restored yet"
            )
        pool = own_escrow.open_pool(workspace)
        drawn = pool.holders.get(predecessor.holder)
        if drawn is None:
            return True
        usage_bound = predecessor.usage_bounds.get(workspace)
        bound = (
            usage_bound.compute_limit(age.elapsed_s, age.late)
            if usage_bound
            else drawn
        )
        holders = escrow.release_holder(
            pool.holders, predecessor.holder, bound
        )
        key = POOL_PREFIX + workspace
        mark = own_escrow.find_mark(workspace)
        outcome = await eras.commit(
            self._store,
            own_escrow.era,
            [(key, pool.revision)],
            [(key, records.encode_pool(holders, mark))],
        )
        if isinstance(outcome, protocol.Conflict):
            for entry in outcome.entries:
                state = records.read_pool(entry, self._board.eras)
                own_escrow.update_pool(
                    workspace, state.revision, state.holders, state.mark
                )
            return False
        own_escrow.update_pool(workspace, outcome.revision, holders)
        eliot.log_message(
            "funds:predecessor_closed",
            holder=predecessor.holder,
            workspace=workspace,
            drawn=drawn,
            bound=bound,
            elapsed_s=round(age.elapsed_s, 2),
            late=age.late,
        )
        return True


__all__ = ("PredecessorRelease",)
