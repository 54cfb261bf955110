"""Interface of the platform's key-value service."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

MAX_VALUE_BYTES = 1_000_000


class Entry(NamedTuple):
    """Hold a key's value and its modification revision."""

    key: str
    value: bytes
    revision: int


class Snapshot(NamedTuple):
    """Hold the keys below a prefix, as of a revision or newer."""

    entries: list[Entry]
    revision: int


class Change(NamedTuple):
    """Hold a write, or a removal where the value is None."""

    key: str
    value: bytes | None
    revision: int


class Changes(NamedTuple):
    """Hold changes; the next ones follow after `revision`."""

    changes: list[Change]
    revision: int


class Committed(NamedTuple):
    """Report a commit that took effect."""

    revision: int


class Conflict(NamedTuple):
    """Report a commit without effect; a missing key is absent."""

    entries: list[Entry]


class TransactionStore(Protocol):
    """Read, follow and commit several keys at once.

    Errors are those of `Store`; `StoreHistoryLostError` asks for a new read.
    """

    async def read(self, prefix: str) -> Snapshot:
        """Read all keys below a prefix."""

    async def follow(
        self, prefix: str, revision: int, wait_s: float
    ) -> Changes:
        """Wait for changes after a revision."""

    async def commit(
        self,
        expected: Sequence[tuple[str, int]],
        writes: Sequence[tuple[str, bytes]],
    ) -> Committed | Conflict:
        """Write keys at once if all expected revisions hold; 0 is absent."""


class Store(Protocol):
    """Read, compare-and-swap, lease and watch keys.

    Each call raises `StoreUnavailableError` when it had no effect and
    `StoreAnswerLostError` when it may have had one.
    """

    async def get(self, key: str) -> Entry | None:
        """Read one key."""

    async def scan(self, prefix: str) -> list[Entry]:
        """Read all keys that start with a prefix."""

    async def swap(
        self,
        key: str,
        revision: int,
        value: bytes,
        lease: int = 0,
    ) -> int | None:
        """Write a key if its revision matches; 0 means that it is absent.

        Return the new revision, or None on a conflict.
        """

    async def delete(self, key: str, revision: int) -> bool:
        """Delete a key if its revision matches."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; False means that it has lapsed."""

    def watch(self, prefix: str, revision: int) -> AsyncIterator[Entry]:
        """Yield changes below a prefix that are newer than a revision."""


__all__ = (
    "MAX_VALUE_BYTES",
    "Change",
    "Changes",
    "Committed",
    "Conflict",
    "Entry",
    "TransactionStore",
    "Snapshot",
    "Store",
)
