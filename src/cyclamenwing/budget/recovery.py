"""Recovery of closing sessions: the units spent and the units in doubt."""

from __future__ import annotations

import dataclasses

from cyclamenwing.budget import billing
from cyclamenwing.budget import messages
from cyclamenwing.budget import session as sessions
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types


@dataclasses.dataclass(slots=True)
class ClosingSession:
    """Collect the reports about one closing session.

    :param record: the session's record
    :param sidecar_reports: reports of sidecars by their incarnation
    :param transfers: transfers of the session that other sessions reported
    """

    record: sessions.SessionRecord
    sidecar_reports: dict[str, messages.SidecarReport] = dataclasses.field(
        default_factory=dict
    )
    transfers: list[types.Transfer] = dataclasses.field(default_factory=list)

    def list_missing_hosts(self) -> list[str]:
        """Return the hosts of sidecars that have not reported."""
        return [
            sidecar["host"]
            for sidecar in self.record["sidecars"]
            if sidecar["incarnation"] not in self.sidecar_reports
        ]


def merge_records(
    sidecar_reports: dict[str, messages.SidecarReport],
) -> list[types.RunRecord]:
    """Return one run record for each reservation from all reports."""
    merged: dict[tuple[str, int], types.RunRecord] = {}
    for report in sidecar_reports.values():
        for record in report["records"]:
            name = record["budget"], record["sequence"]
            earlier = merged.get(name)
            if earlier is None or _supersedes(record, earlier):
                merged[name] = record
    return list(merged.values())


def plan_recovery(
    closing: ClosingSession, budget: str, uncertain: str
) -> messages.Recovery:
    """Return the recovery operation for one budget of a closing session.

    :param uncertain: why a transfer of the session may be unknown, empty if
        all are known
    """
    session = closing.record["session"]
    records = [
        record
        for record in merge_records(closing.sidecar_reports)
        if record["budget"] == budget
    ]
    missing = closing.list_missing_hosts()
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
            for transfer in closing.transfers
            if transfer["budget"] == budget
        ],
        "running": sum(
            record["reserved"] for record in records if record["running"]
        ),
        "reason": reason,
    }


def needs_recovery(
    closing: ClosingSession, budget: types.Budget, name: str
) -> bool:
    """Return whether a session has units or unbilled runs of a budget."""
    grant = _find_grant(budget, closing.record["session"])
    return shards.count_outstanding(grant) > 0 or any(
        record["budget"] == name
        and not billing.is_sequence_closed(grant, record["sequence"])
        for record in merge_records(closing.sidecar_reports)
    )


def find_untraceable(
    closing_sessions: list[ClosingSession], budgets: dict[str, types.Budget]
) -> set[str]:
    """Return closing sessions whose units can't all be traced.

    These are sessions with missing sidecar reports, and sessions whose runs
    exceed their grants because of unknown transfers.

    If all sidecars of all closing sessions have reported, a session that ran
    more than its grant must have received the difference from other closing
    sessions. If the grants together cover all runs, transfers that explain
    the differences are added to `transfers` of the sessions.
    """
    untraceable = {
        closing.record["session"]
        for closing in closing_sessions
        if closing.list_missing_hosts()
    }
    for name, budget in budgets.items():
        unused = {
            closing.record["session"]: _count_unused(closing, name, budget)
            for closing in closing_sessions
        }
        overdrawn = {session for session, units in unused.items() if units < 0}
        if untraceable or sum(unused.values()) < 0:
            untraceable |= overdrawn
            continue
        inferred = _infer_transfers(name, budget, unused)
        for closing in closing_sessions:
            closing.transfers.extend(inferred)
    return untraceable


def _count_unused(
    closing: ClosingSession, name: str, budget: types.Budget
) -> int:
    """Return the units of a grant that the session's runs can't have used.

    The number is negative if the runs used more than the grant holds.
    """
    grant = _find_grant(budget, closing.record["session"])
    needed = 0
    for record in merge_records(closing.sidecar_reports):
        if record["budget"] != name:
            continue
        if not billing.is_sequence_closed(grant, record["sequence"]):
            needed += (
                record["reserved"] if record["running"] else record["used"]
            )
    return shards.count_outstanding(grant) - needed


def _infer_transfers(
    name: str, budget: types.Budget, unused: dict[str, int]
) -> list[types.Transfer]:
    """Return transfers that cover the runs of all sessions.

    :param unused: units that each session's runs can't have used, negative
        for a session that needs a transfer; updated in place
    """
    transfers: list[types.Transfer] = []
    for receiver in sorted(unused):
        for donor in sorted(unused):
            amount = min(-unused[receiver], unused[donor])
            if amount <= 0:
                continue
            inferred = sum(1 for item in transfers if item["donor"] == donor)
            transfers.append({
                "budget": name,
                "donor": donor,
                "number": _find_free_number(budget, donor, inferred),
                "receiver": receiver,
                "amount": amount,
            })
            unused[receiver] += amount
            unused[donor] -= amount
    return transfers


def _find_free_number(budget: types.Budget, donor: str, inferred: int) -> int:
    """Return a transfer number that the shard has not applied.

    :param inferred: number of inferred transfers of the same donor
    """
    grant = _find_grant(budget, donor)
    return max([grant["given"] - 1, *grant["early"]]) + 1 + inferred


def _find_grant(budget: types.Budget, session: str) -> types.Grant:
    return budget["grants"].get(session) or shards.make_grant()


def _supersedes(record: types.RunRecord, earlier: types.RunRecord) -> bool:
    return (record["running"], record["used"]) > (
        earlier["running"],
        earlier["used"],
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
    "find_untraceable",
    "merge_records",
    "needs_recovery",
    "plan_recovery",
)
