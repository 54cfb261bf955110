"""What a holder and the ledger tell each other."""

from __future__ import annotations

from cyclamenwing.budget import account as accounts
from cyclamenwing.budget import errors
from cyclamenwing.budget import ledger
from cyclamenwing.budget import messages
from cyclamenwing.budget import sizing
from cyclamenwing.budget import types
from cyclamenwing.membership import rank

MAX_BATCH_BILLS = 500
MIN_REFILL_SHARE = 0.05


class ExchangeController:
    """Make ledger operations of a holder's accounts, and take answers.

    :param size: how much a session holds
    """

    def __init__(self, size: sizing.Sizing) -> None:
        self._size = size

    def collect_batches(
        self,
        board: accounts.HolderBoard,
        shards: int,
        now: float,
    ) -> list[messages.LedgerBatch]:
        """Return all that the session has for the ledger, by shard."""
        batches: dict[int, messages.LedgerBatch] = {}
        for budget, account in board.accounts.items():
            self._give_back(account, now)
            rate = account.measure_rate(now)
            asks = _is_short(account) or self._may_refill(account, rate)
            if not asks and not account.dirty:
                continue
            shard = rank.pick_shard(budget, shards)
            batch = batches.setdefault(shard, ledger.make_batch(shard))
            self._add_ops(batch, board, budget, rate, asks)
        return list(batches.values())

    def collect_urgent(
        self,
        board: accounts.HolderBoard,
        shards: int,
        shard: int,
        now: float,
    ) -> messages.LedgerBatch | None:
        """Return what requests wait for, and transfers, of one shard."""
        batch = ledger.make_batch(shard)
        for budget in board.waiting | board.unreported_budgets:
            if rank.pick_shard(budget, shards) != shard:
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
        """Take over the ledger's answer to a batch."""
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
        if result["closing"] or result["error"] in _STALE:
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
        account.demand = result["rate"]
        self._confirm_transfers(account, result)
        if not account.incoming:
            board.unreported_budgets.discard(result["budget"])
        self._confirm_bills(board, account, result)

    def _confirm_transfers(
        self, account: accounts.BudgetAccount, result: messages.OpResult
    ) -> None:
        for number in list(account.giving):
            if number < result["given"]:
                del account.giving[number]
        counted = {(t["donor"], t["number"]) for t in result["taken"]}
        for name in counted:
            account.incoming.pop(name, None)
            account.dirty = account.dirty or name not in account.known
            account.known[name] = None
            account.seen[name] = None
        while len(account.seen) > accounts.MAX_SEEN:
            del account.seen[next(iter(account.seen))]
        # What the shard lists no longer, it has seen acknowledged.
        for name in list(account.known):
            if name not in counted:
                del account.known[name]

    def _confirm_bills(
        self,
        board: accounts.HolderBoard,
        account: accounts.BudgetAccount,
        result: messages.OpResult,
    ) -> None:
        still_open = set(result["open"])
        kept = [
            bill
            for bill in account.bills
            if bill["sequence"] >= result["next"]
            or bill["sequence"] in still_open
        ]
        board.unsettled -= len(account.bills) - len(kept)
        account.confirmed_sequences = result["next"], tuple(result["open"])
        account.bills = kept
        if kept or account.giving or account.incoming:
            account.dirty = True

    def fail_batch(
        self, board: accounts.HolderBoard, batch: messages.LedgerBatch
    ) -> None:
        """Take note that a batch has no answer; it is told again."""
        for settlement in batch["settlements"]:
            board.get_account(settlement["budget"]).dirty = True

    def _may_refill(
        self, account: accounts.BudgetAccount, rate: float
    ) -> bool:
        """Tell whether the stock is low and the budget can fill it."""
        if not self._size.needs_refill(account.count_available(), rate):
            return False
        share = account.free * rate / max(rate, account.demand)
        return share > MIN_REFILL_SHARE * self._size.find_stock(rate, 0)

    def _add_ops(
        self,
        batch: messages.LedgerBatch,
        board: accounts.HolderBoard,
        budget: str,
        rate: float,
        asks: bool,
    ) -> None:
        account = board.accounts[budget]
        if account.dirty:
            batch["settlements"].append(
                self._make_settlement(board, budget, account, rate)
            )
        if asks:
            batch["grants"].append(
                self._make_request(board, budget, account, rate)
            )

    def _give_back(self, account: accounts.BudgetAccount, now: float) -> None:
        if account.waiting or account.incoming:
            return
        surplus = self._size.find_surplus(
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
            "next": account.sequence + 1,
            "open": sorted([*account.open, *unsent]),
            "returned": account.returned,
            "bills": sent,
            "transfers": list_transfers(account),
            "known": list(account.known),
            "rate": rate,
        }

    def _make_request(
        self,
        board: accounts.HolderBoard,
        budget: str,
        account: accounts.BudgetAccount,
        rate: float,
    ) -> messages.GrantRequest:
        available = account.count_available()
        wanted = account.count_wanted()
        least = min(account.waiting.values(), default=0)
        stock = wanted + self._size.find_stock(rate, least)
        return {
            "op": "grant",
            "budget": budget,
            "session": board.session,
            "target": account.granted + max(0, stock - available),
            "floor": account.granted + max(0, least - available),
            "rate": rate,
            "partial": account.partial,
        }


def _is_short(account: accounts.BudgetAccount) -> bool:
    return account.count_wanted() > account.count_available()


def list_transfers(account: accounts.BudgetAccount) -> list[types.Transfer]:
    """Return the transfers that the shard may not count yet."""
    return [*account.giving.values(), *account.incoming.values()]


_STALE = frozenset((errors.StaleSessionError.code,))

__all__ = (
    "MAX_BATCH_BILLS",
    "ExchangeController",
    "list_transfers",
)
