"""Queries and integrity checks of the audit chains."""

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
    """Select audit records; a criterion of None matches every record.

    `since` is inclusive, `until` exclusive; both are Unix times.
    """

    service: str | None = None
    workspace: str | None = None
    kind: str | None = None
    since: float | None = None
    until: float | None = None

    def matches(self, record: types.AuditRecord) -> bool:
        """Return whether a record meets all criteria."""
        return (
            self.service in {None, record["subject"]}
            and self.workspace in {None, record["workspace"]}
            and self.kind in {None, record["kind"]}
            and (self.since is None or record["at"] >= self.since)
            and (self.until is None or record["at"] < self.until)
        )


class History(NamedTuple):
    """Hold the records by chain and the faults of all chains."""

    records: dict[str, list[types.AuditRecord]]
    faults: list[str]

    def select(self, record_filter: Filter) -> list[types.AuditRecord]:
        """Return the matching records of all chains by time."""
        selected = [
            record
            for records in self.records.values()
            for record in records
            if record_filter.matches(record)
        ]
        return sorted(selected, key=lambda record: record["at"])


async def read_history(store: protocol.Store) -> History:
    """Read and check the catalog chain and the operations chain."""
    head = await revisions.read_head(store)
    chain = await audit_trail.read_chain(store)
    records: dict[str, list[types.AuditRecord]] = {}
    faults: list[str] = []
    chains: list[tuple[str, types.Chain]] = [
        (publication.CHAIN_NAME, head),
        (audit_trail.CHAIN_NAME, chain),
    ]
    for name, document in chains:
        try:
            records[name] = await segments.read_records(store, name, document)
        except errors.AuditBrokenError as err:
            records[name] = document["audit"]
            faults.append(err.message)
            continue
        faults.extend(check_chain(name, records[name]))
    faults.extend(_check_head(head, records[publication.CHAIN_NAME]))
    return History(records, faults)


def check_chain(name: str, records: list[types.AuditRecord]) -> Iterable[str]:
    """Yield a fault if a record of a chain is missing or altered."""
    broken = audit.find_broken_record(records)
    if broken is not None:
        yield f"record {broken} of {name} is missing or altered"


def list_refs(
    records: Iterable[types.AuditRecord], revision: int
) -> dict[str, types.ServiceRef]:
    """Return the service references of a past revision.

    They are rebuilt from the catalog records up to that revision.
    """
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
    """Return the service files of a past revision."""
    refs = list_refs(history.records[publication.CHAIN_NAME], revision)
    chunks: dict[str, types.ServiceFile] = {}
    await revisions.read_chunks(store, refs, chunks)
    return {service: chunks[ref["digest"]] for service, ref in refs.items()}


def _check_head(
    head: types.Head, records: list[types.AuditRecord]
) -> Iterable[str]:
    last_revision = records[-1]["after"]["revision"] if records else 0
    if last_revision != head["revision"]:
        yield f"revision {head['revision']} has no audit record"
    if not records or records[0]["number"] != 1:
        return
    if list_refs(records, head["revision"]) != head["services"]:
        yield "the active services differ from the audit records"


__all__ = (
    "Filter",
    "History",
    "check_chain",
    "list_refs",
    "read_history",
    "read_services",
)
