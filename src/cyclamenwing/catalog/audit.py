"""Audit records, chained by digest."""

from __future__ import annotations

import hashlib
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing.catalog import types

CHAIN_START = "0" * 64


class Change(NamedTuple):
    """Describe a change before it has a place in the chain."""

    at: float
    author: str
    origin: str
    kind: str
    subject: str
    workspace: str
    before: Any
    after: Any


def append_record(head: types.Head, change: Change) -> types.AuditRecord:
    """Add a change to the chain and return its record."""
    last = head["audit"][-1] if head["audit"] else None
    record: types.AuditRecord = {
        "number": last["number"] + 1 if last else 1,
        **change._asdict(),  # type: ignore[typeddict-item]
        "previous": last["digest"] if last else CHAIN_START,
        "digest": "",
    }
    record["digest"] = digest_record(record)
    head["audit"].append(record)
    return record


def digest_record(record: types.AuditRecord) -> str:
    """Return the digest of a record without its own digest."""
    plain = {key: record[key] for key in record if key != "digest"}  # type: ignore[literal-required]
    encoded = msgspec.json.encode(plain, order="sorted")
    return hashlib.sha256(encoded).hexdigest()


def find_break(records: list[types.AuditRecord]) -> int | None:
    """Return the number of the first record that breaks the chain."""
    previous: types.AuditRecord | None = None
    for record in records:
        if record["digest"] != digest_record(record):
            return record["number"]
        if previous and record["previous"] != previous["digest"]:
            return record["number"]
        previous = record
    return None


__all__ = (
    "CHAIN_START",
    "Change",
    "append_record",
    "digest_record",
    "find_break",
)
