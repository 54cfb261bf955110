"""Which entries a sidecar reports to."""

from __future__ import annotations

import collections
import dataclasses

from cyclamenwing.membership import topology
from cyclamenwing.membership import types

FAILURES_TO_AVOID = 2
MAX_PROBES = 4


@dataclasses.dataclass(slots=True)
class ReportingBoard:
    """Hold the entries that a sidecar knows and their failures.

    `told` holds the entries that each reporter knows; the reporters of a
    partitioned fleet know different ones.

    :param seeds: peer addresses of entries from the settings
    """

    seeds: list[str]
    told: dict[str, list[types.EntryLocation]] = dataclasses.field(
        default_factory=dict
    )
    listed: list[str] = dataclasses.field(default_factory=list)
    failures: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    round: int = 0

    @property
    def places(self) -> dict[str, types.EntryLocation]:
        """Return all entries that any reporter knows, by host."""
        return {
            place["host"]: place
            for told in self.told.values()
            for place in told
        }

    def is_lost(self) -> bool:
        """Tell whether no known entry answers."""
        addresses = [place["address"] for place in self.places.values()]
        known = {*self.seeds, *self.listed, *addresses}
        return all(self.failures[address] for address in known)


class ReportingController:
    """Choose reporters by rank, past those that don't answer.

    :param host: the own host
    :param zone: the own availability zone
    """

    def __init__(self, host: str, zone: str) -> None:
        self._host = host
        self._zone = zone

    def list_targets(self, board: ReportingBoard) -> list[str]:
        """Return the addresses that the next heartbeat goes to."""
        board.round += 1
        chosen = self._list_reporters(board)
        if chosen:
            return chosen
        # Without any reporter: some seeds and listed entries in turn.
        places = [place["address"] for place in board.places.values()]
        known = sorted({*board.seeds, *board.listed, *places})
        start = board.round % len(known) if known else 0
        return [*known[start:], *known[:start]][:MAX_PROBES]

    def record_failure(self, board: ReportingBoard, address: str) -> bool:
        """Count a failure; tell whether the reporters change."""
        board.failures[address] += 1
        return board.failures[address] == FAILURES_TO_AVOID

    def record_success(self, board: ReportingBoard, address: str) -> None:
        """Forget the failures of an entry that answers."""
        board.failures.pop(address, None)

    def adopt_places(
        self,
        board: ReportingBoard,
        entry: str,
        places: list[types.EntryLocation],
    ) -> None:
        """Take over the entries that an entry knows."""
        board.told[entry] = places
        chosen = set(self._list_reporters(board))
        for address in board.told.keys() - chosen - {entry}:
            del board.told[address]
        known = {place["address"] for place in board.places.values()}
        known.update(board.seeds, board.listed)
        for address in board.failures.keys() - known:
            del board.failures[address]

    def digest_directory(self, board: ReportingBoard, entry: str) -> str:
        """Return the digest of the entries that an entry told last."""
        return topology.digest_directory(board.told.get(entry, []))

    def adopt_hosts(
        self, board: ReportingBoard, hosts: list[types.Host]
    ) -> None:
        """Take over the entries of the platform's host list."""
        board.listed = [
            host["address"]
            for host in hosts
            if host["role"] == "entry" and host["state"] == "live"
        ]

    def _list_reporters(self, board: ReportingBoard) -> list[str]:
        places = board.places
        mesh = topology.is_mesh(len(places))
        usable = {
            host: place["zone"]
            for host, place in places.items()
            if mesh or board.failures[place["address"]] < FAILURES_TO_AVOID
        }
        ranked = topology.list_report_targets(self._host, self._zone, usable)
        return [places[host]["address"] for host in ranked]


__all__ = (
    "ReportingBoard",
    "ReportingController",
)
