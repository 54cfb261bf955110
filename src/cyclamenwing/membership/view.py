"""View of the live processes, from heartbeats, reports and host list."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import xxhash

from cyclamenwing.membership import types

DEFAULT_INTERVAL_S = 1.0
# A process is silent after this many heartbeat intervals without one.
SUSPECT_HEARTBEATS = 3
SUSPECT_AFTER_S = SUSPECT_HEARTBEATS * DEFAULT_INTERVAL_S
# A heartbeat of an unknown incarnation replaces a live one only up to this
# sequence. A higher one is a delayed heartbeat of a former incarnation.
MAX_INITIAL_SEQUENCE = 5


@dataclasses.dataclass(slots=True)
class MemberBoard:
    """Hold the member view and the platform's host list, by host.

    `replaced` holds the last sequence of each former incarnation,
    `listed_leaving` the incarnation that the host list marks as leaving.
    """

    members: dict[str, types.Member] = dataclasses.field(default_factory=dict)
    hosts: dict[str, types.Host] = dataclasses.field(default_factory=dict)
    replaced: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    listed_leaving: dict[str, str] = dataclasses.field(default_factory=dict)


class MemberController:
    """Apply heartbeats, reports and host lists to the view."""

    def receive(
        self, board: MemberBoard, beat: types.Heartbeat, now: float
    ) -> bool:
        """Apply a heartbeat; return whether other entries need a report."""
        if not self._supersedes(board, beat, now):
            return False
        host = beat["host"]
        member = board.members.get(host)
        self._record_replaced(board, beat)
        board.members[host] = {"beat": beat, "heard_at": now}
        return member is None or _has_changed(member, beat)

    def receive_report(
        self, board: MemberBoard, report: types.MemberReport, now: float
    ) -> types.MemberReport | None:
        """Apply another entry's report; return the report to pass on."""
        if report["state"] == "suspect":
            return self._receive_suspicion(board, report, now)
        member = board.members.get(report["host"])
        beat = _make_heartbeat(report)
        if not self._supersedes(board, beat, now):
            return None
        if member and self._is_direct_incarnation(member, beat, now):
            return None
        self._record_replaced(board, beat)
        board.members[report["host"]] = {
            "beat": beat,
            "heard_at": now,
            "told": True,
        }
        return report if member is None or _has_changed(member, beat) else None

    def suspect(
        self, board: MemberBoard, host: str
    ) -> types.MemberReport | None:
        """Mark a process as suspected; return the report for other entries."""
        member = board.members.get(host)
        if member is None or member.get("suspected", False):
            return None
        member["suspected"] = True
        return make_report(member)

    def suspect_silent(
        self, board: MemberBoard, now: float, mesh: bool
    ) -> list[types.MemberReport]:
        """Mark the direct senders that have fallen silent as suspected.

        Without a full mesh, an entry may have stopped sending here because
        its neighbours have changed. It isn't suspected but treated as known
        from reports: the entries that send to it detect its failure.

        :param mesh: whether all entries send heartbeats to each other
        :return: reports for the other entries
        """
        silent = [
            member
            for member in board.members.values()
            if not member.get("told", False) and _is_silent(member, now)
        ]
        reports = []
        for member in silent:
            if mesh or member["beat"]["role"] == "sidecar":
                reports.append(self.suspect(board, member["beat"]["host"]))
            else:
                member["told"] = True
        return [report for report in reports if report is not None]

    def adopt_hosts(
        self, board: MemberBoard, hosts: list[types.Host]
    ) -> list[types.MemberReport]:
        """Apply the platform's host list, which is updated with a delay.

        A host marked as leaving is so only in the incarnation it had when
        the list first said so; a later incarnation is not leaving.

        :return: reports for the other entries
        """
        board.hosts = {host["host"]: host for host in hosts}
        leaving = {
            host["host"] for host in hosts if host["state"] == "leaving"
        }
        for host in list(board.listed_leaving):
            if host not in leaving:
                del board.listed_leaving[host]
        reports: list[types.MemberReport] = []
        for host in sorted(leaving - board.listed_leaving.keys()):
            member = board.members.get(host)
            if member is None:
                continue
            board.listed_leaving[host] = member["beat"]["incarnation"]
            reports.append({**make_report(member), "leaving": True})
        return reports

    def forget(self, board: MemberBoard, now: float, after_s: float) -> None:
        """Remove suspected processes without a heartbeat for `after_s`."""
        for host, member in list(board.members.items()):
            suspected = member.get("suspected", False)
            if suspected and now - member["heard_at"] > after_s:
                del board.members[host]
                board.replaced.pop(host, None)

    def list_live(
        self, board: MemberBoard, role: types.Role, now: float
    ) -> list[types.Heartbeat]:
        """Return the last heartbeats of live processes of a role."""
        return [
            member["beat"]
            for member in board.members.values()
            if member["beat"]["role"] == role and is_live(member, now)
        ]

    def list_available(
        self, board: MemberBoard, route: str, now: float
    ) -> list[types.Heartbeat]:
        """Return the live sidecars of a route that accept new runs."""
        return [
            beat
            for beat in self.list_live(board, "sidecar", now)
            if beat["route"] == route and not self.is_leaving(board, beat)
        ]

    def is_leaving(self, board: MemberBoard, beat: types.Heartbeat) -> bool:
        """Return whether a process is leaving, by itself or by the list."""
        if beat["leaving"]:
            return True
        listed_incarnation = board.listed_leaving.get(beat["host"])
        if listed_incarnation is not None:
            return listed_incarnation == beat["incarnation"]
        listed = board.hosts.get(beat["host"])
        return listed is not None and listed["state"] == "leaving"

    def _receive_suspicion(
        self, board: MemberBoard, report: types.MemberReport, now: float
    ) -> types.MemberReport | None:
        member = board.members.get(report["host"])
        if member is None:
            return None
        if member["beat"]["incarnation"] != report["incarnation"]:
            return None
        if self._is_direct(member, now):
            # Its heartbeats arrive here: refute the suspicion.
            return make_report(member)
        if report["sequence"] < member["beat"].get("sequence", 0):
            return None
        return self.suspect(board, report["host"])

    def _supersedes(
        self, board: MemberBoard, beat: types.Heartbeat, now: float
    ) -> bool:
        """Return whether a heartbeat is newer than the host's last one.

        Another incarnation replaces a live one only if it has just started
        and was not replaced before.
        """
        member = board.members.get(beat["host"])
        if member is None:
            return True
        sequence = beat.get("sequence", 0)
        last_beat = member["beat"]
        if beat["incarnation"] == last_beat["incarnation"]:
            return sequence == 0 or sequence > last_beat.get("sequence", 0)
        replaced = board.replaced.get(beat["host"], {})
        last_sequence = replaced.get(beat["incarnation"])
        if not is_live(member, now):
            return last_sequence is None or sequence > last_sequence
        return last_sequence is None and sequence <= MAX_INITIAL_SEQUENCE

    def _record_replaced(
        self, board: MemberBoard, beat: types.Heartbeat
    ) -> None:
        member = board.members.get(beat["host"])
        if member is None:
            return
        previous = member["beat"]
        if previous["incarnation"] == beat["incarnation"]:
            return
        replaced = board.replaced.setdefault(beat["host"], {})
        replaced.pop(beat["incarnation"], None)
        replaced[previous["incarnation"]] = previous.get("sequence", 0)

    def _is_direct_incarnation(
        self, member: types.Member, beat: types.Heartbeat, now: float
    ) -> bool:
        same = member["beat"]["incarnation"] == beat["incarnation"]
        return same and self._is_direct(member, now)

    def _is_direct(self, member: types.Member, now: float) -> bool:
        return not member.get("told", False) and is_live(member, now)


