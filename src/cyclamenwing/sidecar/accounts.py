"""What each session ran at this sidecar, until the ledger holds it."""

from __future__ import annotations

import dataclasses

from cyclamenwing.budget import billing
from cyclamenwing.budget import messages
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

    def close_session(self, session: str) -> messages.SidecarReport:
        """Refuse a session's orders from now on; tell what it ran."""
        self._board.closed.add(session)
        account = self._board.sessions.get(session)
        records = list(account.records.values()) if account else []
        return {"incarnation": self._board.incarnation, "records": records}

    def bar(self, asked: messages.FenceRequest) -> messages.SidecarReport:
        """Tell what became of reservations; refuse those not known."""
        account = self._find(asked["session"])
        found: list[budget_types.RunRecord] = []
        for budget, sequence in asked["reservations"]:
            record = account.records.get((budget, sequence))
            if record is None:
                account.barred.add((budget, sequence))
            else:
                found.append(record)
        return {"incarnation": self._board.incarnation, "records": found}

    def drop_settled(self, note: messages.SettledNotice) -> None:
        """Drop the records that the ledger holds."""
        account = self._board.sessions.get(note["session"])
        if account is None:
            return
        dropped = [
            name
            for name, record in account.records.items()
            if note["gone"]
            or (not record["running"] and _is_settled(note, name))
        ]
        for name in dropped:
            del account.records[name]
        self._board.held -= len(dropped)
        account.barred = {
            name for name in account.barred if not _is_settled(note, name)
        }
        if note["gone"]:
            del self._board.sessions[note["session"]]

    def _check(self, charge: types.Charge) -> None:
        if charge["session"] in self._board.closed:
            raise runs.FencedError(f"session {charge['session']!r} is closed")
        account = self._find(charge["session"])
        if (charge["budget"], charge["sequence"]) in account.barred:
            raise runs.FencedError("the reservation was given back")

    def _find(self, session: str) -> SessionAccount:
        return self._board.sessions.setdefault(session, SessionAccount())


def _is_settled(note: messages.SettledNotice, name: tuple[str, int]) -> bool:
    budget, sequence = name
    ends, still_open = note["settled"].get(budget, (0, []))
    return sequence < ends and sequence not in still_open


def _make_record(
    order: types.RunOrder, charge: types.Charge, now: float
) -> budget_types.RunRecord:
    return {
        "request": order["request"],
        "key": billing.make_bill_key(
            order["key"], order["request"], order["fingerprint"]
        ),
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
