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
    """Hold one change of a key, for watches."""

    key: str
    value: bytes
    revision: int
    deleted: bool


@dataclasses.dataclass(slots=True)
class Lease:
    """Hold a lease's time to live and expiry time, in seconds."""

    ttl_s: float
    expires_at: float


class MemoryData:
    """Hold key-value records, their history and leases in memory."""

    def __init__(self) -> None:
        self.revision = 1
        self.records: dict[str, Record] = {}
        self.changes: list[Change] = []
        self.leases: dict[int, Lease] = {}
        self._next_lease = 1

    def swap(
        self, key: str, revision: int, value: bytes | None, lease: int
    ) -> int | None:
        """Write or delete a key if its revision matches.

        :param revision: expected revision, 0 if the key must not exist
        :param value: new value, None to delete the key
        :returns: the new revision; None if the revision did not match
        """
        current = self.records.get(key)
        if (current.revision if current else 0) != revision:
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
        """Renew a lease; return its time to live, 0 if it expired."""
        self.expire_leases(now)
        current = self.leases.get(lease)
        if current is None:
            return 0.0
        current.expires_at = now + current.ttl_s
        return current.ttl_s

    def expire_leases(self, now: float) -> None:
        """Delete expired leases and their keys."""
        expired = {
            lease
            for lease, state in self.leases.items()
            if state.expires_at <= now
        }
        for lease in expired:
            del self.leases[lease]
        for key, record in list(self.records.items()):
            if record.lease in expired:
                self.swap(key, record.revision, None, 0)


__all__ = (
    "Change",
    "Lease",
    "MemoryData",
    "Record",
)
