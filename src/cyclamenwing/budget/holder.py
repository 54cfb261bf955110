"""Reservations and settlement, the holder's side of the ledger."""

from __future__ import annotations

from cyclamenwing.budget import account as accounts
from cyclamenwing.budget import errors
from cyclamenwing.budget import types

MAX_UNSETTLED_BILLS = 20_000


class HolderController:
    """Reserve and settle units of the session's grants."""

    def reserve(
        self,
        board: accounts.HolderBoard,
        budget: str,
        amount: int,
        unit: types.Unit,
        now: float,
    ) -> types.Reservation | None:
        """Reserve units; None means that a larger grant is needed.

        Raise `BillsFullError` when no further bill can be held.
        """
        if board.unsettled + len(board.open) >= MAX_UNSETTLED_BILLS:
            raise errors.BillsFullError("too many bills not yet settled")
        account = board.get_account(budget)
        if account.count_available() < amount:
            return None
        account.sequence += 1
        account.reserved += amount
        account.note_demand(amount, now)
        account.open.add(account.sequence)
        made = types.Reservation(
            budget, board.session, account.sequence, amount, unit
        )
        board.open[budget, account.sequence] = made
        return made

    def add_waiter(
        self, board: accounts.HolderBoard, budget: str, amount: int
    ) -> int:
        """Take note that a request waits for units; return its ticket."""
        account = board.get_account(budget)
        account.tickets += 1
        account.waiting[account.tickets] = amount
        board.waiting.add(budget)
        return account.tickets

    def remove_waiter(
        self, board: accounts.HolderBoard, budget: str, ticket: int
    ) -> None:
        """Take note that a request waits no more."""
        account = board.get_account(budget)
        account.waiting.pop(ticket, None)
        if not account.waiting:
            board.waiting.discard(budget)

    def release(
        self, board: accounts.HolderBoard, reservation: types.Reservation
    ) -> None:
        """Give back the reservation of a request that did not run."""
        self._close(board, reservation)

    def settle(
        self,
        board: accounts.HolderBoard,
        reservation: types.Reservation,
        bill: types.Bill,
    ) -> None:
        """Turn a reservation into a bill; a second call has no effect."""
        if not self._close(board, reservation):
            return
        account = board.get_account(reservation.budget)
        account.spent += bill["units"]
        account.bills.append(bill)
        board.unsettled += 1

    def mark_in_doubt(
        self,
        board: accounts.HolderBoard,
        reservation: types.Reservation,
        bill: types.Bill,
        now: float,
    ) -> None:
        """Keep a reservation charged whose run is unknown."""
        name = reservation.budget, reservation.sequence
        if reservation.session == board.session and name in board.open:
            board.in_doubt[name] = accounts.Doubtful(reservation, bill, now)

    def resolve(
        self,
        board: accounts.HolderBoard,
        name: accounts.ReservationName,
        used: int | None,
    ) -> None:
        """End a doubt; None means that the request did not run."""
        held = board.in_doubt.get(name)
        if held is None:
            return
        if used is None:
            self.release(board, held.reservation)
            return
        units = min(used, held.reservation.amount)
        bill = held.bill.copy()
        bill["units"] = units
        self.settle(board, held.reservation, bill)

    def _close(
        self, board: accounts.HolderBoard, reservation: types.Reservation
    ) -> bool:
        if reservation.session != board.session:
            return False
        name = reservation.budget, reservation.sequence
        if board.open.pop(name, None) is None:
            return False
        board.in_doubt.pop(name, None)
        account = board.get_account(reservation.budget)
        account.open.discard(reservation.sequence)
        account.reserved -= reservation.amount
        account.dirty = True
        return True


__all__ = (
    "MAX_UNSETTLED_BILLS",
    "HolderController",
)
