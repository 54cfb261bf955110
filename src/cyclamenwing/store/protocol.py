"""Interfaces of the key-value store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

MAX_VALUE_BYTES = 1_000_000


class Entry(NamedTuple):
    """Hold a key, its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class Snapshot(NamedTuple):
    """Hold the entries with a prefix, each as of `revision` or newer.

    :param failure_age_s: time since the gateway that read them last failed to
        reach the store, None if it did not fail lately or read them here
    :param era: rises each time that the store returns from an older copy, and
        revisions count from that copy on; 0 if it is not known
    """

    entries: list[Entry]
    revision: int
    failure_age_s: float | None = None
    era: int = 0


class Change(NamedTuple):
    """Hold a write of a key, or its removal if the value is None."""

    key: str
    value: bytes | None
    revision: int


class Changes(NamedTuple):
    """Hold changes up to a revision, from which the next read continues.

    :param failure_age_s: as in `Snapshot`
    :param era: as in `Snapshot`
    """

    changes: list[Change]
    revision: int
    failure_age_s: float | None = None
    era: int = 0


class Committed(NamedTuple):
    """Report that a transaction was committed at a revision of an era."""

    revision: int
    era: int = 0


class Conflict(NamedTuple):
    """Report that a transaction had no effect.

    `entries` are the expected keys as they are; absent keys are left out.
    """

    entries: list[Entry]
    era: int = 0


class TransactionStore(Protocol):
    """Read, watch and atomically write several keys.

    Errors are those of `Store`. After a `StoreHistoryLostError` the caller
    must read the prefix again.
    """

    async def read(self, prefix: str, stale: bool = False) -> Snapshot:
        """Return the entries of all keys that start with a prefix.

        :param stale: the entries may be some seconds old
        """

    async def follow(
        self, prefix: str, revision: int, wait_s: float
    ) -> Changes:
        """Wait up to `wait_s` seconds for changes after a revision.

        :raises StoreHistoryLostError: if the store no longer has them
        """

    async def commit(
        self,
        expected: Sequence[tuple[str, int]],
        writes: Sequence[tuple[str, bytes]],
    ) -> Committed | Conflict:
        """Write keys atomically if all expected revisions match.

        Revision 0 expects that the key is absent.
        """


class Store(Protocol):
    """Read, compare-and-swap, lease and watch keys.

    Calls raise `StoreUnavailableError` if they had no effect and
    `StoreAnswerLostError` if they may have had one.
    """

    async def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None if the key is absent."""

    async def scan(self, prefix: str) -> list[Entry]:
        """Return the entries of all keys that start with a prefix."""

    async def swap(
        self,
        key: str,
        revision: int,
        value: bytes,
        lease: int = 0,
    ) -> int | None:
        """Write a key if its revision matches; 0 means that it is absent.

        :param lease: id of the lease that the key is attached to, 0 for none
        :return: the new revision, or None on a conflict
        """

    async def delete(self, key: str, revision: int) -> bool:
        """Delete a key if its revision matches; return whether it did."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease of `ttl_s` seconds and return its id."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    def watch(self, prefix: str, revision: int) -> AsyncIterator[Entry]:
        """Yield changes of keys with a prefix after a revision."""


__all__ = (
    "MAX_VALUE_BYTES",
    "Change",
    "Changes",
    "Committed",
    "Conflict",
    "Entry",
    "Snapshot",
    "Store",
    "TransactionStore",
)
