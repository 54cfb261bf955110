"""Selection of the entries that a sidecar sends heartbeats to."""

from __future__ import annotations

import collections
import dataclasses

from cyclamenwing.membership import topology
from cyclamenwing.membership import types

UNREACHABLE_AFTER_FAILURES = 2
MAX_PROBES = 4


@dataclasses.dataclass(slots=True)
class ReportingBoard:
    """Hold the entries that a sidecar knows and their failures.

    `directories` holds, by the address of a report target, the entries that
    it knows; in a partitioned fleet the targets know different entries.
    `failures` counts the failures of each address since its last success.

    :param seeds: peer addresses of entries from the settings
    """

    seeds: list[str]
    directories: dict[str, list[types.EntryLocation]] = dataclasses.field(
        default_factory=dict
    )
    host_list_addresses: list[str] = dataclasses.field(default_factory=list)
    failures: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    round: int = 0

    @property
    def locations(self) -> dict[str, types.EntryLocation]:
        """Return the entries of all directories by host."""
        return {
            location["host"]: location
            for directory in self.directories.values()
            for location in directory
        }

    def is_isolated(self) -> bool:
        """Return whether each known entry failed at its last heartbeat."""
        directory_addresses = [
            location["address"] for location in self.locations.values()
        ]
        addresses = {
            *self.seeds,
            *self.host_list_addresses,
            *directory_addresses,
        }
        return all(self.failures[address] for address in addresses)


class ReportingController:
    """Choose the report targets by rank among the reachable entries.

    :param host: host of the sidecar
    :param zone: availability zone of the host
    """

    def __init__(self, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone

    def list_targets(self, board: ReportingBoard) -> list[str]:
        """Return the addresses that the next heartbeat goes to.

        Without a report target, each call returns the next few of all known
        addresses in turn.
        """
        board.round += 1
        targets = self._list_report_targets(board)
        if targets:
            return targets
        locations = [
            location["address"] for location in board.locations.values()
        ]
        addresses = sorted({
            *board.seeds,
            *board.host_list_addresses,
            *locations,
        })
        start = board.round % len(addresses) if addresses else 0
        return [*addresses[start:], *addresses[:start]][:MAX_PROBES]

    def record_failure(self, board: ReportingBoard, address: str) -> bool:
        """Count a failure; return whether it makes the entry unreachable."""
        board.failures[address] += 1
        return board.failures[address] == UNREACHABLE_AFTER_FAILURES

    def record_success(self, board: ReportingBoard, address: str) -> None:
        """Reset the failures of an entry that replied."""
        board.failures.pop(address, None)

    def adopt_directory(
        self,
        board: ReportingBoard,
        entry: str,
        locations: list[types.EntryLocation],
    ) -> None:
        """Adopt the directory of an entry.

        Directories of entries that are no longer report targets are dropped.
        """
        board.directories[entry] = locations
        targets = set(self._list_report_targets(board))
        for address in board.directories.keys() - targets - {entry}:
            del board.directories[address]
        addresses = {
            location["address"] for location in board.locations.values()
        }
        addresses.update(board.seeds, board.host_list_addresses)
        for address in board.failures.keys() - addresses:
            del board.failures[address]

    def digest_directory(self, board: ReportingBoard, entry: str) -> str:
        """Return the digest of the directory that an entry sent last."""
        return topology.digest_directory(board.directories.get(entry, []))

    def adopt_hosts(
        self, board: ReportingBoard, hosts: list[types.Host]
    ) -> None:
        """Adopt the live entries of the platform's host list."""
        board.host_list_addresses = [
            host["address"]
            for host in hosts
            if host["role"] == "entry" and host["state"] == "live"
        ]

    def _list_report_targets(self, board: ReportingBoard) -> list[str]:
        locations = board.locations
        mesh = topology.is_mesh(len(locations))
        usable = {
            host: location["zone"]
            for host, location in locations.items()
            if mesh
            or board.failures[location["address"]] < UNREACHABLE_AFTER_FAILURES
        }
        ranked = topology.list_report_targets(self._host, self._zone, usable)
        return [locations[host]["address"] for host in ranked]


__all__ = (
    "ReportingBoard",
    "ReportingController",
)
