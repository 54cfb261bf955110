"""Rendezvous ranks of members for a key."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members, the best for the key first."""
    return sorted(members, key=lambda name: score_member(key, name))


def score_member(key: str, member: str) -> int:
    """Return a member's score for a key; the lowest is the best."""
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode())


def pick_shard(key: str, shards: int) -> int:
    """Return the shard of a key."""
    return xxhash.xxh64_intdigest(key.encode()) % shards


__all__ = (
    "pick_shard",
    "rank_members",
    "score_member",
)
