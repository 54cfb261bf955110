"""History of the software versions of a service's endpoints.

Handles the pattern of a release during which clients take up streams: whether
a stream may go on at any endpoint depends on which versions served while it
can have begun. Gateways exchange what they have seen, so that one that starts
knows what was there before.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

# Versions are remembered for this long, longer than any stream lasts.
MEMORY_S = 120.0


class Origin(NamedTuple):
    """Name the service and the software version that began a stream."""

    service: str
    software: str


class SeenVersion(NamedTuple):
    """Tell another gateway when a version was seen last."""

    service: str
    software: str
    age_s: float


@dataclasses.dataclass(slots=True)
class VersionHistory:
    """Hold when each version of each service was seen last.

    :param since_s: time from which on no version was missed
    """

    since_s: float
    _seen: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def record(
        self, versions: Iterable[tuple[str, str]], now_s: float
    ) -> None:
        """Record services and versions as present; forget old ones."""
        for version in versions:
            self._seen[version] = now_s
        for version, seen_s in list(self._seen.items()):
            if now_s - seen_s > MEMORY_S:
                del self._seen[version]

    def list_versions(
        self, service: str, within_s: float, now_s: float
    ) -> set[str]:
        """Return the versions of a service that were seen lately."""
        return {
            software
            for (name, software), seen_s in self._seen.items()
            if name == service and now_s - seen_s <= within_s
        }

    def covers(self, within_s: float, now_s: float) -> bool:
        """Return whether all versions of the time before are known."""
        return now_s - self.since_s >= within_s

    def list_seen(self, now_s: float) -> list[SeenVersion]:
        """Return what a peer has to know."""
        return [
            SeenVersion(service, software, round(now_s - seen_s, 3))
            for (service, software), seen_s in self._seen.items()
        ]

    def measure_span(self, now_s: float) -> float:
        """Return for how long no version was missed, in seconds."""
        return min(now_s - self.since_s, MEMORY_S)

    def merge(
        self, seen: Iterable[SeenVersion], span_s: float, now_s: float
    ) -> None:
        """Merge what a peer has seen, and for how long it missed none."""
        for item in seen:
            key = (item.service, item.software)
            self._seen[key] = max(
                self._seen.get(key, -math.inf), now_s - item.age_s
            )
        self.since_s = min(self.since_s, now_s - span_s)


def find_mixed(versions: Mapping[str, set[str]]) -> set[str]:
    """Return the services with more than one version."""
    return {name for name, known in versions.items() if len(known) > 1}


__all__ = (
    "MEMORY_S",
    "Origin",
    "SeenVersion",
    "VersionHistory",
    "find_mixed",
)
