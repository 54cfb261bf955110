"""What a closing session spent for certain, and what is in doubt."""

from __future__ import annotations

import dataclasses

from cyclamenwing.budget import billing
from cyclamenwing.budget import messages
from cyclamenwing.budget import session as sessions
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types


@dataclasses.dataclass(slots=True)
class ClosingSession:
    """Gather what is known of one closing session.

    `answers` holds what sidecars told by incarnation, `transfers` what
    was found of those given by the session.

    :param record: the session's record
    """

    record: sessions.SessionRecord
    answers: dict[str, messages.SidecarReport] = dataclasses.field(
        default_factory=dict
    )
    transfers: list[types.Transfer] = dataclasses.field(default_factory=list)

    def list_missing_hosts(self) -> list[str]:
        """Return the hosts of sidecars that have not told."""
        return [
            sidecar["host"]
            for sidecar in self.record["sidecars"]
            if sidecar["incarnation"] not in self.answers
        ]


def merge_records(
    answers: dict[str, messages.SidecarReport],
) -> list[types.RunRecord]:
    """Return one record a reservation, whichever sidecars ran it."""
    merged: dict[tuple[str, int], types.RunRecord] = {}
    for answer in answers.values():
        for record in answer["records"]:
            name = record["budget"], record["sequence"]
            known = merged.get(name)
            if known is None or _outranks(record, known):
                merged[name] = record
    return list(merged.values())


def plan_recovery(
    inquest: ClosingSession, budget: str, uncertain: str
) -> messages.Recovery:
    """Return the operation for one budget of a closing session.

    `uncertain` says why a transfer of the session may be unknown.
    """
    session = inquest.record["session"]
    records = [
        record
        for record in merge_records(inquest.answers)
        if record["budget"] == budget
    ]
    missing = inquest.list_missing_hosts()
    reason = uncertain
    if missing:
        reason = f"not told by the sidecars of {', '.join(missing)}"
    return {
        "op": "recover",
        "budget": budget,
        "session": session,
        "bills": [
            _make_bill(record, session)
            for record in records
            if not record["running"]
        ],
        "transfers": [
            transfer
            for transfer in inquest.transfers
            if transfer["budget"] == budget
        ],
        "running": sum(
            record["reserved"] for record in records if record["running"]
        ),
        "reason": reason,
    }


def needs_recovery(
    inquest: ClosingSession, budget: types.Budget, name: str
) -> bool:
    """Tell whether a session has units of a budget to account for."""
    grant = _find_grant(budget, inquest.record["session"])
    return shards.count_outstanding(grant) > 0 or any(
        record["budget"] == name
        and not billing.is_folded(grant, record["sequence"])
        for record in merge_records(inquest.answers)
    )


def find_untraceable(
    inquests: list[ClosingSession], budgets: dict[str, types.Budget]
) -> set[str]:
    """Return closing sessions that may hold units nobody can trace.

    If all sidecars of all closing sessions told, a session that ran more
    than its grant took the rest from others that close: such transfers
    are made up for, since their sum is known to fit.
    """
    unclear = {
        inquest.record["session"]
        for inquest in inquests
        if inquest.list_missing_hosts()
    }
    for name, budget in budgets.items():
        slack = {
            inquest.record["session"]: _count_slack(inquest, name, budget)
            for inquest in inquests
        }
        short = {session for session, units in slack.items() if units < 0}
        if unclear or sum(slack.values()) < 0:
            unclear |= short
            continue
        implied = _imply_transfers(name, budget, slack)
        for inquest in inquests:
            inquest.transfers.extend(implied)
    return unclear


def _count_slack(
    inquest: ClosingSession, name: str, budget: types.Budget
) -> int:
    """Return what a session's grant holds beyond what it ran."""
    grant = _find_grant(budget, inquest.record["session"])
    needed = 0
    for record in merge_records(inquest.answers):
        if record["budget"] != name:
            continue
        if not billing.is_folded(grant, record["sequence"]):
            needed += (
                record["reserved"] if record["running"] else record["used"]
            )
    return shards.count_outstanding(grant) - needed


def _imply_transfers(
    name: str, budget: types.Budget, slack: dict[str, int]
) -> list[types.Transfer]:
    """Return transfers that leave no session short."""
    made: list[types.Transfer] = []
    for receiver in sorted(slack):
        for donor in sorted(slack):
            amount = min(-slack[receiver], slack[donor])
            if amount <= 0:
                continue
            earlier = sum(1 for item in made if item["donor"] == donor)
            made.append({
                "budget": name,
                "donor": donor,
                "number": _find_number(budget, donor, earlier),
                "receiver": receiver,
                "amount": amount,
            })
            slack[receiver] += amount
            slack[donor] -= amount
    return made


def _find_number(budget: types.Budget, donor: str, earlier: int) -> int:
    """Return a number of a transfer that the shard has not seen."""
    grant = _find_grant(budget, donor)
    return max([grant["given"] - 1, *grant["early"]]) + 1 + earlier


def _find_grant(budget: types.Budget, session: str) -> types.Grant:
    return budget["grants"].get(session) or shards.make_grant()


def _outranks(record: types.RunRecord, known: types.RunRecord) -> bool:
    return (record["running"], record["used"]) > (
        known["running"],
        known["used"],
    )


def _make_bill(record: types.RunRecord, session: str) -> types.Bill:
    return {
        "request": record["request"],
        "key": record["key"],
        "workspace": record["workspace"],
        "budget": record["budget"],
        "session": session,
        "sequence": record["sequence"],
        "kind": record["kind"],
        "reviewer": record["reviewer"],
        "units": record["used"],
        "at": record["at"],
    }


__all__ = (
    "ClosingSession",
    "needs_recovery",
    "find_untraceable",
    "merge_records",
    "plan_recovery",
)
