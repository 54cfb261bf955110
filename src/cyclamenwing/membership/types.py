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
    """Describe a host as the platform's list shows it."""

    host: str
    role: Role
    zone: str
    address: str
    state: HostState


class MemberReport(TypedDict):
    """Pass on what one entry knows of a process to another.

    `sequence` is the last heartbeat's; a report with a higher one of the
    same incarnation is younger, without any clock.
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
    """Tell where an entry is reached."""

    host: str
    zone: str
    address: str


class Heartbeat(TypedDict):
    """Report one process to another.

    `incarnation` differs at each start, `revision` is the highest
    configuration revision adopted, `load` the runs in progress. `news`
    holds what each concern adds, by the concern's name. `sequence` grows
    by one a heartbeat; `interval_s` is the time to the next. Entries add
    the age of their revision's confirmation and reports of others,
    sidecars the digest of the entries that they know.
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

    A sidecar behind in revision gets its `rules`, one behind in the
    entries that there are gets the `directory`.
    """

    host: str
    revision: int
    news: dict[str, Any]
    confirmed_age_s: NotRequired[float]
    reports: NotRequired[list[MemberReport]]
    rules: NotRequired[catalog_types.SidecarRules]
    directory: NotRequired[list[EntryLocation]]


class Member(TypedDict):
    """Hold the last report of a process and when it came.

    `told` marks one known only from another entry's reports, `suspected`
    one that an entry reported as silent.
    """

    beat: Heartbeat
    heard_at: float
    told: NotRequired[bool]
    suspected: NotRequired[bool]


class SyncRequest(TypedDict):
    """Ask for the whole view unless it has this digest."""

    digest: str


class SyncReply(TypedDict):
    """Answer with the whole view, or with nothing if it is the same."""

    reports: list[MemberReport]


__all__ = (
    "Heartbeat",
    "HeartbeatReply",
    "Host",
    "HostState",
    "Member",
    "EntryLocation",
    "MemberReport",
    "ReportState",
    "Role",
    "SyncReply",
    "SyncRequest",
)
