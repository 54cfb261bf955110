"""What a closing session spent for certain, and what is in doubt."""

from __future__ import annotations

import dataclasses

from cyclamenwing.budget import billing
from cyclamenwing.budget import messages
from cyclamenwing.budget import session as sessions
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types


@dataclasses.dataclass(slots=True)
class Inquest:
    """Gather what is known of one closing session.

    `answers` holds what sidecars told by incarnation, `transfers` what
    was found of those given by the session.

    :param record: the session's record
    """

    record: sessions.SessionRecord
    answers: dict[str, messages.SidecarAnswer] = dataclasses.field(
        default_factory=dict
    )
    transfers: list[types.Transfer] = dataclasses.field(default_factory=list)

    def list_missing(self) -> list[str]:
        """Return the hosts of sidecars that have not told."""
        return [
            sidecar["host"]
            for sidecar in self.record["sidecars"]
            if sidecar["incarnation"] not in self.answers
        ]


def merge_records(
    answers: dict[str, messages.SidecarAnswer],
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
    inquest: Inquest, budget: str, uncertain: str
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
    missing = inquest.list_missing()
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


def is_covered(inquest: Inquest, budgets: dict[str, types.Budget]) -> bool:
    """Tell whether all that a session ran is within its known grants.

    If so, a transfer to it that nobody knows of was not spent.
    """
    if inquest.list_missing():
        return False
    session = inquest.record["session"]
    needed: dict[str, int] = {}
    for record in merge_records(inquest.answers):
        units = record["reserved"] if record["running"] else record["used"]
        grant = _find_grant(budgets, record["budget"], session)
        if not billing.is_folded(grant, record["sequence"]):
            needed[record["budget"]] = needed.get(record["budget"], 0) + units
    return all(
        units <= shards.count_outstanding(_find_grant(budgets, name, session))
        for name, units in needed.items()
    )


def _find_grant(
    budgets: dict[str, types.Budget], name: str, session: str
) -> types.Grant:
    budget = budgets.get(name)
    found = budget["grants"].get(session) if budget else None
    return found or shards.make_grant()


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
    "Inquest",
    "is_covered",
    "merge_records",
    "plan_recovery",
)
