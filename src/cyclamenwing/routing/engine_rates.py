"""Learned slowness of endpoints, relative to the typical one of a service.

Handles endpoints of one service that differ in speed. Each time from sending
a request to its first event is compared with the predicted one. The ratio is
taken relative to that of like requests at all endpoints, so that an error of
the prediction that all endpoints share has no effect. Endpoints that do not
differ clearly from the typical one have a slowness of exactly 1.0.
"""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

# An endpoint without observations counts as typical with this weight, in
# observations.
PRIOR_COUNT = 5.0
# Observations lose half of their weight in this time. It is much longer than
# the slow periods of 0.6 s that some endpoints have, which are over before
# another gateway could act on them.
HALF_LIFE_S = 30.0
# Slowness closer to 1.0 than this ratio, or than some standard errors, counts
# as 1.0, so that endpoints that are alike keep equal costs. Fewer errors are
# required where the endpoints of a service differ by more than chance.
MIN_RATIO = 1.15
MIN_ERRORS = 4.0
MIN_ERRORS_IF_UNLIKE = 2.0
# Endpoints differ by more than chance if the mean of their squared deviations,
# in standard errors, exceeds 1.0 by this many of its own standard deviations.
# Fewer are required once they have been found to differ.
MIN_SPREAD = 6.0
MIN_SPREAD_TO_KEEP = 3.0
# Observations of an endpoint in this time count as dependent on each other:
# they share a slow period or a queue.
GROUP_S = 1.0
# Bounds of a learned slowness; the measured ones are 0.6 to 1.6.
MIN_SLOWNESS = 0.4
MAX_SLOWNESS = 2.5
# A ratio further from the typical one counts as this, as most such times are
# due to a queue that the gateway did not know of.
MAX_DEVIATION = 0.7
# Standard deviation assumed until observations show it, and their weight.
PRIOR_DEVIATION = 0.8
PRIOR_DEVIATION_COUNT = 100.0
# Most observations that the typical ratio of like requests is averaged over.
MAX_TYPICAL_COUNT = 200.0
MAX_VARIANCE_COUNT = 1000.0
REFRESH_INTERVAL_S = 1.0
MS_PER_S = 1000

Key = tuple[str, int, str]


class Observation(NamedTuple):
    """Hold the time to one first event, or to one plain answer.

    :param size: class of predicted times that the request belongs to
    :param log_ratio: logarithm of the observed time over the predicted one
    """

    size: int
    log_ratio: float


class Estimate(NamedTuple):
    """Hold the learned slowness of an endpoint.

    :param slowness: its times relative to those of the typical endpoint
    :param weight: observations that it rests on, less those that have aged
    :param error: relative standard error
    """

    slowness: float
    weight: float
    error: float


TYPICAL_ESTIMATE = Estimate(1.0, 0.0, 0.0)


class Change(NamedTuple):
    """Report an endpoint that has become slow, fast or typical."""

    key: Key
    speed: str
    estimate: Estimate


@dataclasses.dataclass(slots=True)
class Tally:
    """Sum the deviations of an endpoint's times, with weights by age.

    :param updated_s: time up to which the sums are aged
    :param group_s: time of the first observation of the latest group
    :param group_count: observations of that group
    :param group_total: their deviations from the estimate
    """

    updated_s: float
    observed_s: float
    count: float = 0.0
    total: float = 0.0
    group_s: float = 0.0
    group_count: int = 0
    group_total: float = 0.0

    def age(self, now_s: float) -> None:
        """Reduce the weight of the observations by their age."""
        elapsed_s = now_s - self.updated_s
        if elapsed_s > 0:
            weight = 0.5 ** (elapsed_s / HALF_LIFE_S)
            self.count *= weight
            self.total *= weight
            self.updated_s = now_s

    def read_mean(self) -> float:
        """Return the mean deviation, with the prior."""
        return self.total / (self.count + PRIOR_COUNT)


@dataclasses.dataclass(slots=True)
class Typical:
    """Hold the typical ratio of requests of one service and size."""

    count: float = 0.0
    log_ratio: float = 0.0


