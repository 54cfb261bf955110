"""In-memory key-value data with revisions and leases."""

from __future__ import annotations

import dataclasses
from typing import NamedTuple


class Record(NamedTuple):
    """Hold one key's value, revision and lease."""

    value: bytes
    revision: int
    lease: int


class Change(NamedTuple):
    """Hold one change for watches; `deleted` marks a removal."""

    key: str
    value: bytes
    revision: int
    deleted: bool


@dataclasses.dataclass(slots=True)
class Lease:
    """Hold a lease's lifetime and end in seconds."""

    ttl_s: float
    ends_at: float


class MemoryData:
    """Apply calls of the key-value service to memory."""

    def __init__(self) -> None:
        self.revision = 1
        self.records: dict[str, Record] = {}
        self.changes: list[Change] = []
        self.leases: dict[int, Lease] = {}
        self._next_lease = 1

    def swap(
        self, key: str, revision: int, value: bytes | None, lease: int
    ) -> int | None:
        """Write or delete a key if its revision matches."""
        found = self.records.get(key)
        if (found.revision if found else 0) != revision:
            return None
        self.revision += 1
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = Record(value, self.revision, lease)
        self.changes.append(
            Change(key, value or b"", self.revision, value is None)
        )
        return self.revision

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Create a lease and return its id."""
        lease = self._next_lease
        self._next_lease += 1
        self.leases[lease] = Lease(ttl_s, now + ttl_s)
        return lease

    def renew_lease(self, lease: int, now: float) -> float:
        """Renew a lease; return its lifetime, 0 when it has lapsed."""
        self.expire_leases(now)
        found = self.leases.get(lease)
        if found is None:
            return 0.0
        found.ends_at = now + found.ttl_s
        return found.ttl_s

    def expire_leases(self, now: float) -> None:
        """Delete lapsed leases and their keys."""
        lapsed = {
            lease for lease, held in self.leases.items() if held.ends_at <= now
        }
        for lease in lapsed:
            del self.leases[lease]
        for key, record in list(self.records.items()):
            if record.lease in lapsed:
                self.swap(key, record.revision, None, 0)


__all__ = (
    "Change",
    "Lease",
    "MemoryData",
    "Record",
)
