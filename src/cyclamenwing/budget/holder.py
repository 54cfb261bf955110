"""Spending of one session's grants, the holder's side of the ledger."""

from __future__ import annotations

import dataclasses

from cyclamenwing.budget import errors
from cyclamenwing.budget import types
from cyclamenwing.membership import rank

MAX_UNSETTLED_BILLS = 20_000


@dataclasses.dataclass(slots=True)
class Account:
    """Count what this session holds of one budget, fields cumulative."""

    granted: int = 0
    spent: int = 0
    returned: int = 0
    reserved: int = 0
    version: int = 0
    free: int = 0
    left: int = 0
    known: bool = False
    dirty: bool = False
    wanted: int = 0
    bills: list[types.Bill] = dataclasses.field(default_factory=list)

    def count_available(self) -> int:
        """Return the units that may be reserved now."""
        return self.granted - self.spent - self.returned - self.reserved


@dataclasses.dataclass(slots=True)
class HolderBoard:
    """Hold the accounts of one session by budget.

    :param session: id of the entry's incarnation
    """

    session: str
    accounts: dict[str, Account] = dataclasses.field(default_factory=dict)
    open: dict[int, types.Reservation] = dataclasses.field(
        default_factory=dict
    )
    doubtful: dict[int, types.Reservation] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = 0

    def get_account(self, budget: str) -> Account:
        """Return a budget's account, making it if absent."""
        return self.accounts.setdefault(budget, Account())


class HolderController:
    """Reserve and settle units of the session's grants.

    :param chunk: units asked for beyond the immediate need
    """

    def __init__(self, chunk: int) -> None:
        self._chunk = chunk

    def reserve(
        self,
        board: HolderBoard,
        budget: str,
        amount: int,
        unit: types.Unit = "tokens",
    ) -> types.Reservation | None:
        """Reserve units; None means that a larger grant is needed."""
        account = board.get_account(budget)
        if account.count_available() < amount:
            account.wanted = max(account.wanted, amount)
            return None
        board.sequence += 1
        account.reserved += amount
        made = types.Reservation(
            budget, board.session, board.sequence, amount, unit
        )
        board.open[made.sequence] = made
        return made

    def doubt(
        self, board: HolderBoard, reservation: types.Reservation
    ) -> None:
        """Keep a reservation charged whose run is unknown."""
        if reservation.sequence in board.open:
            board.doubtful[reservation.sequence] = reservation

    def settle(
        self,
        board: HolderBoard,
        reservation: types.Reservation,
        bill: types.Bill | None,
        used: int,
    ) -> None:
        """Turn a reservation into spending; a second call has no effect."""
        if reservation.session != board.session:
            return
        if board.open.pop(reservation.sequence, None) is None:
            return
        board.doubtful.pop(reservation.sequence, None)
        account = board.get_account(reservation.budget)
        account.reserved -= reservation.amount
        account.spent += min(used, reservation.amount)
        account.dirty = True
        if bill is not None:
            account.bills.append(bill)

    def collect_batches(
        self, board: HolderBoard, shards: int
    ) -> list[types.LedgerBatch]:
        """Return what this session has for the ledger, by shard."""
        batches: dict[int, types.LedgerBatch] = {}
        for budget, account in board.accounts.items():
            settles = account.dirty
            asks = account.wanted > account.count_available()
            if not settles and not asks:
                continue
            shard = rank.pick_shard(budget, shards)
            batch = batches.setdefault(
                shard, {"shard": shard, "settlements": [], "grants": []}
            )
            if settles:
                made = self._make_settlement(board, budget, account)
                batch["settlements"].append(made)
            if asks:
                batch["grants"].append(
                    self._make_request(board, budget, account)
                )
        return list(batches.values())

    def apply_reply(
        self,
        board: HolderBoard,
        batch: types.LedgerBatch,
        reply: types.LedgerReply,
    ) -> None:
        """Take over the ledger's answer to a batch."""
        settled = zip(batch["settlements"], reply["settlements"], strict=True)
        for settlement, result in settled:
            self._apply_result(board, settlement, result)
        granted = zip(batch["grants"], reply["grants"], strict=True)
        for request, result in granted:
            self._apply_result(board, request, result)

    def _apply_result(
        self,
        board: HolderBoard,
        op: types.LedgerOp,
        result: types.OpResult,
    ) -> None:
        """Take over the ledger's answer to one operation."""
        account = board.get_account(op["budget"])
        account.granted = max(account.granted, result["granted"])
        account.free = result["free"]
        account.left = result["left"]
        account.known = result["error"] != errors.UnknownBudgetError.code
        if op["op"] == "grant":
            account.wanted = 0
        if op["op"] == "settle" and result["version"] >= op["version"]:
            del account.bills[: len(op["bills"])]
            account.dirty = op["version"] != account.version

    def _make_settlement(
        self, board: HolderBoard, budget: str, account: Account
    ) -> types.Settlement:
        account.version += 1
        return {
            "op": "settle",
            "budget": budget,
            "session": board.session,
            "version": account.version,
            "spent": account.spent,
            "returned": account.returned,
            "bills": list(account.bills),
        }

    def _make_request(
        self, board: HolderBoard, budget: str, account: Account
    ) -> types.GrantRequest:
        floor = account.granted + account.wanted - account.count_available()
        return {
            "op": "grant",
            "budget": budget,
            "session": board.session,
            "target": floor + self._chunk,
            "floor": floor,
        }


__all__ = (
    "MAX_UNSETTLED_BILLS",
    "Account",
    "HolderBoard",
    "HolderController",
)
