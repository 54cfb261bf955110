"""Endpoints that get no requests although they are registered as ready.

Handles two patterns. An endpoint leaves, and the store does not say so, or
an older copy of the store says ready again. An overloaded endpoint asks this
gateway to send nothing for a while.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Container
from typing import Any
from typing import NamedTuple

# Records of endpoints that are no longer registered, per kind of record.
MAX_KEPT = 1024
# Start times kept per name and address, the latest ones.
MAX_STARTS_KEPT = 4
UNKNOWN_START_MS = 0


class Incarnation(NamedTuple):
    """Identify one process behind an endpoint's name."""

    name: str
    started_ms: int
    address: str


@dataclasses.dataclass(slots=True)
class Exclusions:
    """Hold which incarnations get no requests, and until when.

    :param leaving: start times of leaving incarnations, by name and address;
        this is final
    :param superseded: incarnations whose entry was removed or replaced, with
        the revision of that change; a later entry ends it
    :param waits: times until which incarnations want no requests
    """

    leaving: dict[tuple[str, str], tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )
    superseded: dict[Incarnation, int] = dataclasses.field(
        default_factory=dict
    )
    waits: dict[Incarnation, float] = dataclasses.field(default_factory=dict)

    def mark_leaving(self, incarnation: Incarnation) -> bool:
        """Exclude an incarnation for good; return whether this is new."""
        if self.is_leaving(incarnation):
            return False
        key = (incarnation.name, incarnation.address)
        starts = (*self.leaving.pop(key, ()), incarnation.started_ms)
        self.leaving[key] = starts[-MAX_STARTS_KEPT:]
        return True

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation leaves.

        Without a start time on either side a process can't be told from the
        next one at its address. It then counts as the same: an endpoint that
        stays unused until this gateway restarts costs less than requests that
        are cut off when it exits.
        """
        starts = self.leaving.get((incarnation.name, incarnation.address))
        if starts is None:
            return False
        return incarnation.started_ms in starts or UNKNOWN_START_MS in (
            incarnation.started_ms,
            *starts,
        )

    def mark_draining(self, incarnation: Incarnation, revision: int) -> None:
        """Exclude an incarnation whose entry says that it drains.

        Without a start time the entry may be of another writer, so a later
        entry ends the exclusion; one of an older copy does not.
        """
        if incarnation.started_ms == UNKNOWN_START_MS:
            self.mark_superseded(incarnation, revision)
        else:
            self.mark_leaving(incarnation)

    def mark_superseded(self, incarnation: Incarnation, revision: int) -> None:
        """Record the removal or replacement of an incarnation's entry."""
        self.superseded.pop(incarnation, None)
        self.superseded[incarnation] = revision

    def restore(self, incarnation: Incarnation, revision: int) -> None:
        """Accept an entry that was written after its removal."""
        if self.superseded.get(incarnation, revision) < revision:
            del self.superseded[incarnation]

    def is_gone(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation leaves or has no valid entry."""
        return incarnation in self.superseded or self.is_leaving(incarnation)

    def extend_wait(self, incarnation: Incarnation, until_s: float) -> bool:
        """Exclude an incarnation until a time; return whether it is later."""
        if until_s <= self.waits.get(incarnation, 0.0):
            return False
        self.waits.pop(incarnation, None)
        self.waits[incarnation] = until_s
        return True

    def read_wait(self, incarnation: Incarnation, now_s: float) -> float:
        """Return the seconds for which an incarnation wants no requests."""
        until_s = self.waits.get(incarnation)
        if until_s is None:
            return 0.0
        if until_s <= now_s:
            del self.waits[incarnation]
            return 0.0
        return until_s - now_s

    def trim(self, registered: Container[str]) -> None:
        """Forget the oldest records of names that are not registered."""
        for records in (self.leaving, self.superseded, self.waits):
            trim_records(records, registered, MAX_KEPT)


def trim_records(
    records: dict[Any, Any], registered: Container[str], most: int
) -> None:
    """Forget the oldest records of names that are not registered."""
    excess = len(records) - most
    if excess <= 0:
        return
    unregistered = [key for key in records if key[0] not in registered]
    for key in unregistered[:excess]:
        del records[key]


__all__ = (
    "MAX_KEPT",
    "MAX_STARTS_KEPT",
    "Exclusions",
    "Incarnation",
    "trim_records",
)
