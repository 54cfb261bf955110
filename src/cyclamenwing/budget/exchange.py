"""Operations that a holder sends to the ledger, and their results."""

from __future__ import annotations

from cyclamenwing.budget import account as accounts
from cyclamenwing.budget import errors
from cyclamenwing.budget import ledger
from cyclamenwing.budget import messages
from cyclamenwing.budget import sizing
from cyclamenwing.budget import types
from cyclamenwing.membership import rendezvous

MAX_BATCH_BILLS = 500
# A refill is requested only if the units to expect exceed this share of the
# target.
MIN_REFILL_SHARE = 0.05


class ExchangeController:
    """Create ledger operations for a holder's accounts; apply the results.

    :param size: policy for how much a session holds
    """

    def __init__(self, size: sizing.Sizing) -> None:
        self._size = size

    def collect_batches(
        self,
        board: accounts.HolderBoard,
        shards: int,
        now: float,
    ) -> list[messages.LedgerBatch]:
        """Return all due operations of a session, one batch for each shard."""
        batches: dict[int, messages.LedgerBatch] = {}
        for budget, account in board.accounts.items():
            self._return_surplus(account, now)
            rate = account.measure_rate(now)
            requests_grant = _is_short(account) or self._may_refill(
                account, rate
            )
            if not requests_grant and not account.dirty:
                continue
            shard = rendezvous.pick_shard(budget, shards)
            batch = batches.setdefault(shard, ledger.make_batch(shard))
            self._add_ops(batch, board, budget, rate, requests_grant)
        return list(batches.values())

    def collect_urgent(
        self,
        board: accounts.HolderBoard,
        shards: int,
        shard: int,
        now: float,
    ) -> messages.LedgerBatch | None:
        """Return the urgent operations of a session for one shard.

        These are grants that requests wait for and incoming transfers that
        the shard has to count soon. Return None if there are none.
        """
        batch = ledger.make_batch(shard)
        for budget in board.waiting_budgets | board.unreported_budgets:
            if rendezvous.pick_shard(budget, shards) != shard:
                continue
            account = board.accounts[budget]
            short = _is_short(account)
            if short or account.incoming:
                rate = account.measure_rate(now)
                self._add_ops(batch, board, budget, rate, short)
        return batch if ledger.list_ops(batch) else None

    def apply_reply(
        self,
        board: accounts.HolderBoard,
        batch: messages.LedgerBatch,
        reply: messages.LedgerReply,
    ) -> None:
        """Apply the ledger's reply to a batch."""
        ops = ledger.list_ops(batch)
        for op, result in zip(ops, reply["results"], strict=True):
            if op["op"] in {"settle", "grant"}:
                self._apply_result(board, result)

    def _apply_result(
        self,
        board: accounts.HolderBoard,
        result: messages.OpResult,
    ) -> None:
        account = board.get_account(result["budget"])
        if result["closing"] or result["error"] in _STALE_CODES:
            board.stale = True
            return
        account.answered = True
        account.exists = result["error"] != errors.UnknownBudgetError.code
        if result["version"] < account.version:
            return
        account.version = result["version"]
        account.granted = result["granted"]
        account.free = result["free"]
        account.left = result["left"]
        account.total_rate = result["rate"]
        self._confirm_transfers(account, result)
        if not account.incoming:
            board.unreported_budgets.discard(result["budget"])
        self._confirm_bills(board, account, result)

    def _confirm_transfers(
        self, account: accounts.BudgetAccount, result: messages.OpResult
    ) -> None:
        for number in list(account.outgoing):
            if number < result["given"]:
                del account.outgoing[number]
        counted = {(t["donor"], t["number"]) for t in result["taken"]}
        for name in counted:
            account.incoming.pop(name, None)
            account.dirty = account.dirty or name not in account.unacknowledged
            account.unacknowledged[name] = None
            account.counted_transfers[name] = None
        while len(account.counted_transfers) > accounts.MAX_COUNTED_TRANSFERS:
            del account.counted_transfers[
                next(iter(account.counted_transfers))
            ]
        # The shard stops listing a transfer once it has the acknowledgement.
        for name in list(account.unacknowledged):
            if name not in counted:
                del account.unacknowledged[name]

    def _confirm_bills(
        self,
        board: accounts.HolderBoard,
        account: accounts.BudgetAccount,
        result: messages.OpResult,
    ) -> None:
        still_open = set(result["open"])
        unconfirmed = [
            bill
            for bill in account.bills
            if bill["sequence"] >= result["next"]
            or bill["sequence"] in still_open
        ]
        board.unsettled -= len(account.bills) - len(unconfirmed)
        account.confirmed_sequences = result["next"], tuple(result["open"])
        account.bills = unconfirmed
        if unconfirmed or account.outgoing or account.incoming:
            account.dirty = True

    def fail_batch(
        self, board: accounts.HolderBoard, batch: messages.LedgerBatch
    ) -> None:
        """Mark the accounts of a failed batch to send settlements again."""
        for settlement in batch["settlements"]:
            board.get_account(settlement["budget"]).dirty = True

    def _may_refill(
        self, account: accounts.BudgetAccount, rate: float
    ) -> bool:
        """Return whether holdings are low and the budget can refill them.

        The units to expect are the free ones, shared in proportion to the
        demand of all sessions.
        """
        if not self._size.needs_refill(account.count_available(), rate):
            return False
        share = account.free * rate / max(rate, account.total_rate)
        return share > MIN_REFILL_SHARE * self._size.compute_target(rate, 0)

    def _add_ops(
        self,
        batch: messages.LedgerBatch,
        board: accounts.HolderBoard,
        budget: str,
        rate: float,
        requests_grant: bool,
    ) -> None:
        account = board.accounts[budget]
        if account.dirty:
            batch["settlements"].append(
                self._make_settlement(board, budget, account, rate)
            )
        if requests_grant:
            batch["grants"].append(
                self._make_grant_request(board, budget, account, rate)
            )

    def _return_surplus(
        self, account: accounts.BudgetAccount, now: float
    ) -> None:
        if account.waiting_amounts or account.incoming:
            return
        surplus = self._size.compute_surplus(
            account.count_available(), account.measure_rate(now)
        )
        if surplus > 0 and account.answered:
            account.returned += surplus
            account.dirty = True

    def _make_settlement(
        self,
        board: accounts.HolderBoard,
        budget: str,
        account: accounts.BudgetAccount,
        rate: float,
    ) -> messages.Settlement:
        sent = account.bills[:MAX_BATCH_BILLS]
        unsent = [bill["sequence"] for bill in account.bills[MAX_BATCH_BILLS:]]
        account.dirty = bool(unsent)
        return {
            "op": "settle",
            "budget": budget,
            "session": board.session,
            "next": account.last_sequence + 1,
            "open": sorted([*account.open, *unsent]),
            "returned": account.returned,
            "bills": sent,
            "transfers": list_transfers(account),
            "known": list(account.unacknowledged),
            "rate": rate,
        }

    def _make_grant_request(
        self,
        board: accounts.HolderBoard,
        budget: str,
        account: accounts.BudgetAccount,
        rate: float,
    ) -> messages.GrantRequest:
        available = account.count_available()
        wanted = account.count_waiting()
        smallest = min(account.waiting_amounts.values(), default=0)
        target = wanted + self._size.compute_target(rate, smallest)
        return {
            "op": "grant",
            "budget": budget,
            "session": board.session,
            "target": account.granted + max(0, target - available),
            "floor": account.granted + max(0, smallest - available),
            "rate": rate,
            "partial": account.partial,
        }


def _is_short(account: accounts.BudgetAccount) -> bool:
    return account.count_waiting() > account.count_available()


def list_transfers(account: accounts.BudgetAccount) -> list[types.Transfer]:
    """Return the transfers that the ledger shard may not count yet."""
    return [*account.outgoing.values(), *account.incoming.values()]


_STALE_CODES = frozenset((errors.StaleSessionError.code,))

__all__ = (
    "MAX_BATCH_BILLS",
    "ExchangeController",
    "list_transfers",
)
