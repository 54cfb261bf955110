"""Avoidance of slow and failing hosts."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Sequence

from cyclamenwing.routing import types

SLOWNESS_SMOOTHING = 0.2
SLOWNESS_HALF_LIFE_S = 20.0
MAX_LATENCY_RATIO = 16.0
MIN_LATENCY_RATIO = 1 / 16
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 1 / 3
SLOW_START_S = 10.0
SLOW_START_FACTOR = 3.0


@dataclasses.dataclass(slots=True)
class HostHealth:
    """Hold how a host did against what was expected of it."""

    incarnation: str
    started_at: float
    slowness: float = 0.0
    measured_at: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0


class HealthController:
    """Measure slowness, eject hosts that fail and start new ones slowly."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostHealth] = {}
        self._median_slowness = 1.0

    def register(
        self, candidates: Sequence[types.Candidate], now: float
    ) -> None:
        """Take note of hosts that are new or restarted."""
        for candidate in candidates:
            health = self._hosts.get(candidate.host)
            if health is None or health.incarnation != candidate.incarnation:
                health = HostHealth(candidate.incarnation, now)
                self._hosts[candidate.host] = health

    def record_latency(self, host: str, ratio: float, now: float) -> None:
        """Take a measured time over the expected one."""
        health = self._hosts.get(host)
        if health is None:
            return
        ratio = min(MAX_LATENCY_RATIO, max(MIN_LATENCY_RATIO, ratio))
        previous = self.get_slowness(host, now)
        health.slowness = previous + SLOWNESS_SMOOTHING * (ratio - previous)
        health.measured_at = now
        slownesses = [
            item.slowness for item in self._hosts.values() if item.slowness
        ]
        self._median_slowness = sorted(slownesses)[len(slownesses) // 2]

    def get_slowness(self, host: str, now: float) -> float:
        """Return a host's slowness; it fades, so that a host is tried again.

        A host that was never measured counts as the median one.
        """
        health = self._hosts.get(host)
        if health is None or not health.slowness:
            return self._median_slowness
        weight = math.exp2(-(now - health.measured_at) / SLOWNESS_HALF_LIFE_S)
        return (
            self._median_slowness
            + (health.slowness - self._median_slowness) * weight
        )

    def get_slow_start_factor(self, host: str, now: float) -> float:
        """Return the factor by which a host that just started is avoided."""
        health = self._hosts.get(host)
        age = now - health.started_at if health else 0.0
        if age >= SLOW_START_S:
            return 1.0
        return SLOW_START_FACTOR - (SLOW_START_FACTOR - 1.0) * (
            age / SLOW_START_S
        )

    def get_latency_factor(self, host: str, now: float) -> float:
        """Return the factor of what is expected of a host."""
        return self.get_slowness(host, now) * self.get_slow_start_factor(
            host, now
        )

    def note_failure(self, host: str, now: float) -> None:
        """Eject a host for a while, longer at each failure in a row."""
        health = self._hosts.get(host)
        if health is None:
            return
        length_s = BASE_EJECTION_S * 2.0**health.failures
        health.failures += 1
        health.ejected_until = now + min(MAX_EJECTION_S, length_s)

    def note_success(self, host: str) -> None:
        """End a host's row of failures."""
        health = self._hosts.get(host)
        if health is not None:
            health.failures = 0
            health.ejected_until = 0.0

    def exclude_ejected(
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
        excluded = {candidate.host for candidate in ejected[:bound]}
        return [item for item in candidates if item.host not in excluded]


__all__ = (
    "HealthController",
    "HostHealth",
)
