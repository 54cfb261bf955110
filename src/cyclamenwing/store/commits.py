"""Compare-and-swap loop that finds its own commit after a lost answer."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Generic
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from cyclamenwing.store import errors
from cyclamenwing.store import protocol

MAX_ATTEMPTS = 8

T = TypeVar("T")


class Codec(Protocol[T]):
    """Convert a document to and from bytes."""

    def decode(self, value: bytes | None) -> T:
        """Read a document; None gives the empty one."""

    def encode(self, document: T) -> bytes:
        """Write a document."""

    def contains(self, document: T, commit_id: str) -> bool:
        """Tell whether the document holds a commit."""


class Committed(NamedTuple, Generic[T]):
    """Hold the document after a commit and its revision."""

    document: T
    revision: int


async def commit(
    store: protocol.Store,
    key: str,
    codec: Codec[T],
    commit_id: str,
    change: Callable[[T], None],
    max_attempts: int = MAX_ATTEMPTS,
    prepare: Callable[[T], Awaitable[None]] | None = None,
) -> Committed[T]:
    """Apply a change once, under any number of lost answers.

    `change` records `commit_id` in the document; `prepare` reads or writes
    other keys that it needs, before each attempt. Raise
    `CommitConflictError` after `max_attempts` conflicts, and
    `StoreAnswerLostError` when a write may have taken effect and the
    store can't be asked.
    """
    lost = False
    for _ in range(max_attempts):
        try:
            done = await _attempt(
                store, key, codec, commit_id, change, prepare
            )
        except errors.StoreAnswerLostError:
            lost = True
            continue
        except errors.StoreUnavailableError as err:
            if lost:
                raise errors.StoreAnswerLostError(err.message) from err
            raise
        if done is not None:
            return done
    if lost:
        raise errors.StoreAnswerLostError(f"fate of a commit on {key!r}")
    raise errors.CommitConflictError(f"no commit on {key!r}")


async def _attempt(
    store: protocol.Store,
    key: str,
    codec: Codec[T],
    commit_id: str,
    change: Callable[[T], None],
    prepare: Callable[[T], Awaitable[None]] | None,
) -> Committed[T] | None:
    found = await store.get(key)
    document = codec.decode(found.value if found else None)
    revision = found.revision if found else 0
    if codec.contains(document, commit_id):
        return Committed(document, revision)
    if prepare is not None:
        await prepare(document)
    change(document)
    written = await store.swap(key, revision, codec.encode(document))
    if written is None:
        return None
    return Committed(document, written)


__all__ = (
    "MAX_ATTEMPTS",
    "Codec",
    "Committed",
    "commit",
)
