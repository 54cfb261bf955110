"""Reservation and settlement of budget units for requests."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing import tasks
from cyclamenwing.budget import billing
from cyclamenwing.budget import coordinator
from cyclamenwing.budget import errors
from cyclamenwing.budget import holder
from cyclamenwing.budget import messages
from cyclamenwing.budget import sizing
from cyclamenwing.budget import types
from cyclamenwing.entry import admission
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import ledger_client
from cyclamenwing.entry import transfers
from cyclamenwing.request import types as request_types
from cyclamenwing.transport import server

SETTLE_INTERVAL_S = 5.0
RETRY_SOON_S = 2.0
RETRY_LATER_S = 60.0


class LedgerHandler(server.PeerHandler):
    """Serve ``POST /peer/ledger``."""

    def initialize(self, ledger: coordinator.Coordinator) -> None:
        """Store the coordinator that commits ledger batches."""
        self._ledger = ledger

    async def post(self) -> None:
        """Commit a batch as the shard's coordinator."""
        batch = self.decode_body(messages.LedgerBatch)
        self.write_json(await self._ledger.submit(batch))


class Funding:
    """Reserve units for requests and report what is spent to the ledger.

    :param board: the entry's state
    :param ledger: client of the ledger's coordinators
    :param peer_transfers: transfers of units from peers
    :param size: sizes of grants and the share of a request's timeout
        that it may wait for units
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        ledger: ledger_client.LedgerClient,
        peer_transfers: transfers.Transfers,
        size: sizing.Sizing,
    ) -> None:
        self._board = board
        self._ledger = ledger
        self._transfers = peer_transfers
        self._size = size
        self._controller = holder.HolderController()
        self._tasks: set[asyncio.Task[bool]] = set()
        self._collection_locks: dict[str, asyncio.Lock] = {}
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"ledger": self._ledger.local}
        return [(r"/peer/ledger", LedgerHandler, options)]

    def start(self) -> None:
        """Start the periodic settlement with the ledger."""
        self._task = tasks.start_loop(self._run)

    async def close(self) -> None:
        """Return unused units, send the last settlements and stop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        for account in self._board.holder.accounts.values():
            unused = account.count_available()
            if unused > 0 and not account.incoming:
                account.returned += unused
                account.dirty = True
        await self._settle()

    async def reserve(
        self, admitted: admission.AdmittedRequest
    ) -> list[types.Reservation]:
        """Reserve units for all needs; on failure reserve none and raise."""
        reservations: list[types.Reservation] = []
        deadline = (
            time.monotonic() + admitted.timeout_s * self._size.wait_share
        )
        try:
            for need in admitted.needs:
                reservations.append(await self._reserve_one(need, deadline))
        except base_errors.CodedError:
            self.release(reservations)
            raise
        return reservations

    def release(self, reservations: list[types.Reservation]) -> None:
        """Release the reservations of a request that did not run."""
        for reservation in reservations:
            self._controller.release(self._board.holder, reservation)

    def mark_in_doubt(
        self,
        admitted: admission.AdmittedRequest,
        reservations: list[types.Reservation],
    ) -> None:
        """Keep reservations charged while it is unknown whether they ran.

        They stay charged until the sidecars of the session report whether
        the request ran and what it used.
        """
        for reservation in reservations:
            bill = _make_bill(admitted, reservation, reservation.amount)
            self._controller.mark_in_doubt(
                self._board.holder, reservation, bill, time.time()
            )

    def settle(
        self,
        admitted: admission.AdmittedRequest,
        reservations: list[types.Reservation],
        usage: request_types.Usage,
    ) -> None:
        """Bill the used units and release the rest of the reservations."""
        tokens = usage["prompt"] + usage["completion"]
        used = {"tokens": tokens, "requests": 1}
        for reservation in reservations:
            units = min(used[reservation.unit], reservation.amount)
            self._controller.settle(
                self._board.holder,
                reservation,
                _make_bill(admitted, reservation, units),
            )

    async def _reserve_one(
        self, need: admission.Need, deadline: float
    ) -> types.Reservation:
        reservation = self._try_reserve(need)
        if reservation is not None:
            return reservation
        board = self._board.holder
        wait_ticket = self._controller.add_waiter(
            board, need.budget, need.amount
        )
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + max(0.0, deadline - time.monotonic())
            ):
                reservation = await self._acquire(need, deadline)
        except TimeoutError:
            reservation = self._try_reserve(need)
        finally:
            self._controller.remove_waiter(board, need.budget, wait_ticket)
        if reservation is None:
            raise self._make_refusal(need)
        return reservation

    async def _acquire(
        self, need: admission.Need, deadline: float
    ) -> types.Reservation | None:
        """Request units from the ledger, then from peers, then the ledger.

        The second request to the ledger accepts a partial grant. Peers are
        not asked if the ledger reports too few units left in the budget.
        """
        reachable = await self._ledger.request_grants(need.budget)
        reservation = self._try_reserve(need)
        if reservation is not None:
            return reservation
        account = self._board.holder.get_account(need.budget)
        if reachable and account.left < need.amount:
            return None
        lock = self._collection_locks.setdefault(need.budget, asyncio.Lock())
        async with lock:
            if (reservation := self._try_reserve(need)) is not None:
                return reservation
            await self._transfers.collect(need.budget, need.amount, deadline)
            if (
                reservation := self._try_reserve(need)
            ) is not None or not reachable:
                self._report_transfers(need.budget)
                return reservation
            account.partial = True
            try:
                await self._ledger.request_grants(need.budget)
            finally:
                account.partial = False
            return self._try_reserve(need)

    def _report_transfers(self, budget: str) -> None:
        """Report received transfers to the ledger in the background.

        Units of a transfer that the ledger has counted can be transferred
        again.
        """
        if budget not in self._board.holder.unreported_budgets:
            return
        task = asyncio.create_task(self._ledger.request_grants(budget))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _try_reserve(self, need: admission.Need) -> types.Reservation | None:
        return self._controller.reserve(
            self._board.holder,
            need.budget,
            need.amount,
            need.unit,
            time.monotonic(),
        )

    def _make_refusal(self, need: admission.Need) -> base_errors.CodedError:
        account = self._board.holder.get_account(need.budget)
        if account.answered and not account.exists:
            return errors.UnknownBudgetError(
                f"budget {need.budget!r} has never been topped up"
            )
        own = max(0, account.count_available()) + account.reserved
        out_of_reach = max(0, account.left - own - max(0, account.free))
        soon = account.left >= need.amount or not account.answered
        return errors.BudgetExhaustedError(
            need.budget,
            need.amount,
            account.left,
            out_of_reach,
            RETRY_SOON_S if soon else RETRY_LATER_S,
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SETTLE_INTERVAL_S)
            await self._settle()

    async def _settle(self) -> None:
        try:
            await self._ledger.settle()
        except base_errors.CodedError as err:
            eliot.log_message("entry:settle_failed", code=err.code)


def _make_bill(
    admitted: admission.AdmittedRequest,
    reservation: types.Reservation,
    units: int,
) -> types.Bill:
    return {
        "request": admitted.request,
        "key": billing.make_bill_key(
            admitted.key, admitted.request, admitted.fingerprint
        ),
        "workspace": admitted.workspace["name"],
        "budget": reservation.budget,
        "session": reservation.session,
        "sequence": reservation.sequence,
        "kind": admitted.kind,
        "reviewer": admitted.reviewer,
        "units": units,
        "at": time.time(),
    }


__all__ = ("Funding",)
