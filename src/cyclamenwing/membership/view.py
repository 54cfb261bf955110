"""Which processes this one believes to be live."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

import xxhash

from cyclamenwing.membership import types

DEFAULT_INTERVAL_S = 1.0
SUSPECT_BEATS = 3
SUSPECT_AFTER_S = SUSPECT_BEATS * DEFAULT_INTERVAL_S
NEW_SEQUENCES = 5


@dataclasses.dataclass(slots=True)
class MemberBoard:
    """Hold what heartbeats, reports and the host list say, by host.

    `replaced` holds the last sequence of each earlier incarnation,
    `listed_leaving` the incarnation that the host list calls leaving.
    """

    members: dict[str, types.Member] = dataclasses.field(default_factory=dict)
    hosts: dict[str, types.Host] = dataclasses.field(default_factory=dict)
    replaced: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    listed_leaving: dict[str, str] = dataclasses.field(default_factory=dict)


class MemberController:
    """Fold heartbeats, reports and host lists into the view."""

    def hear(
        self, board: MemberBoard, beat: types.Heartbeat, now: float
    ) -> bool:
        """Take over a heartbeat; tell whether others should know of it."""
        if not self._supersedes(board, beat, now):
            return False
        host = beat["host"]
        known = board.members.get(host)
        self._note_replaced(board, beat)
        board.members[host] = {"beat": beat, "heard_at": now}
        return known is None or _differs(known, beat)

    def receive_report(
        self, board: MemberBoard, report: types.MemberReport, now: float
    ) -> types.MemberReport | None:
        """Take over another entry's report; return what to pass on."""
        if report["state"] == "suspect":
            return self._hear_suspicion(board, report, now)
        known = board.members.get(report["host"])
        beat = _make_beat(report)
        if not self._supersedes(board, beat, now):
            return None
        if known and self._hears_itself(known, beat, now):
            return None
        self._note_replaced(board, beat)
        board.members[report["host"]] = {
            "beat": beat,
            "heard_at": now,
            "told": True,
        }
        return report if known is None or _differs(known, beat) else None

    def suspect(
        self, board: MemberBoard, host: str
    ) -> types.MemberReport | None:
        """Mark a process as silent; return what to tell others."""
        member = board.members.get(host)
        if member is None or member.get("suspected", False):
            return None
        member["suspected"] = True
        return make_report(member)

    def suspect_silent(
        self, board: MemberBoard, now: float, mesh: bool
    ) -> list[types.MemberReport]:
        """Mark those that reported here and fell silent.

        Beyond a mesh, an entry that falls silent may have new neighbours:
        those that send to it find out whether it is gone.
        """
        silent = [
            member
            for member in board.members.values()
            if not member.get("told", False) and _is_silent(member, now)
        ]
        found = []
        for member in silent:
            if mesh or member["beat"]["role"] == "sidecar":
                found.append(self.suspect(board, member["beat"]["host"]))
            else:
                member["told"] = True
        return [report for report in found if report is not None]

    def adopt_hosts(
        self, board: MemberBoard, hosts: list[types.Host]
    ) -> list[types.MemberReport]:
        """Take over the platform's list, which lags.

        A host called leaving is so only as the incarnation that it was
        when the list said it first: one replaced since is not. Return
        what others should know.
        """
        board.hosts = {host["host"]: host for host in hosts}
        leaving = {
            host["host"] for host in hosts if host["state"] == "leaving"
        }
        for host in list(board.listed_leaving):
            if host not in leaving:
                del board.listed_leaving[host]
        found: list[types.MemberReport] = []
        for host in sorted(leaving - board.listed_leaving.keys()):
            member = board.members.get(host)
            if member is None:
                continue
            board.listed_leaving[host] = member["beat"]["incarnation"]
            found.append({**make_report(member), "leaving": True})
        return found

    def forget(self, board: MemberBoard, now: float, after_s: float) -> None:
        """Drop processes that were silent for long."""
        for host, member in list(board.members.items()):
            gone = member.get("suspected", False)
            if gone and now - member["heard_at"] > after_s:
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

    def list_open(
        self, board: MemberBoard, route: str, now: float
    ) -> list[types.Heartbeat]:
        """Return the live sidecars of a route that take new work."""
        return [
            beat
            for beat in self.list_live(board, "sidecar", now)
            if beat["route"] == route and not self.is_leaving(board, beat)
        ]

    def is_leaving(self, board: MemberBoard, beat: types.Heartbeat) -> bool:
        """Tell whether a process leaves, by itself or by the list."""
        if beat["leaving"]:
            return True
        marked = board.listed_leaving.get(beat["host"])
        if marked is not None:
            return marked == beat["incarnation"]
        listed = board.hosts.get(beat["host"])
        return listed is not None and listed["state"] == "leaving"

    def _hear_suspicion(
        self, board: MemberBoard, report: types.MemberReport, now: float
    ) -> types.MemberReport | None:
        member = board.members.get(report["host"])
        if member is None:
            return None
        if member["beat"]["incarnation"] != report["incarnation"]:
            return None
        if self._is_direct(member, now):
            # Heard here a moment ago: answer the suspicion.
            return make_report(member)
        if report["sequence"] < member["beat"].get("sequence", 0):
            return None
        return self.suspect(board, report["host"])

    def _supersedes(
        self, board: MemberBoard, beat: types.Heartbeat, now: float
    ) -> bool:
        known = board.members.get(beat["host"])
        if known is None:
            return True
        sequence = beat.get("sequence", 0)
        current = known["beat"]
        if beat["incarnation"] == current["incarnation"]:
            return sequence == 0 or sequence > current.get("sequence", 0)
        earlier = board.replaced.get(beat["host"], {})
        last = earlier.get(beat["incarnation"])
        if not is_live(known, now):
            return last is None or sequence > last
        return last is None and sequence <= NEW_SEQUENCES

    def _note_replaced(
        self, board: MemberBoard, beat: types.Heartbeat
    ) -> None:
        known = board.members.get(beat["host"])
        if known is None:
            return
        old = known["beat"]
        if old["incarnation"] == beat["incarnation"]:
            return
        earlier = board.replaced.setdefault(beat["host"], {})
        earlier.pop(beat["incarnation"], None)
        earlier[old["incarnation"]] = old.get("sequence", 0)

    def _hears_itself(
        self, member: types.Member, beat: types.Heartbeat, now: float
    ) -> bool:
        same = member["beat"]["incarnation"] == beat["incarnation"]
        return same and self._is_direct(member, now)

    def _is_direct(self, member: types.Member, now: float) -> bool:
        return not member.get("told", False) and is_live(member, now)


