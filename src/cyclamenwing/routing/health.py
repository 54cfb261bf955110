"""Outlier detection: slow hosts, failing hosts and slow start."""

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
    """Hold a host's slowness and failures.

    `slowness` is the smoothed ratio of measured to predicted latency, 0
    before the first measurement.
    """

    incarnation: str
    started_at: float
    slowness: float = 0.0
    measured_at: float = 0.0
    failures: int = 0
    ejected_until: float = 0.0


class HealthController:
    """Measure slowness, eject failing hosts and ramp up new ones slowly."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostHealth] = {}
        self._median_slowness = 1.0

    def register(
        self, candidates: Sequence[types.Candidate], now: float
    ) -> None:
        """Start the record of hosts that are new or have restarted."""
        for candidate in candidates:
            health = self._hosts.get(candidate.host)
            if health is None or health.incarnation != candidate.incarnation:
                health = HostHealth(candidate.incarnation, now)
                self._hosts[candidate.host] = health

    def record_latency(self, host: str, ratio: float, now: float) -> None:
        """Record the ratio of measured to predicted latency of a job."""
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
        """Return a host's slowness.

        It decays towards the median of all hosts, so that a slow host is
        tried again. A host without a measurement has the median.
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
        """Return the latency factor of slow start, 1 once it is over."""
        health = self._hosts.get(host)
        age = now - health.started_at if health else 0.0
        if age >= SLOW_START_S:
            return 1.0
        return SLOW_START_FACTOR - (SLOW_START_FACTOR - 1.0) * (
            age / SLOW_START_S
        )

    def get_latency_factor(self, host: str, now: float) -> float:
        """Return the factor to multiply a host's predicted latency by."""
        return self.get_slowness(host, now) * self.get_slow_start_factor(
            host, now
        )

    def record_failure(self, host: str, now: float) -> None:
        """Eject a host for a time that doubles with each consecutive failure.

        The time is at most `MAX_EJECTION_S`.
        """
        health = self._hosts.get(host)
        if health is None:
            return
        length_s = BASE_EJECTION_S * 2.0**health.failures
        health.failures += 1
        health.ejected_until = now + min(MAX_EJECTION_S, length_s)

    def record_success(self, host: str) -> None:
        """Reset a host's consecutive failures and end its ejection."""
        health = self._hosts.get(host)
        if health is not None:
            health.failures = 0
            health.ejected_until = 0.0

    def exclude_ejected(
        self, candidates: Sequence[types.Candidate], now: float
    ) -> list[types.Candidate]:
        """Return the candidates without the ejected ones.

        At most `MAX_EJECTED_SHARE` of the candidates are left out.
        """
        ejected = [
            candidate
            for candidate in candidates
            if self._hosts[candidate.host].ejected_until > now
        ]
        if not ejected:
            return list(candidates)
        # Beyond the bound, those whose ejection ends first stay in use.
        ejected.sort(key=lambda item: -self._hosts[item.host].ejected_until)
        bound = int(len(candidates) * MAX_EJECTED_SHARE)
        excluded = {candidate.host for candidate in ejected[:bound]}
        return [item for item in candidates if item.host not in excluded]


__all__ = (
    "HealthController",
    "HostHealth",
)
