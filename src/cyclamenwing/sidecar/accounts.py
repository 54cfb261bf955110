"""Accounts of the runs of each session, kept until the ledger has them."""

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
    """Hold the run records of one session by budget and sequence number.

    `fenced` holds the reservations whose orders are refused from now on.
    """

    records: dict[tuple[str, int], budget_types.RunRecord] = dataclasses.field(
        default_factory=dict
    )
    fenced: set[tuple[str, int]] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class AccountBoard:
    """Hold the accounts of all sessions that used this sidecar.

    `record_count` counts the run records of all sessions.

    :param incarnation: incarnation of the sidecar
    """

    incarnation: str
    sessions: dict[str, SessionAccount] = dataclasses.field(
        default_factory=dict
    )
    closed: set[str] = dataclasses.field(default_factory=set)
    record_count: int = 0


class Accounts:
    """Admit runs by session and record what they used.

    :param board: state of the accounts
    """

    def __init__(self, board: AccountBoard) -> None:
        self._board = board

    def admit(self, order: types.RunOrder, now: float) -> None:
        """Record an order before it runs.

        :param now: wall time in seconds
        :raises FencedError: if the order is for another incarnation, its
            session is closed, its reservation is fenced, or there are too
            many records
        """
        if order["sidecar"] != self._board.incarnation:
            raise runs.FencedError(
                "the order names another incarnation of this sidecar"
            )
        for charge in order["charges"]:
            self._check_charge(charge)
        if self._board.record_count + len(order["charges"]) > MAX_RECORDS:
            raise runs.FencedError("too many run records wait for the ledger")
        for charge in order["charges"]:
            key = charge["budget"], charge["sequence"]
            account = self._get_account(charge["session"])
            if key not in account.records:
                self._board.record_count += 1
            account.records[key] = _make_record(order, charge, now)

    def settle(
        self, order: types.RunOrder, usage: types.Usage | None, now: float
    ) -> None:
        """Record the end of a run.

        :param usage: tokens used; None if the endpoint did not run the order,
            whose record is then dropped
        :param now: wall time in seconds
        """
        for charge in order["charges"]:
            account = self._get_account(charge["session"])
            key = charge["budget"], charge["sequence"]
            record = account.records.get(key)
            if record is None:
                continue
            if usage is None:
                del account.records[key]
                self._board.record_count -= 1
                continue
            record["used"] = _count_used(charge, usage)
            record["running"] = False
            record["at"] = now

    def close_session(self, session: str) -> messages.SidecarReport:
        """Refuse further orders of a session and return its run records."""
        self._board.closed.add(session)
        account = self._board.sessions.get(session)
        records = list(account.records.values()) if account else []
        return {"incarnation": self._board.incarnation, "records": records}

    def fence_reservations(
        self, question: messages.FenceRequest
    ) -> messages.SidecarReport:
        """Return the run records of reservations and fence those without one.

        Orders for a fenced reservation are refused if they arrive later.
        """
        account = self._get_account(question["session"])
        records: list[budget_types.RunRecord] = []
        for budget, sequence in question["reservations"]:
            record = account.records.get((budget, sequence))
            if record is None:
                account.fenced.add((budget, sequence))
            else:
                records.append(record)
        return {"incarnation": self._board.incarnation, "records": records}

    def drop_settled(self, notice: messages.SettledNotice) -> None:
        """Drop the records and fences that the ledger has settled.

        The records of runs in progress stay unless the ledger holds the
        whole session.
        """
        account = self._board.sessions.get(notice["session"])
        if account is None:
            return
        dropped = [
            name
            for name, record in account.records.items()
            if notice["gone"]
            or (not record["running"] and _is_settled(notice, name))
        ]
        for name in dropped:
            del account.records[name]
        self._board.record_count -= len(dropped)
        account.fenced = {
            name for name in account.fenced if not _is_settled(notice, name)
        }
        if notice["gone"]:
            del self._board.sessions[notice["session"]]

    def _check_charge(self, charge: types.Charge) -> None:
        if charge["session"] in self._board.closed:
            raise runs.FencedError(f"session {charge['session']!r} is closed")
        account = self._get_account(charge["session"])
        if (charge["budget"], charge["sequence"]) in account.fenced:
            raise runs.FencedError(
                "the reservation was returned to the budget"
            )

    def _get_account(self, session: str) -> SessionAccount:
        return self._board.sessions.setdefault(session, SessionAccount())


def _is_settled(notice: messages.SettledNotice, name: tuple[str, int]) -> bool:
    budget, sequence = name
    end, still_open = notice["settled"].get(budget, (0, []))
    return sequence < end and sequence not in still_open


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
