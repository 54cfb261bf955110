"""Avoidance of slow and failing hosts."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence

from cyclamenwing.routing import types

SMOOTHING = 0.2
FADE_HALF_LIFE_S = 20.0
SLOWEST = 16.0
FASTEST = 1 / 16
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 1 / 3
SLOW_START_S = 10.0
SLOW_START_FACTOR = 3.0


@dataclasses.dataclass(slots=True)
class HostHealth:
    """Hold how a host did against what was expected of it."""

    incarnation: str
    since: float
    slowness: float = 0.0
    measured_at: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0


class HealthController:
    """Measure slowness, eject hosts that fail and start new ones slowly."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostHealth] = {}
        self._usual = 1.0

    def greet(self, candidates: Sequence[types.Candidate], now: float) -> None:
        """Take note of hosts that are new or restarted."""
        for candidate in candidates:
            found = self._hosts.get(candidate.host)
            if found is None or found.incarnation != candidate.incarnation:
                made = HostHealth(candidate.incarnation, now)
                self._hosts[candidate.host] = made

    def measure(self, host: str, ratio: float, now: float) -> None:
        """Take a measured time over the expected one."""
        found = self._hosts.get(host)
        if found is None:
            return
        ratio = min(SLOWEST, max(FASTEST, ratio))
        before = self.read_slowness(host, now)
        found.slowness = before + SMOOTHING * (ratio - before)
        found.measured_at = now
        known = [
            item.slowness for item in self._hosts.values() if item.slowness
        ]
        self._usual = sorted(known)[len(known) // 2]

    def read_slowness(self, host: str, now: float) -> float:
        """Return a host's slowness; it fades, so that a host is tried again.

        A host that was never measured counts as the median one.
        """
        found = self._hosts.get(host)
        if found is None or not found.slowness:
            return self._usual
        fade = math.exp2(-(now - found.measured_at) / FADE_HALF_LIFE_S)
        return self._usual + (found.slowness - self._usual) * fade

    def read_start(self, host: str, now: float) -> float:
        """Return the factor by which a host that just started is avoided."""
        found = self._hosts.get(host)
        age = now - found.since if found else 0.0
        if age >= SLOW_START_S:
            return 1.0
        return SLOW_START_FACTOR - (SLOW_START_FACTOR - 1.0) * (
            age / SLOW_START_S
        )

    def read_factor(self, host: str, now: float) -> float:
        """Return the factor of what is expected of a host."""
        return self.read_slowness(host, now) * self.read_start(host, now)

    def note_failure(self, host: str, now: float) -> None:
        """Eject a host for a while, longer at each failure in a row."""
        found = self._hosts.get(host)
        if found is None:
            return
        length_s = FIRST_EJECTION_S * 2.0**found.failures
        found.failures += 1
        found.ejected_until = now + min(MAX_EJECTION_S, length_s)

    def note_success(self, host: str) -> None:
        """End a host's row of failures."""
        found = self._hosts.get(host)
        if found is not None:
            found.failures = 0
            found.ejected_until = 0.0

    def filter(
        self, candidates: Sequence[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return the candidates without a bounded share of ejected ones."""
        ejected = [
            candidate
            for candidate in candidates
            if self._hosts[candidate.host].ejected_until > now
        ]
        if not ejected:
            return list(candidates)
        # Of too many, those whose time is up first are tried again.
        ejected.sort(key=lambda item: -self._hosts[item.host].ejected_until)
        bound = int(len(candidates) * MAX_EJECTED_SHARE)
        left_out = {candidate.host for candidate in ejected[:bound]}
        return [item for item in candidates if item.host not in left_out]


__all__ = (
    "HealthController",
    "HostHealth",
)
