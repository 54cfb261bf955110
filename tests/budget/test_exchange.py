"""Results that the ledger returns to a session.

Results may arrive out of order, not at all, or for a session that another
process is closing. An outdated result must not change the account, and a lost
one must not lose the settlement.
"""

from __future__ import annotations

from typing import Any

from cyclamenwing.budget import account
from cyclamenwing.budget import exchange
from cyclamenwing.budget import ledger
from cyclamenwing.budget import sizing

CONTROLLER = exchange.ExchangeController(sizing.Sizing.from_weight(0.5))


def make_batch() -> Any:
    batch = ledger.make_batch(0)
    settlement: Any = {"op": "settle", "budget": "b", "session": "s1"}
    batch["settlements"].append(settlement)
    return batch


def make_result(version: int, granted: int, **overrides: Any) -> Any:
    return {
        "budget": "b",
        "error": None,
        "version": version,
        "granted": granted,
        "next": 1,
        "open": [],
        "given": 0,
        "taken": [],
        "closing": False,
        "outstanding": granted,
        "free": 0,
        "left": 100,
        "rate": 0.0,
        **overrides,
    }


def apply(board: account.HolderBoard, *results: Any) -> None:
    for result in results:
        CONTROLLER.apply_reply(board, make_batch(), {"results": [result]})


def test_outdated_result_changes_nothing() -> None:
    board = account.HolderBoard("s1")
    apply(board, make_result(2, 70), make_result(1, 90, left=500))
    account_ = board.get_account("b")
    assert (account_.granted, account_.left, account_.version) == (70, 100, 2)


def test_result_of_a_closing_grant_makes_the_session_stale() -> None:
    board = account.HolderBoard("s1")
    apply(board, make_result(1, 70), make_result(2, 900, closing=True))
    assert board.stale
    assert board.get_account("b").granted == 70


def test_settlement_of_a_failed_batch_is_sent_again() -> None:
    board = account.HolderBoard("s1")
    board.get_account("b").dirty = False
    CONTROLLER.fail_batch(board, make_batch())
    assert board.get_account("b").dirty
