"""Shared state of an entry's controllers."""

from __future__ import annotations

import dataclasses

from cyclamenwing.budget import account
from cyclamenwing.catalog import adoption
from cyclamenwing.catalog import index
from cyclamenwing.membership import view
from cyclamenwing.metrics import recorder
from cyclamenwing.request import journal


@dataclasses.dataclass(slots=True)
class EntryBoard:
    """Hold the state of an entry.

    `served` holds the incarnations of the sidecars that the session
    record names; only these may get work from this entry.

    :param host: name of the host
    :param zone: availability zone of the host
    :param session: id of this incarnation and of its session record
    """

    host: str
    zone: str
    session: str
    holder: account.HolderBoard
    catalog: index.Index = dataclasses.field(
        default_factory=lambda: index.Index({"revision": 0, "services": {}})
    )
    adoption: adoption.AdoptionBoard = dataclasses.field(
        default_factory=adoption.AdoptionBoard
    )
    members: view.MemberBoard = dataclasses.field(
        default_factory=view.MemberBoard
    )
    journal: journal.Journal = dataclasses.field(
        default_factory=journal.Journal
    )
    served: set[str] = dataclasses.field(default_factory=set)
    recorder: recorder.Recorder = dataclasses.field(
        default_factory=recorder.Recorder
    )
    in_progress: int = 0
    leaving: bool = False


__all__ = ("EntryBoard",)