def is_live(member: types.Member, now: float) -> bool:
    """Return whether a process counts as live."""
    if member.get("suspected", False):
        return False
    return member.get("told", False) or not _is_silent(member, now)


def make_report(member: types.Member) -> types.MemberReport:
    """Return the report of a process for other entries."""
    beat = member["beat"]
    return {
        "host": beat["host"],
        "role": beat["role"],
        "zone": beat["zone"],
        "address": beat["address"],
        "incarnation": beat["incarnation"],
        "route": beat["route"],
        "leaving": beat["leaving"],
        "sequence": beat.get("sequence", 0),
        "state": "suspect" if member.get("suspected", False) else "live",
    }


def digest_reports(reports: Iterable[types.MemberReport]) -> str:
    """Return a digest of reports that ignores their sequences."""
    lines = sorted(
        f"{report['host']} {report['incarnation']}"
        f" {report['leaving']} {report['state']}"
        for report in reports
    )
    return xxhash.xxh64_hexdigest("\n".join(lines).encode())


def _is_silent(member: types.Member, now: float) -> bool:
    interval_s = member["beat"].get("interval_s", DEFAULT_INTERVAL_S)
    return now - member["heard_at"] >= SUSPECT_HEARTBEATS * interval_s


def _has_changed(member: types.Member, beat: types.Heartbeat) -> bool:
    previous = member["beat"]
    return (
        member.get("suspected", False)
        or previous["incarnation"] != beat["incarnation"]
        or previous["leaving"] != beat["leaving"]
        or previous["address"] != beat["address"]
    )


def _make_heartbeat(report: types.MemberReport) -> types.Heartbeat:
    return {
        "host": report["host"],
        "role": report["role"],
        "zone": report["zone"],
        "address": report["address"],
        "incarnation": report["incarnation"],
        "route": report["route"],
        "leaving": report["leaving"],
        "revision": 0,
        "load": 0,
        "news": {},
        "sequence": report["sequence"],
    }


__all__ = (
    "DEFAULT_INTERVAL_S",
    "MAX_INITIAL_SEQUENCE",
    "SUSPECT_AFTER_S",
    "SUSPECT_HEARTBEATS",
    "MemberBoard",
    "MemberController",
    "digest_reports",
    "is_live",
    "make_report",
)
