"""Reading of the audit trail: filters, revisions, faults of the chains."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import audit_trail
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import revisions
from cyclamenwing.catalog import segments
from cyclamenwing.catalog import types
from cyclamenwing.store import protocol


class Filter(NamedTuple):
    """Select audit records; an absent part takes all."""

    service: str | None = None
    workspace: str | None = None
    kind: str | None = None
    since: float | None = None
    until: float | None = None

    def admits(self, record: types.AuditRecord) -> bool:
        """Tell whether a record is selected."""
        return (
            self.service in {None, record["subject"]}
            and self.workspace in {None, record["workspace"]}
            and self.kind in {None, record["kind"]}
            and (self.since is None or record["at"] >= self.since)
            and (self.until is None or record["at"] < self.until)
        )


class History(NamedTuple):
    """Hold all records by chain and what is wrong with the chains."""

    records: dict[str, list[types.AuditRecord]]
    faults: list[str]

    def select(self, wanted: Filter) -> list[types.AuditRecord]:
        """Return the records of all chains in the order of time."""
        found = [
            record
            for records in self.records.values()
            for record in records
            if wanted.admits(record)
        ]
        return sorted(found, key=lambda record: record["at"])


async def read_history(store: protocol.Store) -> History:
    """Read both chains and check them."""
    head = await revisions.read_head(store)
    chain = await audit_trail.read_chain(store)
    records: dict[str, list[types.AuditRecord]] = {}
    faults: list[str] = []
    chains: list[tuple[str, types.Chain]] = [
        (publication.CHAIN, head),
        (audit_trail.CHAIN, chain),
    ]
    for name, document in chains:
        try:
            records[name] = await segments.read_records(store, name, document)
        except errors.AuditBrokenError as err:
            records[name] = document["audit"]
            faults.append(err.message)
            continue
        faults.extend(find_faults(name, records[name]))
    faults.extend(_find_unrecorded(head, records[publication.CHAIN]))
    return History(records, faults)


def find_faults(name: str, records: list[types.AuditRecord]) -> Iterable[str]:
    """Return what is wrong with a chain."""
    broken = audit.find_broken_record(records)
    if broken is not None:
        yield f"record {broken} of {name} is missing or was changed"


def find_refs(
    records: Iterable[types.AuditRecord], revision: int
) -> dict[str, types.ServiceRef]:
    """Return what a revision consisted of, by the publishings up to it."""
    refs: dict[str, types.ServiceRef] = {}
    for record in records:
        ref: types.ServiceRef = record["after"]
        if ref["revision"] > revision:
            break
        if ref["digest"]:
            refs[record["subject"]] = ref
        else:
            refs.pop(record["subject"], None)
    return refs


async def read_services(
    store: protocol.Store, history: History, revision: int
) -> dict[str, types.ServiceFile]:
    """Return the files of a past revision."""
    refs = find_refs(history.records[publication.CHAIN], revision)
    chunks: dict[str, types.ServiceFile] = {}
    await revisions.read_chunks(store, refs, chunks)
    return {service: chunks[ref["digest"]] for service, ref in refs.items()}


def _find_unrecorded(
    head: types.Head, records: list[types.AuditRecord]
) -> Iterable[str]:
    last = records[-1]["after"]["revision"] if records else 0
    if last != head["revision"]:
        yield f"revision {head['revision']} has no record"
    if not records or records[0]["number"] != 1:
        return
    if find_refs(records, head["revision"]) != head["services"]:
        yield "the services in force differ from what was recorded"


__all__ = (
    "Filter",
    "History",
    "find_faults",
    "find_refs",
    "read_history",
    "read_services",
)
