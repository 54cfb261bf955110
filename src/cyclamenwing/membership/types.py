"""Messages and records of membership."""

from __future__ import annotations

from typing import Any
from typing import Literal
from typing import NotRequired
from typing import TypedDict

from cyclamenwing.catalog import types as catalog_types

Role = Literal["entry", "sidecar"]
HostState = Literal["live", "leaving"]
ReportState = Literal["live", "suspect"]


class Host(TypedDict):
    """Describe a host on the platform's host list."""

    host: str
    role: Role
    zone: str
    address: str
    state: HostState


class MemberReport(TypedDict):
    """Describe a process to another entry.

    `sequence` is that of the process's last heartbeat. It orders the
    reports of one incarnation without synchronized clocks.
    """

    host: str
    role: Role
    zone: str
    address: str
    incarnation: str
    route: str
    leaving: bool
    sequence: int
    state: ReportState


class EntryLocation(TypedDict):
    """Hold the host, availability zone and address of an entry."""

    host: str
    zone: str
    address: str


class Heartbeat(TypedDict):
    """Describe the state of the sending process.

    `incarnation` differs at each start of the process. `revision` is the
    highest configuration revision adopted, `load` the number of runs in
    progress. `news` holds the gossip of each component, by its key.
    `sequence` grows by one with each heartbeat; `interval_s` is the time
    to the next. Entries add `confirmed_age_s`, the time since they last
    confirmed their revision, and reports of other processes. Sidecars
    add the digest of their list of entries.
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
    sequence: NotRequired[int]
    interval_s: NotRequired[float]
    confirmed_age_s: NotRequired[float]
    reports: NotRequired[list[MemberReport]]
    directory: NotRequired[str]


class HeartbeatReply(TypedDict):
    """Answer a heartbeat with the receiver's own state.

    A sidecar with an old revision receives its new `rules`, one with an
    outdated list of entries the present `directory`.
    """

    host: str
    revision: int
    news: dict[str, Any]
    confirmed_age_s: NotRequired[float]
    reports: NotRequired[list[MemberReport]]
    rules: NotRequired[catalog_types.SidecarRules]
    directory: NotRequired[list[EntryLocation]]


class Member(TypedDict):
    """Hold the last heartbeat of a process and the time it arrived.

    `told` marks a process known only from reports of other entries,
    `suspected` one that an entry has found silent.
    """

    beat: Heartbeat
    heard_at: float
    told: NotRequired[bool]
    suspected: NotRequired[bool]


class SyncRequest(TypedDict):
    """Ask for the receiver's whole view unless it has this digest."""

    digest: str


class SyncReply(TypedDict):
    """Answer with the whole view, or no reports if the digest matches."""

    reports: list[MemberReport]


__all__ = (
    "EntryLocation",
    "Heartbeat",
    "HeartbeatReply",
    "Host",
    "HostState",
    "Member",
    "MemberReport",
    "ReportState",
    "Role",
    "SyncReply",
    "SyncRequest",
)
