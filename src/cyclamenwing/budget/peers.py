"""Transfers of units between sessions.

The donor deducts the units before the receiver adds them.
"""

from __future__ import annotations

from cyclamenwing.budget import account as accounts
from cyclamenwing.budget import exchange
from cyclamenwing.budget import messages
from cyclamenwing.budget import types

MAX_TRANSFER_REPLIES = 1_000


class PeerController:
    """Deduct transfers to peers and add transfers from them."""

    def deduct_transfer(
        self, board: accounts.HolderBoard, request: messages.TransferRequest
    ) -> messages.TransferReply:
        """Deduct units and return the transfer to a peer.

        A repeated request gets the same reply. A session whose own requests
        wait gives only to sessions with a smaller id, so that two waiting
        sessions do not swap their remaining units.
        """
        earlier = board.transfer_replies.get(request["ask"])
        if earlier is not None:
            return earlier
        reply = self._deduct(board, request)
        if reply["transfers"]:
            board.transfer_replies[request["ask"]] = reply
            while len(board.transfer_replies) > MAX_TRANSFER_REPLIES:
                board.transfer_replies.popitem(last=False)
        return reply

    def add_transfer(
        self, board: accounts.HolderBoard, transfer: types.Transfer
    ) -> None:
        """Add a transfer to the account once.

        The donor must have been open while this session was open. This
        ensures that this session is asked for the donor's transfers when
        the donor is closed.
        """
        account = board.get_account(transfer["budget"])
        name = transfer["donor"], transfer["number"]
        if (
            transfer["receiver"] != board.session
            or transfer["donor"] not in board.eligible_donors
            or transfer["donor"] in board.closing_sessions
            or name in account.counted_transfers
        ):
            return
        account.incoming[name] = transfer
        board.unreported_budgets.add(transfer["budget"])
        account.dirty = True

    def report_transfers(
        self, board: accounts.HolderBoard, closing: str
    ) -> messages.TransferReport:
        """Return the transfers with a closing session; refuse further ones."""
        board.closing_sessions.add(closing)
        transfers = [
            transfer
            for account in board.accounts.values()
            for transfer in exchange.list_transfers(account)
            if closing in {transfer["donor"], transfer["receiver"]}
        ]
        return {"session": board.session, "transfers": transfers}

    def _deduct(
        self, board: accounts.HolderBoard, request: messages.TransferRequest
    ) -> messages.TransferReply:
        account = board.accounts.get(request["budget"])
        if (
            account is None
            or board.stale
            or request["session"] in board.closing_sessions
        ):
            return {"transfers": [], "held": 0}
        available = max(0, account.count_available())
        defers = (
            bool(account.waiting_amounts)
            and board.session < request["session"]
        )
        # Received units that the ledger has not counted are not passed on,
        # so that recovery of a dead session never has to trace a chain of
        # transfers.
        uncounted = sum(item["amount"] for item in account.incoming.values())
        amount = min(available - uncounted, max(request["needed"], 0))
        spare = (available - uncounted) // 2
        amount = max(amount, min(spare, request["wanted"]))
        if defers or amount <= 0:
            return {"transfers": [], "held": available}
        account.last_transfer += 1
        transfer: types.Transfer = {
            "budget": request["budget"],
            "donor": board.session,
            "number": account.last_transfer,
            "receiver": request["session"],
            "amount": amount,
        }
        account.outgoing[account.last_transfer] = transfer
        account.dirty = True
        return {"transfers": [transfer], "held": available}


__all__ = (
    "MAX_TRANSFER_REPLIES",
    "PeerController",
)
