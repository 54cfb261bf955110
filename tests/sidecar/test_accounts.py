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


def do_nothing(session_accounts: accounts.Accounts) -> None:
    return None


def close_session(session_accounts: accounts.Accounts) -> None:
    session_accounts.close_session("s1")


def fence_reservation(session_accounts: accounts.Accounts) -> None:
    session_accounts.fence_reservations({
        "session": "s1",
        "reservations": [("b", 1)],
    })


@pytest.mark.parametrize(
    ("prepare", "order", "admitted"),
    [
        (do_nothing, make_order("s1", 1), True),
        (do_nothing, make_order("s1", 1, "i0"), False),
        (close_session, make_order("s1", 1), False),
        (close_session, make_order("s2", 1), True),
        (fence_reservation, make_order("s1", 1), False),
        (fence_reservation, make_order("s1", 2), True),
    ],
)
def test_fenced_orders_leave_no_record(
    prepare: Callable[[accounts.Accounts], None], order: Any, admitted: bool
) -> None:
    board = accounts.AccountBoard("i1")
    session_accounts = accounts.Accounts(board)
    prepare(session_accounts)
    if admitted:
        session_accounts.admit(order, NOW)
    else:
        with pytest.raises(runs.FencedError):
            session_accounts.admit(order, NOW)
    assert board.record_count == int(admitted)


def test_closed_session_returns_finished_and_running_records() -> None:
    session_accounts = accounts.Accounts(accounts.AccountBoard("i1"))
    for sequence in (1, 2):
        session_accounts.admit(make_order("s1", sequence), NOW)
    session_accounts.settle(
        make_order("s1", 1), {"prompt": 30, "completion": 90}, NOW
    )
    records = session_accounts.close_session("s1")["records"]
    summaries = [(r["sequence"], r["used"], r["running"]) for r in records]
    assert summaries == [(1, 100, False), (2, 0, True)]
