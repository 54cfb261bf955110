"""Who reports to whom, so that no process talks to all."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

import xxhash

from cyclamenwing.membership import rendezvous
from cyclamenwing.membership import types

FULL_MESH_LIMIT = 8
FINGER_COUNT = 3
REPORT_TARGET_COUNT = 2
WATCHER_COUNT = 2
MESH_INTERVAL_S = 1.0
SPARSE_INTERVAL_S = 2.5


def is_mesh(entries: int) -> bool:
    """Tell whether so few entries all talk to each other."""
    return entries <= FULL_MESH_LIMIT


def get_heartbeat_interval_s(entries: int) -> float:
    """Return the time between heartbeats in a fleet of some entries."""
    return MESH_INTERVAL_S if is_mesh(entries) else SPARSE_INTERVAL_S


def list_neighbours(host: str, entries: Collection[str]) -> list[str]:
    """Return the entries that an entry sends heartbeats to.

    Beyond a handful they are at growing distances on a ring of all, so
    that news reach each entry in few steps and over several ways.
    """
    ring = rendezvous.rank_members("ring", {*entries, host})
    if is_mesh(len(ring)):
        return [name for name in ring if name != host]
    start = ring.index(host)
    size = len(ring)
    steps = [
        round(size ** (power / FINGER_COUNT)) for power in range(FINGER_COUNT)
    ]
    chosen = {ring[(start + step) % size] for step in steps}
    return sorted(chosen - {host})


def list_report_targets(
    host: str, zone: str, entries: Mapping[str, str]
) -> list[str]:
    """Return the entries that a sidecar reports to, given their zones.

    Beyond a handful they are the first in rank of its own zone and the
    first in rank of the others.
    """
    ranked = rendezvous.rank_members(f"report/{host}", entries)
    if is_mesh(len(ranked)):
        return ranked
    near = [name for name in ranked if entries[name] == zone]
    far = [name for name in ranked if entries[name] != zone]
    chosen = [*near[:1], *far[:1]]
    rest = [name for name in ranked if name not in chosen]
    return [*chosen, *rest][:REPORT_TARGET_COUNT]


def list_watchers(zone: str, hosts: Iterable[str]) -> list[str]:
    """Return the entries of a zone that watch the store for all."""
    return rendezvous.rank_members(f"watch/{zone}", hosts)[:WATCHER_COUNT]


def digest_directory(places: Iterable[types.EntryLocation]) -> str:
    """Return a digest of the entries that there are."""
    lines = sorted(
        f"{place['host']} {place['zone']} {place['address']}"
        for place in places
    )
    return xxhash.xxh64_hexdigest("\n".join(lines).encode())


__all__ = (
    "FINGER_COUNT",
    "FULL_MESH_LIMIT",
    "MESH_INTERVAL_S",
    "REPORT_TARGET_COUNT",
    "SPARSE_INTERVAL_S",
    "WATCHER_COUNT",
    "digest_directory",
    "get_heartbeat_interval_s",
    "is_mesh",
    "list_neighbours",
    "list_report_targets",
    "list_watchers",
)
