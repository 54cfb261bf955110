"""Which processes this one believes to be live."""

from __future__ import annotations

import dataclasses

from cyclamenwing.membership import types

SUSPECT_AFTER_S = 3.0


@dataclasses.dataclass(slots=True)
class MemberBoard:
    """Hold what heartbeats and the host list say, by host."""

    members: dict[str, types.Member] = dataclasses.field(default_factory=dict)
    hosts: dict[str, types.Host] = dataclasses.field(default_factory=dict)


class MemberController:
    """Fold heartbeats and host lists into the view."""

    def hear(
        self, board: MemberBoard, beat: types.Heartbeat, now: float
    ) -> None:
        """Take over a heartbeat."""
        board.members[beat["host"]] = {"beat": beat, "heard_at": now}

    def adopt_hosts(self, board: MemberBoard, hosts: list[types.Host]) -> None:
        """Take over the platform's list, which lags."""
        board.hosts = {host["host"]: host for host in hosts}

    def list_live(
        self, board: MemberBoard, role: types.Role, now: float
    ) -> list[types.Heartbeat]:
        """Return the last heartbeats of live processes of a role."""
        return [
            member["beat"]
            for member in board.members.values()
            if member["beat"]["role"] == role
            and now - member["heard_at"] < SUSPECT_AFTER_S
        ]

    def list_open(
        self, board: MemberBoard, route: str, now: float
    ) -> list[types.Heartbeat]:
        """Return the live sidecars of a route that take new work."""
        return [
            beat
            for beat in self.list_live(board, "sidecar", now)
            if beat["route"] == route
            and not beat["leaving"]
            and not self._is_leaving(board, beat["host"])
        ]

    def _is_leaving(self, board: MemberBoard, host: str) -> bool:
        listed = board.hosts.get(host)
        return listed is not None and listed["state"] == "leaving"


__all__ = (
    "SUSPECT_AFTER_S",
    "MemberBoard",
    "MemberController",
)
