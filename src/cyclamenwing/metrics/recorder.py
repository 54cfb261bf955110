"""Recording of one process's counters, durations and gauges."""

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
# Replaces each label of series above the limits.
OVERFLOW_LABEL = "other"

Labels = tuple[str, ...]


class Distribution:
    """Hold the durations of one series in microseconds."""

    def __init__(self) -> None:
        self.histogram = histogram.HdrHistogram(
            1, MAX_DURATION_US, SIGNIFICANT_DIGITS
        )
        self.total_s = 0.0

    def add(self, duration_s: float) -> None:
        """Record one duration; the histogram clamps it to its range."""
        duration_us = round(duration_s * US_PER_S)
        self.histogram.record_value(min(max(duration_us, 1), MAX_DURATION_US))
        self.total_s += duration_s


class Recorder:
    """Record events and durations in bounded memory.

    A counter with `MAX_SERIES` sets of labels, or a timer with
    `MAX_DISTRIBUTIONS`, counts further sets under `OVERFLOW_LABEL`, so
    that new labels can't increase the memory without limit.
    """

    def __init__(self) -> None:
        self.counts: dict[types.Counter, collections.Counter[Labels]] = {}
        self.timings: dict[types.Timer, dict[Labels, Distribution]] = {}
        self.gauges: dict[types.Gauge, Callable[[], float]] = {}

    def count(
        self, counter: types.Counter, *labels: str, amount: int = 1
    ) -> None:
        """Add to a counter.

        :param labels: values in the order of the counter's label names
        """
        series = self.counts.setdefault(counter, collections.Counter())
        series[_limit_labels(series, labels, MAX_SERIES)] += amount

    def observe(
        self, timer: types.Timer, duration_s: float, *labels: str
    ) -> None:
        """Record a duration.

        :param labels: values in the order of the timer's label names
        """
        series = self.timings.setdefault(timer, {})
        series_labels = _limit_labels(series, labels, MAX_DISTRIBUTIONS)
        distribution = series.get(series_labels)
        if distribution is None:
            distribution = series[series_labels] = Distribution()
        distribution.add(duration_s)

    def register_gauge(
        self, gauge: types.Gauge, read: Callable[[], float]
    ) -> None:
        """Register a gauge, which `read` returns at each scrape."""
        self.gauges[gauge] = read


def _limit_labels(
    series: collections.Counter[Labels] | dict[Labels, Distribution],
    labels: Labels,
    max_series: int,
) -> Labels:
    if labels in series or len(series) < max_series:
        return labels
    return (OVERFLOW_LABEL,) * len(labels)


__all__ = (
    "MAX_DISTRIBUTIONS",
    "MAX_SERIES",
    "OVERFLOW_LABEL",
    "US_PER_S",
    "Distribution",
    "Recorder",
)
