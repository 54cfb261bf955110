"""Reservation and settlement of the units that a session holds."""

from __future__ import annotations

from cyclamenwing.budget import account as accounts
from cyclamenwing.budget import errors
from cyclamenwing.budget import types

MAX_UNSETTLED_BILLS = 20_000


class HolderController:
    """Reserve and settle units of a session's grants."""

    def reserve(
        self,
        board: accounts.HolderBoard,
        budget: str,
        amount: int,
        unit: types.Unit,
        now: float,
    ) -> types.Reservation | None:
        """Reserve units; return None if a larger grant is needed.

        :raises BillsFullError: if too many bills are not settled
        """
        if board.unsettled + len(board.open) >= MAX_UNSETTLED_BILLS:
            raise errors.BillsFullError("too many bills are not settled")
        account = board.get_account(budget)
        if account.count_available() < amount:
            return None
        account.last_sequence += 1
        account.reserved += amount
        account.record_demand(amount, now)
        account.open.add(account.last_sequence)
        reservation = types.Reservation(
            budget, board.session, account.last_sequence, amount, unit
        )
        board.open[budget, account.last_sequence] = reservation
        return reservation

    def add_waiter(
        self, board: accounts.HolderBoard, budget: str, amount: int
    ) -> int:
        """Record that a request waits for units; return its ticket."""
        account = board.get_account(budget)
        account.last_ticket += 1
        account.waiting_amounts[account.last_ticket] = amount
        board.waiting_budgets.add(budget)
        return account.last_ticket

    def remove_waiter(
        self, board: accounts.HolderBoard, budget: str, ticket: int
    ) -> None:
        """Record that a request no longer waits."""
        account = board.get_account(budget)
        account.waiting_amounts.pop(ticket, None)
        if not account.waiting_amounts:
            board.waiting_budgets.discard(budget)

    def release(
        self, board: accounts.HolderBoard, reservation: types.Reservation
    ) -> None:
        """Release the reservation of a request that did not run."""
        self._close(board, reservation)

    def settle(
        self,
        board: accounts.HolderBoard,
        reservation: types.Reservation,
        bill: types.Bill,
    ) -> None:
        """Replace a reservation by its bill; a repeated call has no effect."""
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
        """Keep a reservation charged whose run has an unknown outcome."""
        name = reservation.budget, reservation.sequence
        if reservation.session == board.session and name in board.open:
            board.in_doubt[name] = accounts.InDoubtReservation(
                reservation, bill, now
            )

    def resolve(
        self,
        board: accounts.HolderBoard,
        name: accounts.ReservationName,
        used: int | None,
    ) -> None:
        """Settle or release a reservation in doubt.

        :param used: units that the run used; None if it did not run
        """
        in_doubt = board.in_doubt.get(name)
        if in_doubt is None:
            return
        if used is None:
            self.release(board, in_doubt.reservation)
            return
        units = min(used, in_doubt.reservation.amount)
        bill = in_doubt.bill.copy()
        bill["units"] = units
        self.settle(board, in_doubt.reservation, bill)

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