def is_live(member: types.Member, now: float) -> bool:
    """Tell whether a process counts as live."""
    if member.get("suspected", False):
        return False
    return member.get("told", False) or not _is_silent(member, now)


def make_report(member: types.Member) -> types.MemberReport:
    """Return what one entry tells another of a process."""
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
    facts = sorted(
        f"{report['host']} {report['incarnation']}"
        f" {report['leaving']} {report['state']}"
        for report in reports
    )
    return xxhash.xxh64_hexdigest("\n".join(facts).encode())


def _is_silent(member: types.Member, now: float) -> bool:
    interval_s = member["beat"].get("interval_s", DEFAULT_INTERVAL_S)
    return now - member["heard_at"] >= SUSPECT_BEATS * interval_s


def _differs(known: types.Member, beat: types.Heartbeat) -> bool:
    old = known["beat"]
    return (
        known.get("suspected", False)
        or old["incarnation"] != beat["incarnation"]
        or old["leaving"] != beat["leaving"]
        or old["address"] != beat["address"]
    )


def _make_beat(report: types.MemberReport) -> types.Heartbeat:
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
    "NEW_SEQUENCES",
    "SUSPECT_AFTER_S",
    "SUSPECT_BEATS",
    "MemberBoard",
    "MemberController",
    "digest_reports",
    "is_live",
    "make_report",
)
