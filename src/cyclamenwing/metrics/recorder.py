"""Counts and distributions of one process."""

from __future__ import annotations

import collections
from collections.abc import Callable

from hdrh import histogram

from cyclamenwing.metrics import types

MAX_SERIES = 500
MAX_DISTRIBUTIONS = 64
MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
OTHER = "other"

Labels = tuple[str, ...]


class Distribution:
    """Hold the durations of one series in microseconds."""

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(
            1, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )
        self.total_s = 0.0

    def add(self, duration_s: float) -> None:
        """Record one duration; one out of range counts as the bound."""
        duration_us = round(duration_s * US_PER_S)
        self.histogram.record_value(min(max(duration_us, 1), MAX_DURATION_US))
        self.total_s += duration_s


class Recorder:
    """Count events and durations in bounded memory.

    A counter with `MAX_SERIES` sets of labels, or a timer with
    `MAX_DISTRIBUTIONS`, counts further ones under `OTHER`, so that labels
    never grow the memory without bound.
    """

    def __init__(self) -> None:
        self.counts: dict[types.Counter, collections.Counter[Labels]] = {}
        self.timings: dict[types.Timer, dict[Labels, Distribution]] = {}
        self.gauges: dict[types.Gauge, Callable[[], float]] = {}

    def count(
        self, counter: types.Counter, *labels: str, amount: int = 1
    ) -> None:
        """Add to a counter; `labels` follow the counter's names."""
        series = self.counts.setdefault(counter, collections.Counter())
        series[_bound_labels(series, labels, MAX_SERIES)] += amount

    def observe(
        self, timer: types.Timer, duration_s: float, *labels: str
    ) -> None:
        """Record a duration; `labels` follow the timer's names."""
        series = self.timings.setdefault(timer, {})
        bounded = _bound_labels(series, labels, MAX_DISTRIBUTIONS)
        found = series.get(bounded)
        if found is None:
            found = series[bounded] = Distribution()
        found.add(duration_s)

    def register_gauge(
        self, gauge: types.Gauge, read: Callable[[], float]
    ) -> None:
        """Read a value at each scrape."""
        self.gauges[gauge] = read


def _bound_labels(
    series: collections.Counter[Labels] | dict[Labels, Distribution],
    labels: Labels,
    most: int,
) -> Labels:
    if labels in series or len(series) < most:
        return labels
    return (OTHER,) * len(labels)


__all__ = (
    "MAX_DISTRIBUTIONS",
    "MAX_SERIES",
    "OTHER",
    "US_PER_S",
    "Distribution",
    "Recorder",
)
