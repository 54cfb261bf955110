"""Subsetting: the sidecars that an entry routes to."""

from __future__ import annotations

from collections.abc import Sequence

from cyclamenwing.membership import rendezvous
from cyclamenwing.routing import types

MAX_CANDIDATES = 64


def pick_subset(
    entry: str,
    candidates: Sequence[types.Candidate],
    size: int = MAX_CANDIDATES,
) -> list[types.Candidate]:
    """Return the candidates that rendezvous hashing assigns to an entry.

    :param size: up to this number, all candidates are returned
    """
    if len(candidates) <= size:
        return list(candidates)
    ranked = sorted(
        candidates, key=lambda item: rendezvous.score_member(entry, item.host)
    )
    return ranked[:size]


__all__ = (
    "MAX_CANDIDATES",
    "pick_subset",
)
