"""Transfers of units between sessions.

A transfer that is delivered twice, comes from a closing session or is already
counted by the ledger must not add units, as they would be spent twice.
"""

from __future__ import annotations

import pytest

from cyclamenwing.budget import account
from cyclamenwing.budget import messages
from cyclamenwing.budget import peers
from cyclamenwing.budget import types

CONTROLLER = peers.PeerController()


def make_board(session: str, granted: int) -> account.HolderBoard:
    board = account.HolderBoard(session)
    board.get_account("b").granted = granted
    board.eligible_donors = {"s1", "s2"}
    return board


def make_transfer(
    donor: str = "s1", receiver: str = "s2", number: int = 1
) -> types.Transfer:
    return {
        "budget": "b",
        "donor": donor,
        "number": number,
        "receiver": receiver,
        "amount": 40,
    }


def make_transfer_request(
    request_id: str, needed: int
) -> messages.TransferRequest:
    return {
        "ask": request_id,
        "budget": "b",
        "session": "s2",
        "needed": needed,
        "wanted": needed,
    }


@pytest.mark.parametrize(
    ("transfers", "available"),
    [
        ([make_transfer()], 40),
        ([make_transfer(), make_transfer()], 40),
        ([make_transfer(), make_transfer(number=2)], 80),
        ([make_transfer(receiver="s3")], 0),
        ([make_transfer(donor="s9")], 0),
    ],
)
def test_receiver_adds_each_transfer_once(
    transfers: list[types.Transfer], available: int
) -> None:
    board = make_board("s2", 0)
    for transfer in transfers:
        CONTROLLER.add_transfer(board, transfer)
    assert board.get_account("b").count_available() == available


def test_transfer_counted_by_the_ledger_is_not_added_again() -> None:
    board = make_board("s2", 40)
    board.get_account("b").counted_transfers["s1", 1] = None
    CONTROLLER.add_transfer(board, make_transfer())
    assert board.get_account("b").count_available() == 40


def test_transfer_of_a_closing_session_is_refused() -> None:
    board = make_board("s2", 0)
    CONTROLLER.report_transfers(board, "s1")
    CONTROLLER.add_transfer(board, make_transfer())
    assert board.get_account("b").count_available() == 0


def test_donor_deducts_once_for_each_request() -> None:
    board = make_board("s1", 100)
    first = CONTROLLER.deduct_transfer(board, make_transfer_request("a1", 60))
    again = CONTROLLER.deduct_transfer(board, make_transfer_request("a1", 60))
    assert first == again
    assert board.get_account("b").count_available() == 40
    second = CONTROLLER.deduct_transfer(board, make_transfer_request("a2", 60))
    given = sum(item["amount"] for item in second["transfers"])
    assert board.get_account("b").count_available() == 40 - given >= 0
