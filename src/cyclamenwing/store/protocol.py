"""Interface of the platform's key-value service."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import NamedTuple
from typing import Protocol

MAX_VALUE_BYTES = 1_000_000


class Entry(NamedTuple):
    """Hold a key's value and its modification revision."""

    key: str
    value: bytes
    revision: int


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

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; False means that it has lapsed."""

    def watch(self, prefix: str, revision: int) -> AsyncIterator[Entry]:
        """Yield changes below a prefix that are newer than a revision."""


__all__ = (
    "MAX_VALUE_BYTES",
    "Entry",
    "Store",
)
