"""Audit records, linked by digests into a chain."""

from __future__ import annotations

import hashlib
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing.catalog import types

CHAIN_START = "0" * 64
# Number of commit ids that a chain's head keeps.
MAX_COMMIT_IDS = 64


class Change(NamedTuple):
    """Describe a change that is not yet appended to a chain."""

    at: float
    author: str
    origin: str
    kind: str
    subject: str
    workspace: str
    before: Any
    after: Any


def append_record(
    chain: types.Chain, change: Change, commit_id: str
) -> types.AuditRecord:
    """Append a change to the chain and return its record."""
    last = chain["audit"][-1] if chain["audit"] else None
    record: types.AuditRecord = {
        "number": last["number"] + 1 if last else 1,
        **change._asdict(),  # type: ignore[typeddict-item]
        "commit": commit_id,
        "previous": last["digest"] if last else CHAIN_START,
        "digest": "",
    }
    record["digest"] = digest_record(record)
    chain["audit"].append(record)
    return record


def digest_record(record: types.AuditRecord) -> str:
    """Return the digest of a record's fields other than `digest`."""
    content = {key: record[key] for key in record if key != "digest"}  # type: ignore[literal-required]
    encoded = msgspec.json.encode(content, order="sorted")
    return hashlib.sha256(encoded).hexdigest()


def find_broken_record(records: list[types.AuditRecord]) -> int | None:
    """Return the number of the first missing or altered record.

    Return None if the chain is intact.
    """
    previous = CHAIN_START
    for number, record in enumerate(records, 1):
        intact = (
            record["number"] == number
            and record["digest"] == digest_record(record)
            and record["previous"] == previous
        )
        if not intact:
            return number
        previous = record["digest"]
    return None


def record_commit(chain: types.Chain, commit_id: str) -> None:
    """Add a commit's id and drop the oldest ones over the limit."""
    chain["commits"].append(commit_id)
    del chain["commits"][:-MAX_COMMIT_IDS]


__all__ = (
    "CHAIN_START",
    "MAX_COMMIT_IDS",
    "Change",
    "append_record",
    "digest_record",
    "find_broken_record",
    "record_commit",
)
