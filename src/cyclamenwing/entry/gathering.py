"""An entry's view of the fleet, and what it tells others of it."""

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

FORGET_AFTER_S = 600.0
FAILURES_TO_SUSPECT = 2
SEED_ROUNDS = 10
MESH_SYNC_S = 30.0
SPARSE_SYNC_S = 300.0
MAX_SYNC_PEERS = 4


class Gathering:
    """Keep the member view and choose whom to tell what.

    :param board: the entry's state
    :param seeds: peer addresses of entries from the settings
    :param find_address: returns the own peer address
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
        self._rumours = dissemination.DisseminationBoard()
        self._spreading = dissemination.DisseminationController()
        self._failures: collections.Counter[str] = collections.Counter()

    def receive(self, beat: types.Heartbeat, now: float) -> bool:
        """Take over a heartbeat; tell whether it is news for others."""
        changed = self._controller.receive(self._board.members, beat, now)
        if changed:
            self._note(
                view.make_report(self._board.members.members[beat["host"]])
            )
        self.hear_reports(beat.get("reports", []), now)
        return changed

    def hear_reports(
        self, reports: list[types.MemberReport], now: float
    ) -> None:
        """Take over other entries' reports."""
        for report in reports:
            if report["host"] == self._board.host:
                continue
            found = self._controller.receive_report(
                self._board.members, report, now
            )
            if found is not None:
                self._note(found)

    def adopt_hosts(self, hosts: list[types.Host]) -> None:
        """Take over the platform's host list."""
        members = self._board.members
        for report in self._controller.adopt_hosts(members, hosts):
            self._note(report)

    def suspect_silent(self, now: float) -> None:
        """Mark the silent ones and drop those long gone."""
        members = self._board.members
        mesh = topology.is_mesh(self._count_entries())
        found = self._controller.suspect_silent(members, now, mesh)
        for report in found:
            self._note(report)
        self._controller.forget(members, now, FORGET_AFTER_S)

    def record_failure(self, address: str) -> bool:
        """Count a failed heartbeat; tell whether a peer is suspected."""
        self._failures[address] += 1
        if self._failures[address] < FAILURES_TO_SUSPECT:
            return False
        members = self._board.members
        hosts = [
            host
            for host, member in members.members.items()
            if member["beat"]["address"] == address
        ]
        found = [self._controller.suspect(members, host) for host in hosts]
        made = [report for report in found if report is not None]
        for report in made:
            self._note(report)
        return bool(made)

    def record_success(self, address: str) -> None:
        """Forget the failures of a peer that answers."""
        self._failures.pop(address, None)

    def pick_reports(self) -> list[types.MemberReport]:
        """Return the reports for the next message."""
        return self._spreading.take_batch(self._rumours)

    def list_targets(self, turn: int, now: float) -> list[str]:
        """Return the addresses that the next heartbeat goes to."""
        known = {
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
            found = [*self._list_seeds()]
            found += [beat["address"] for beat in known.values()]
        else:
            near = topology.list_neighbours(self._board.host, live)
            found = [live[host] for host in near]
            if turn % SEED_ROUNDS == 0:
                found += self._pick_seed(turn)
        return sorted(set(found) - {self._find_address()})

    def list_sync_peers(self, turn: int) -> list[str]:
        """Return the addresses to ask for the whole view, one is enough."""
        found = [*self._list_seeds()]
        now = time.monotonic()
        live = self._controller.list_live(self._board.members, "entry", now)
        found += [beat["address"] for beat in live]
        others = set(found) - {self._find_address()}
        return rendezvous.rank_members(f"sync/{turn}", others)[:MAX_SYNC_PEERS]

    def list_places(self) -> list[types.EntryLocation]:
        """Return the entries that sidecars may report to.

        Those that only seem silent from here stay: a sidecar finds out
        itself which of them it reaches.
        """
        beats = [
            member["beat"] for member in self._board.members.members.values()
        ]
        places: list[types.EntryLocation] = [
            {
                "host": beat["host"],
                "zone": beat["zone"],
                "address": beat["address"],
            }
            for beat in beats
            if beat["role"] == "entry" and not beat["leaving"]
        ]
        if not self._board.leaving:
            places.append({
                "host": self._board.host,
                "zone": self._board.zone,
                "address": self._find_address(),
            })
        return places

    def make_sync(self, digest: str) -> types.SyncReply:
        """Return the whole view unless the asker has it."""
        same = digest == self.digest()
        return {"reports": [] if same else self._list_reports()}

    def digest(self) -> str:
        """Return a digest of the whole view."""
        return view.digest_reports(self._list_reports())

    def find_interval_s(self) -> float:
        """Return the time between heartbeats."""
        return topology.get_heartbeat_interval_s(self._count_entries())

    def find_sync_s(self) -> float:
        """Return the time between comparisons of the whole view."""
        mesh = topology.is_mesh(self._count_entries())
        return MESH_SYNC_S if mesh else SPARSE_SYNC_S

    def find_poll_s(self) -> float:
        """Return the time between reads of the host list."""
        board = self._board
        beats = self._controller.list_live(
            board.members, "entry", time.monotonic()
        )
        near = {beat["host"] for beat in beats if beat["zone"] == board.zone}
        first = topology.list_watchers(board.zone, near | {board.host})
        if board.host in first:
            return host_list.MIN_POLL_S
        return host_list.compute_poll_interval_s(self._count_entries())

    def _list_reports(self) -> list[types.MemberReport]:
        board = self._board
        own: types.MemberReport = {
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
        return [own, *(view.make_report(member) for member in members)]

    def _list_seeds(self) -> list[str]:
        listed = [
            host["address"]
            for host in self._board.members.hosts.values()
            if host["role"] == "entry" and host["state"] == "live"
        ]
        return [*self._seeds, *listed]

    def _pick_seed(self, turn: int) -> list[str]:
        seeds = sorted(set(self._list_seeds()))
        if not seeds:
            return []
        return [seeds[turn // SEED_ROUNDS % len(seeds)]]

    def _note(self, report: types.MemberReport) -> None:
        self._spreading.enqueue(self._rumours, report, self._count_entries())

    def _count_entries(self) -> int:
        roles = [
            member["beat"]["role"]
            for member in self._board.members.members.values()
            if not member.get("suspected", False)
        ]
        return 1 + roles.count("entry")


__all__ = ("Gathering",)
