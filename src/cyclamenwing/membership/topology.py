"""Peers of each process for heartbeats, with a bounded fan-out."""

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
    """Return whether a fleet of this size uses a full mesh."""
    return entries <= FULL_MESH_LIMIT


def get_heartbeat_interval_s(entries: int) -> float:
    """Return the time between heartbeats in a fleet of this size."""
    return MESH_INTERVAL_S if is_mesh(entries) else SPARSE_INTERVAL_S


def list_neighbours(host: str, entries: Collection[str]) -> list[str]:
    """Return the entries that an entry sends heartbeats to.

    Beyond `FULL_MESH_LIMIT` entries they are `FINGER_COUNT` peers at
    exponentially growing distances on a ring of all entries. Gossip then
    reaches each entry in few hops and by several paths.
    """
    ring = rendezvous.rank_members("ring", {*entries, host})
    if is_mesh(len(ring)):
        return [name for name in ring if name != host]
    start = ring.index(host)
    size = len(ring)
    distances = [
        round(size ** (power / FINGER_COUNT)) for power in range(FINGER_COUNT)
    ]
    chosen = {ring[(start + distance) % size] for distance in distances}
    return sorted(chosen - {host})


def list_report_targets(
    host: str, zone: str, entries: Mapping[str, str]
) -> list[str]:
    """Return the entries that a sidecar sends its heartbeats to.

    Beyond `FULL_MESH_LIMIT` entries they are, in the order of rendezvous
    hashing, the first entry of its own zone and the first of other zones.

    :param entries: availability zones of the entries, by host
    """
    ranked = rendezvous.rank_members(f"report/{host}", entries)
    if is_mesh(len(ranked)):
        return ranked
    same_zone = [name for name in ranked if entries[name] == zone]
    other_zones = [name for name in ranked if entries[name] != zone]
    chosen = [*same_zone[:1], *other_zones[:1]]
    rest = [name for name in ranked if name not in chosen]
    return [*chosen, *rest][:REPORT_TARGET_COUNT]


def list_watchers(zone: str, hosts: Iterable[str]) -> list[str]:
    """Return the entries that watch the store for their whole zone."""
    return rendezvous.rank_members(f"watch/{zone}", hosts)[:WATCHER_COUNT]


def digest_directory(locations: Iterable[types.EntryLocation]) -> str:
    """Return a digest of the entries and their addresses."""
    lines = sorted(
        f"{location['host']} {location['zone']} {location['address']}"
        for location in locations
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