@dataclasses.dataclass(slots=True)
class ServiceRates:
    """Hold what is known of the endpoints of one service.

    :param variance: variance of the sum of a group's deviations, per
        deviation
    :param unlike: the endpoints differ by more than chance
    """

    typical: dict[int, Typical] = dataclasses.field(default_factory=dict)
    tallies: dict[Key, Tally] = dataclasses.field(default_factory=dict)
    estimates: dict[Key, Estimate] = dataclasses.field(default_factory=dict)
    variance_count: float = PRIOR_DEVIATION_COUNT
    variance: float = PRIOR_DEVIATION**2
    unlike: bool = False

    def record(self, key: Key, observation: Observation, now_s: float) -> None:
        """Add an observation of an endpoint."""
        typical = self.typical.setdefault(observation.size, Typical())
        known = self.estimates.get(key)
        own = math.log(known.slowness) if known else 0.0
        deviation = observation.log_ratio - typical.log_ratio
        rest = _clamp(deviation - own, MAX_DEVIATION)
        typical.count = min(typical.count + 1, MAX_TYPICAL_COUNT)
        typical.log_ratio += rest / typical.count
        if typical.count == 1:
            # There is nothing to compare it with yet.
            return
        tally = self.tallies.setdefault(key, Tally(now_s, now_s))
        self._update_variance(tally, rest, now_s)
        tally.age(now_s)
        tally.observed_s = now_s
        tally.count += 1
        tally.total += _clamp(deviation, MAX_DEVIATION)

    def _update_variance(
        self, tally: Tally, rest: float, now_s: float
    ) -> None:
        count = tally.group_count
        if count and now_s - tally.group_s > GROUP_S:
            self.variance_count = min(
                self.variance_count + count, MAX_VARIANCE_COUNT
            )
            found = tally.group_total**2 / count
            self.variance += (
                (found - self.variance) * count / self.variance_count
            )
            count = 0
        if not count:
            tally.group_s = now_s
            tally.group_total = 0.0
        tally.group_count = count + 1
        tally.group_total += rest

    def start(self, key: Key, estimate: Estimate, now_s: float) -> None:
        """Begin with a known estimate of an endpoint."""
        total = math.log(estimate.slowness) * (estimate.weight + PRIOR_COUNT)
        self.tallies[key] = Tally(now_s, now_s, estimate.weight, total)

    def estimate(self, keys: Iterable[Key], now_s: float) -> None:
        """Compare the endpoints of the service with their median."""
        means = {}
        for key in keys:
            tally = self.tallies.get(key)
            if tally is None:
                means[key] = 0.0
                continue
            tally.age(now_s)
            means[key] = tally.read_mean()
        self.tallies = {k: t for k, t in self.tallies.items() if k in means}
        self.estimates = {}
        if not self.tallies:
            return
        middle = statistics.median(means.values())
        errors = {
            key: math.sqrt(self.variance / (tally.count + PRIOR_COUNT))
            for key, tally in self.tallies.items()
        }
        self._compare_spread([
            (means[key] - middle) / error for key, error in errors.items()
        ])
        min_errors = MIN_ERRORS_IF_UNLIKE if self.unlike else MIN_ERRORS
        for key, error in errors.items():
            deviation = means[key] - middle
            if abs(deviation) >= max(math.log(MIN_RATIO), min_errors * error):
                slowness = min(
                    max(math.exp(deviation), MIN_SLOWNESS), MAX_SLOWNESS
                )
                self.estimates[key] = Estimate(
                    slowness, self.tallies[key].count, error
                )

    def _compare_spread(self, deviations: Sequence[float]) -> None:
        """Find out whether the endpoints differ by more than chance.

        :param deviations: of each endpoint, in standard errors
        """
        count = len(deviations)
        spread = sum(d * d for d in deviations) / count - 1
        limit = MIN_SPREAD_TO_KEEP if self.unlike else MIN_SPREAD
        self.unlike = spread > limit * math.sqrt(2 / count)


