from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from cyclamenwing.request import runs
from cyclamenwing.sidecar import accounts

NOW = 10.0


def make_order(session: str, sequence: int, incarnation: str = "i1") -> Any:
    charge = {
        "budget": "b",
        "session": session,
        "sequence": sequence,
        "amount": 100,
        "unit": "tokens",
    }
    return {
        "request": f"r{sequence}",
        "key": f"w/r{sequence}",
        "fingerprint": "f",
        "sidecar": incarnation,
        "workspace": "w",
        "kind": "k",
        "reviewer": "",
        "charges": [charge],
    }


def do_nothing(held: accounts.Accounts) -> None:
    return None


def close_session(held: accounts.Accounts) -> None:
    held.close_session("s1")


def bar_reservation(held: accounts.Accounts) -> None:
    held.fence_reservations({"session": "s1", "reservations": [("b", 1)]})


@pytest.mark.parametrize(
    ("prepare", "order", "admitted"),
    [
        (do_nothing, make_order("s1", 1), True),
        (do_nothing, make_order("s1", 1, "i0"), False),
        (close_session, make_order("s1", 1), False),
        (close_session, make_order("s2", 1), True),
        (bar_reservation, make_order("s1", 1), False),
        (bar_reservation, make_order("s1", 2), True),
    ],
)
def test_fenced_orders_leave_no_record(
    prepare: Callable[[accounts.Accounts], None], order: Any, admitted: bool
) -> None:
    board = accounts.AccountBoard("i1")
    held = accounts.Accounts(board)
    prepare(held)
    if admitted:
        held.admit(order, NOW)
    else:
        with pytest.raises(runs.FencedError):
            held.admit(order, NOW)
    assert board.held == int(admitted)


def test_closing_tells_what_ran_and_what_runs() -> None:
    held = accounts.Accounts(accounts.AccountBoard("i1"))
    for sequence in (1, 2):
        held.admit(make_order("s1", sequence), NOW)
    held.settle(make_order("s1", 1), {"prompt": 30, "completion": 90}, NOW)
    told = held.close_session("s1")["records"]
    found = [(r["sequence"], r["used"], r["running"]) for r in told]
    assert found == [(1, 100, False), (2, 0, True)]
