"""View of the fleet at an entry, and the gossip about it."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

from cyclamenwing.entry import blackboard
from cyclamenwing.membership import dissemination
from cyclamenwing.membership import host_list
from cyclamenwing.membership import rendezvous
from cyclamenwing.membership import topology
from cyclamenwing.membership import types
from cyclamenwing.membership import view

MEMBER_RETENTION_S = 600.0
FAILURES_TO_SUSPECT = 2
SEED_INTERVAL_ROUNDS = 10
MESH_SYNC_INTERVAL_S = 30.0
SPARSE_SYNC_INTERVAL_S = 300.0
MAX_SYNC_PEERS = 4


class FleetView:
    """Keep the member view and choose what to gossip to whom.

    :param board: the entry's state
    :param seeds: peer addresses of entries from the settings
    :param find_address: returns this entry's peer address
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        seeds: list[str],
        find_address: Callable[[], str],
    ) -> None:
        self._board = board
        self._seeds = seeds
        self._find_address = find_address
        self._controller = view.MemberController()
        self._gossip_board = dissemination.DisseminationBoard()
        self._gossip = dissemination.DisseminationController()
        self._failures: collections.Counter[str] = collections.Counter()

    def receive_heartbeat(self, beat: types.Heartbeat, now: float) -> bool:
        """Apply a heartbeat; return whether it changed the view."""
        changed = self._controller.receive(self._board.members, beat, now)
        if changed:
            self._queue_report(
                view.make_report(self._board.members.members[beat["host"]])
            )
        self.receive_reports(beat.get("reports", []), now)
        return changed

    def receive_reports(
        self, reports: list[types.MemberReport], now: float
    ) -> None:
        """Apply reports about members from other entries."""
        for report in reports:
            if report["host"] == self._board.host:
                continue
            changed_report = self._controller.receive_report(
                self._board.members, report, now
            )
            if changed_report is not None:
                self._queue_report(changed_report)

    def adopt_hosts(self, hosts: list[types.Host]) -> None:
        """Apply the platform's host list."""
        members = self._board.members
        for report in self._controller.adopt_hosts(members, hosts):
            self._queue_report(report)

    def suspect_silent(self, now: float) -> None:
        """Suspect silent members and drop those silent for long."""
        members = self._board.members
        mesh = topology.is_mesh(self._count_entries())
        reports = self._controller.suspect_silent(members, now, mesh)
        for report in reports:
            self._queue_report(report)
        self._controller.forget(members, now, MEMBER_RETENTION_S)

    def record_failure(self, address: str) -> bool:
        """Count a failed heartbeat; return whether a member became suspect."""
        self._failures[address] += 1
        if self._failures[address] < FAILURES_TO_SUSPECT:
            return False
        members = self._board.members
        hosts = [
            host
            for host, member in members.members.items()
            if member["beat"]["address"] == address
        ]
        results = [self._controller.suspect(members, host) for host in hosts]
        reports = [report for report in results if report is not None]
        for report in reports:
            self._queue_report(report)
        return bool(reports)

    def record_success(self, address: str) -> None:
        """Reset the failure count of a peer that answered."""
        self._failures.pop(address, None)

    def pick_reports(self) -> list[types.MemberReport]:
        """Return the reports to gossip with the next message."""
        return self._gossip.take_batch(self._gossip_board)

    def list_targets(self, round_number: int, now: float) -> list[str]:
        """Return the addresses to send the next heartbeat to.

        In a small fleet these are all entries. In a large one they are
        the neighbours and, every `SEED_INTERVAL_ROUNDS` rounds, one seed.
        """
        entries = {
            host: member["beat"]
            for host, member in self._board.members.members.items()
            if member["beat"]["role"] == "entry"
        }
        live = {
            beat["host"]: beat["address"]
            for beat in self._controller.list_live(
                self._board.members, "entry", now
            )
        }
        if topology.is_mesh(len(live) + 1):
            addresses = [*self._list_seeds()]
            addresses += [beat["address"] for beat in entries.values()]
        else:
            neighbours = topology.list_neighbours(self._board.host, live)
            addresses = [live[host] for host in neighbours]
            if round_number % SEED_INTERVAL_ROUNDS == 0:
                addresses += self._pick_seed(round_number)
        return sorted(set(addresses) - {self._find_address()})

    def list_sync_peers(self, round_number: int) -> list[str]:
        """Return addresses to request the whole view from, in order.

        The answer of one of them is enough.
        """
        addresses = [*self._list_seeds()]
        now = time.monotonic()
        live = self._controller.list_live(self._board.members, "entry", now)
        addresses += [beat["address"] for beat in live]
        others = set(addresses) - {self._find_address()}
        return rendezvous.rank_members(f"sync/{round_number}", others)[
            :MAX_SYNC_PEERS
        ]

    def list_entry_locations(self) -> list[types.EntryLocation]:
        """Return the entries that sidecars may report to.

        Entries suspected here are included, since a sidecar checks for
        itself which of them it can reach.
        """
        beats = [
            member["beat"] for member in self._board.members.members.values()
        ]
        locations: list[types.EntryLocation] = [
            {
                "host": beat["host"],
                "zone": beat["zone"],
                "address": beat["address"],
            }
            for beat in beats
            if beat["role"] == "entry" and not beat["leaving"]
        ]
        if not self._board.leaving:
            locations.append({
                "host": self._board.host,
                "zone": self._board.zone,
                "address": self._find_address(),
            })
        return locations

    def make_sync_reply(self, digest: str) -> types.SyncReply:
        """Return the whole view, or nothing if the digest matches it."""
        same = digest == self.digest()
        return {"reports": [] if same else self._list_reports()}

    def digest(self) -> str:
        """Return a digest of the whole view."""
        return view.digest_reports(self._list_reports())

    def find_interval_s(self) -> float:
        """Return the time between heartbeats."""
        return topology.get_heartbeat_interval_s(self._count_entries())

    def find_sync_interval_s(self) -> float:
        """Return the time between comparisons of the whole view."""
        mesh = topology.is_mesh(self._count_entries())
        return MESH_SYNC_INTERVAL_S if mesh else SPARSE_SYNC_INTERVAL_S

    def find_poll_interval_s(self) -> float:
        """Return the time between reads of the host list."""
        board = self._board
        beats = self._controller.list_live(
            board.members, "entry", time.monotonic()
        )
        same_zone = {
            beat["host"] for beat in beats if beat["zone"] == board.zone
        }
        watchers = topology.list_watchers(board.zone, same_zone | {board.host})
        if board.host in watchers:
            return host_list.MIN_POLL_S
        return host_list.compute_poll_interval_s(self._count_entries())

    def _list_reports(self) -> list[types.MemberReport]:
        board = self._board
        own_report: types.MemberReport = {
            "host": board.host,
            "role": "entry",
            "zone": board.zone,
            "address": self._find_address(),
            "incarnation": board.session,
            "route": "",
            "leaving": board.leaving,
            "sequence": 0,
            "state": "live",
        }
        members = board.members.members.values()
        return [own_report, *(view.make_report(member) for member in members)]

    def _list_seeds(self) -> list[str]:
        listed = [
            host["address"]
            for host in self._board.members.hosts.values()
            if host["role"] == "entry" and host["state"] == "live"
        ]
        return [*self._seeds, *listed]

    def _pick_seed(self, round_number: int) -> list[str]:
        seeds = sorted(set(self._list_seeds()))
        if not seeds:
            return []
        return [seeds[round_number // SEED_INTERVAL_ROUNDS % len(seeds)]]

    def _queue_report(self, report: types.MemberReport) -> None:
        self._gossip.enqueue(self._gossip_board, report, self._count_entries())

    def _count_entries(self) -> int:
        roles = [
            member["beat"]["role"]
            for member in self._board.members.members.values()
            if not member.get("suspected", False)
        ]
        return 1 + roles.count("entry")


__all__ = ("FleetView",)
