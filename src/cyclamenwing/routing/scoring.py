"""Order of candidates by load, prefix affinity and zone."""

from __future__ import annotations

import collections

from cyclamenwing.routing import types

ZONE_PENALTY = 0.5


class ScoringPolicy:
    """Prefer the same zone and few runs in progress.

    :param zone: the availability zone of this process
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._in_flight: collections.Counter[str] = collections.Counter()

    def order(
        self,
        job: types.Job,
        candidates: list[types.Candidate],
        now: float,
    ) -> list[types.Candidate]:
        """Return the candidates, the best first."""
        return sorted(candidates, key=self._score)

    def note_start(self, job: types.Job, host: str, now: float) -> None:
        """Take note that a job was sent to a host."""
        self._in_flight[host] += 1

    def note_end(self, job: types.Job, host: str, now: float) -> None:
        """Take note that a job left a host."""
        self._in_flight[host] -= 1

    def _score(self, candidate: types.Candidate) -> tuple[float, str]:
        load = max(candidate.load, self._in_flight[candidate.host])
        penalty = 0.0 if candidate.zone == self._zone else ZONE_PENALTY
        return load + penalty, candidate.host


__all__ = (
    "ZONE_PENALTY",
    "ScoringPolicy",
)
