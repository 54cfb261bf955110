"""Messages and records of membership."""

from __future__ import annotations

from typing import Any
from typing import Literal
from typing import TypedDict

Role = Literal["entry", "sidecar"]
HostState = Literal["live", "leaving"]


class Host(TypedDict):
    """Describe a host as the platform's list shows it."""

    host: str
    role: Role
    zone: str
    address: str
    state: HostState


class Heartbeat(TypedDict):
    """Report one process to another.

    `incarnation` differs at each start, `revision` is the highest
    configuration revision adopted, `load` the runs in progress. `news`
    holds what each concern adds, by the concern's name.
    """

    host: str
    role: Role
    zone: str
    address: str
    incarnation: str
    route: str
    leaving: bool
    revision: int
    load: int
    news: dict[str, Any]


class HeartbeatReply(TypedDict):
    """Answer a heartbeat with the receiver's own state."""

    host: str
    revision: int
    news: dict[str, Any]


class Member(TypedDict):
    """Hold the last report of a process and when it came."""

    beat: Heartbeat
    heard_at: float


__all__ = (
    "Heartbeat",
    "HeartbeatReply",
    "Host",
    "HostState",
    "Member",
    "Role",
)
