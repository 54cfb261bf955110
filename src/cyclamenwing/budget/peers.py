"""Transfers between holders: the donor deducts first."""

from __future__ import annotations

from cyclamenwing.budget import account as accounts
from cyclamenwing.budget import exchange
from cyclamenwing.budget import messages
from cyclamenwing.budget import types

MAX_ASKS = 1_000


class PeerController:
    """Give units to peers and take those that they give."""

    def give(
        self, board: accounts.HolderBoard, ask: messages.TransferRequest
    ) -> messages.TransferReply:
        """Deduct and return a transfer; a repeated ask gets the same one.

        A holder whose own requests wait gives only to sessions that come
        before it, so that two that wait do not exchange their rests.
        """
        known = board.asks.get(ask["ask"])
        if known is not None:
            return known
        reply = self._give(board, ask)
        if reply["transfers"]:
            board.asks[ask["ask"]] = reply
            while len(board.asks) > MAX_ASKS:
                board.asks.popitem(last=False)
        return reply

    def take(
        self, board: accounts.HolderBoard, transfer: types.Transfer
    ) -> None:
        """Add a transfer to the account once.

        Its donor must have been open while this session was: then this
        session is asked for its transfers when the donor is closed.
        """
        account = board.get_account(transfer["budget"])
        name = transfer["donor"], transfer["number"]
        if (
            transfer["receiver"] != board.session
            or transfer["donor"] not in board.eligible_donors
            or transfer["donor"] in board.barred
            or name in account.seen
        ):
            return
        account.incoming[name] = transfer
        board.unreported_budgets.add(transfer["budget"])
        account.dirty = True

    def report_transfers(
        self, board: accounts.HolderBoard, other: str
    ) -> messages.TransferReport:
        """Return transfers with a closing session and take no more of it."""
        board.barred.add(other)
        found = [
            transfer
            for account in board.accounts.values()
            for transfer in exchange.list_transfers(account)
            if other in {transfer["donor"], transfer["receiver"]}
        ]
        return {"session": board.session, "transfers": found}

    def _give(
        self, board: accounts.HolderBoard, ask: messages.TransferRequest
    ) -> messages.TransferReply:
        account = board.accounts.get(ask["budget"])
        if account is None or board.stale or ask["session"] in board.barred:
            return {"transfers": [], "held": 0}
        available = max(0, account.count_available())
        waits = bool(account.waiting) and board.session < ask["session"]
        # Units taken and not yet folded stay, so that no chain of
        # transfers has to be found when a session dies.
        taken = sum(item["amount"] for item in account.incoming.values())
        amount = min(available - taken, max(ask["needed"], 0))
        spare = (available - taken) // 2
        amount = max(amount, min(spare, ask["wanted"]))
        if waits or amount <= 0:
            return {"transfers": [], "held": available}
        account.numbers += 1
        transfer: types.Transfer = {
            "budget": ask["budget"],
            "donor": board.session,
            "number": account.numbers,
            "receiver": ask["session"],
            "amount": amount,
        }
        account.giving[account.numbers] = transfer
        account.dirty = True
        return {"transfers": [transfer], "held": available}


__all__ = (
    "MAX_ASKS",
    "PeerController",
)
