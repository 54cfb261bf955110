"""What each session ran at this sidecar, until the ledger holds it."""

from __future__ import annotations

import dataclasses

from cyclamenwing.budget import types as budget_types
from cyclamenwing.request import runs
from cyclamenwing.request import types

MAX_RECORDS = 100_000


@dataclasses.dataclass(slots=True)
class SessionAccount:
    """Hold one session's records by budget and sequence."""

    records: dict[tuple[str, int], budget_types.RunRecord] = dataclasses.field(
        default_factory=dict
    )
    barred: set[tuple[str, int]] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class AccountBoard:
    """Hold the sessions that used this sidecar.

    :param incarnation: the sidecar's incarnation
    """

    incarnation: str
    sessions: dict[str, SessionAccount] = dataclasses.field(
        default_factory=dict
    )
    closed: set[str] = dataclasses.field(default_factory=set)
    held: int = 0


class Accounts:
    """Admit runs by session and count what they used.

    :param board: the accounts' state
    """

    def __init__(self, board: AccountBoard) -> None:
        self._board = board

    def admit(self, order: types.RunOrder, now: float) -> None:
        """Record an order before it runs; raise `FencedError`."""
        if order["sidecar"] != self._board.incarnation:
            raise runs.FencedError("the order is for another incarnation")
        for charge in order["charges"]:
            self._check(charge)
        if self._board.held + len(order["charges"]) > MAX_RECORDS:
            raise runs.FencedError("too many runs that no ledger holds")
        for charge in order["charges"]:
            key = charge["budget"], charge["sequence"]
            account = self._find(charge["session"])
            if key not in account.records:
                self._board.held += 1
            account.records[key] = _make_record(order, charge, now)

    def settle(
        self, order: types.RunOrder, usage: types.Usage | None, now: float
    ) -> None:
        """Record the end of a run; None means that it did not run."""
        for charge in order["charges"]:
            account = self._find(charge["session"])
            key = charge["budget"], charge["sequence"]
            record = account.records.get(key)
            if record is None:
                continue
            if usage is None:
                del account.records[key]
                self._board.held -= 1
                continue
            record["used"] = _count_used(charge, usage)
            record["running"] = False
            record["at"] = now

    def _check(self, charge: types.Charge) -> None:
        if charge["session"] in self._board.closed:
            raise runs.FencedError(f"session {charge['session']!r} is closed")
        account = self._find(charge["session"])
        if (charge["budget"], charge["sequence"]) in account.barred:
            raise runs.FencedError("the reservation was given back")

    def _find(self, session: str) -> SessionAccount:
        return self._board.sessions.setdefault(session, SessionAccount())


def _make_record(
    order: types.RunOrder, charge: types.Charge, now: float
) -> budget_types.RunRecord:
    return {
        "request": order["request"],
        "key": order["key"],
        "workspace": order["workspace"],
        "budget": charge["budget"],
        "sequence": charge["sequence"],
        "kind": order["kind"],
        "reviewer": order["reviewer"],
        "reserved": charge["amount"],
        "used": 0,
        "running": True,
        "at": now,
    }


def _count_used(charge: types.Charge, usage: types.Usage) -> int:
    used = {"tokens": usage["prompt"] + usage["completion"], "requests": 1}
    return min(used[charge["unit"]], charge["amount"])


__all__ = (
    "MAX_RECORDS",
    "AccountBoard",
    "Accounts",
    "SessionAccount",
)
