"""Status of an entry and its fleet view for operators."""

from __future__ import annotations

from typing import TypedDict

from cyclamenwing.catalog import adoption
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import types
from cyclamenwing.membership import view


class MemberState(TypedDict):
    """Describe a member; `direct` means that its heartbeats arrive here."""

    host: str
    role: types.Role
    zone: str
    address: str
    incarnation: str
    route: str
    revision: int
    load: int
    leaving: bool
    live: bool
    direct: bool
    silent_s: float


class Fleet(TypedDict):
    """Describe an entry and its view of the fleet."""

    host: str
    zone: str
    address: str
    incarnation: str
    leaving: bool
    revision: int
    behind: int
    standing: adoption.Standing
    confirmed_age_s: float | None
    in_progress: int
    members: list[MemberState]
    hosts: list[types.Host]


def describe_fleet(
    board: blackboard.EntryBoard, address: str, now: float
) -> Fleet:
    """Return the status of an entry and its view of the fleet."""
    controller = adoption.AdoptionController()
    return {
        "host": board.host,
        "zone": board.zone,
        "address": address,
        "incarnation": board.session,
        "leaving": board.leaving,
        "revision": board.catalog.revision,
        "behind": board.adoption.behind,
        "standing": controller.find_standing(board.adoption, now),
        "confirmed_age_s": controller.find_confirmation_age_s(
            board.adoption, now
        ),
        "in_progress": board.in_progress,
        "members": [
            _describe_member(board.members, member, now)
            for _, member in sorted(board.members.members.items())
        ],
        "hosts": list(board.members.hosts.values()),
    }


def _describe_member(
    board: view.MemberBoard, member: types.Member, now: float
) -> MemberState:
    beat = member["beat"]
    return {
        "host": beat["host"],
        "role": beat["role"],
        "zone": beat["zone"],
        "address": beat["address"],
        "incarnation": beat["incarnation"],
        "route": beat["route"],
        "revision": beat["revision"],
        "load": beat["load"],
        "leaving": view.MemberController().is_leaving(board, beat),
        "live": view.is_live(member, now),
        "direct": not member.get("told", False),
        "silent_s": round(now - member["heard_at"], 3),
    }


__all__ = (
    "Fleet",
    "MemberState",
    "describe_fleet",
)
