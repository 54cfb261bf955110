"""Rendezvous hashing of keys to members."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members ranked for a key, the best first."""
    return sorted(members, key=lambda name: score_member(key, name))


def score_member(key: str, member: str) -> int:
    """Return a member's score for a key; the lowest score ranks first."""
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode())


def pick_shard(key: str, shards: int) -> int:
    """Return the number of the shard that a key belongs to."""
    return xxhash.xxh64_intdigest(key.encode()) % shards


__all__ = (
    "pick_shard",
    "rank_members",
    "score_member",
)