class EngineRates:
    """Learn the slowness of the endpoints of all services.

    A gateway that is attached to a delegate takes over the delegate's
    estimates, which rest on the observations of the whole fleet.
    """

    def __init__(self) -> None:
        self._services: dict[str, ServiceRates] = {}
        self._adopted: dict[Key, tuple[Estimate, float]] = {}
        self._attached = False
        self._refreshed_s = -math.inf
        self._speeds: dict[Key, str] = {}
        self.estimates: dict[Key, Estimate] = {}

    def record(
        self, service: str, key: Key, observation: Observation, now_s: float
    ) -> None:
        """Add an observation of this gateway or of a peer."""
        rates = self._services.setdefault(service, ServiceRates())
        rates.record(key, observation, now_s)

    def adopt(self, key: Key, estimate: Estimate, now_s: float) -> None:
        """Take over a delegate's estimate of an endpoint."""
        if estimate.slowness == 1.0:
            self._adopted.pop(key, None)
        else:
            self._adopted[key] = (estimate, now_s)

    def is_due(self, now_s: float) -> bool:
        """Return whether `refresh` should be called."""
        return now_s - self._refreshed_s >= REFRESH_INTERVAL_S

    def refresh(
        self, keys: Mapping[str, Iterable[Key]], attached: bool, now_s: float
    ) -> list[Change]:
        """Renew the estimates; return the endpoints whose speed changed.

        :param keys: the current endpoints of each service
        :param attached: this gateway uses the estimates of a delegate
        """
        self._refreshed_s = now_s
        self._adopted = {
            key: (estimate, heard_s)
            for key, (estimate, heard_s) in self._adopted.items()
            if now_s - heard_s < HALF_LIFE_S
        }
        if self._attached and not attached:
            self._keep_adopted(keys, now_s)
        self._attached = attached
        for service in [s for s in self._services if s not in keys]:
            del self._services[service]
        self.estimates = {}
        for service, rates in self._services.items():
            rates.estimate(keys[service], now_s)
            self.estimates.update(rates.estimates)
        if attached:
            known = {key for group in keys.values() for key in group}
            self.estimates = {
                key: estimate
                for key, (estimate, _) in self._adopted.items()
                if key in known
            }
        return self._list_changes()

    def _keep_adopted(
        self, keys: Mapping[str, Iterable[Key]], now_s: float
    ) -> None:
        """Go on from the estimates of the former delegate."""
        for service, group in keys.items():
            for key in group:
                if key in self._adopted:
                    rates = self._services.setdefault(service, ServiceRates())
                    rates.start(key, self._adopted[key][0], now_s)
        self._adopted.clear()

    def _list_changes(self) -> list[Change]:
        speeds = {
            key: "slow" if estimate.slowness > 1 else "fast"
            for key, estimate in self.estimates.items()
        }
        changes = [
            Change(
                key,
                speeds.get(key, "typical"),
                self.estimates.get(key, TYPICAL_ESTIMATE),
            )
            for key in self._speeds.keys() | speeds.keys()
            if self._speeds.get(key) != speeds.get(key)
        ]
        self._speeds = speeds
        return changes

    def measure_age(self, now_s: float) -> float:
        """Return the seconds since the last observation used, 0 if none."""
        if self._attached:
            times = [heard_s for _, heard_s in self._adopted.values()]
        else:
            times = [
                tally.observed_s
                for rates in self._services.values()
                for tally in rates.tallies.values()
            ]
        return now_s - max(times, default=now_s)

    def measure_error(self) -> float:
        """Return the largest relative error of the estimates in use."""
        return max((e.error for e in self.estimates.values()), default=0.0)


def compare(predicted_ms: float, observed_s: float) -> Observation:
    """Return an observation from a predicted and an observed time."""
    observed_ms = max(observed_s * MS_PER_S, 1.0)
    return Observation(
        int(predicted_ms).bit_length(), math.log(observed_ms / predicted_ms)
    )


def _clamp(value: float, bound: float) -> float:
    return min(max(value, -bound), bound)


__all__ = (
    "Change",
    "EngineRates",
    "Estimate",
    "Observation",
    "TYPICAL_ESTIMATE",
    "compare",
)
