"""Compare-and-swap loop that applies a change at most once.

Each commit writes its id into the document. After a lost answer the loop
reads the document again and looks for the id.
"""

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
    """Convert a document to and from the bytes of a key's value."""

    def decode(self, value: bytes | None) -> T:
        """Decode a document; None gives an empty one."""

    def encode(self, document: T) -> bytes:
        """Encode a document."""

    def contains(self, document: T, commit_id: str) -> bool:
        """Return whether the document contains a commit's id."""


class CommitResult(NamedTuple, Generic[T]):
    """Hold a document as committed, and the revision of its key."""

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
) -> CommitResult[T]:
    """Apply a change to a key's document once, even if answers are lost.

    :param change: modify the document and add `commit_id` to it
    :param prepare: read or write other keys before each attempt
    :raises CommitConflictError: after `max_attempts` conflicts
    :raises StoreAnswerLostError: if a write may have taken effect and the
        store can't be read to find out
    """
    answer_lost = False
    for _ in range(max_attempts):
        try:
            committed = await _attempt(
                store, key, codec, commit_id, change, prepare
            )
        except errors.StoreAnswerLostError:
            answer_lost = True
            continue
        except errors.StoreUnavailableError as err:
            if answer_lost:
                raise errors.StoreAnswerLostError(err.message) from err
            raise
        if committed is not None:
            return committed
    if answer_lost:
        raise errors.StoreAnswerLostError(
            f"unknown outcome of a commit to {key!r}"
        )
    raise errors.CommitConflictError(
        f"conflict on every attempt to commit to {key!r}"
    )


async def _attempt(
    store: protocol.Store,
    key: str,
    codec: Codec[T],
    commit_id: str,
    change: Callable[[T], None],
    prepare: Callable[[T], Awaitable[None]] | None,
) -> CommitResult[T] | None:
    entry = await store.get(key)
    document = codec.decode(entry.value if entry else None)
    revision = entry.revision if entry else 0
    if codec.contains(document, commit_id):
        return CommitResult(document, revision)
    if prepare is not None:
        await prepare(document)
    change(document)
    new_revision = await store.swap(key, revision, codec.encode(document))
    if new_revision is None:
        return None
    return CommitResult(document, new_revision)


__all__ = (
    "MAX_ATTEMPTS",
    "Codec",
    "CommitResult",
    "commit",
)
