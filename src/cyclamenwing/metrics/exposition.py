"""Prometheus text format of a process's metrics."""

from __future__ import annotations

from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from prometheus_client import exposition
from prometheus_client import registry

from cyclamenwing.metrics import recorder
from cyclamenwing.metrics import types

CONTENT_TYPE = exposition.CONTENT_TYPE_LATEST
PREFIX = "cyclamenwing_"
# Percentiles, exported under a `quantile` label.
QUANTILES = (50.0, 95.0, 99.0, 100.0)
BUCKET_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)


class Collector(registry.Collector):
    """Convert a recorder's state to metric families at each scrape.

    :param source: the process's recorder
    """

    def __init__(self, source: recorder.Recorder) -> None:
        self._source = source

    def collect(self) -> Iterator[core.Metric]:
        """Yield one family a counter or gauge and two a timer."""
        for counter, counts in self._source.counts.items():
            yield _make_counter(counter, counts)
        for timer, series in self._source.timings.items():
            yield _make_histogram(timer, series)
            yield _make_quantiles(timer, series)
        for gauge, read in self._source.gauges.items():
            name = PREFIX + gauge.name
            yield core.GaugeMetricFamily(name, gauge.help_text, value=read())


def render_metrics(source: recorder.Recorder) -> bytes:
    """Return all metrics in the Prometheus text format."""
    scrape_registry = prometheus_client.CollectorRegistry(auto_describe=False)
    scrape_registry.register(Collector(source))
    return exposition.generate_latest(scrape_registry)


def _make_counter(
    counter: types.Counter, counts: dict[recorder.Labels, int]
) -> core.Metric:
    family = core.CounterMetricFamily(
        PREFIX + counter.name, counter.help_text, labels=counter.labels
    )
    for labels, value in sorted(counts.items()):
        family.add_metric(labels, value)
    return family


def _make_histogram(
    timer: types.Timer, series: dict[recorder.Labels, recorder.Distribution]
) -> core.Metric:
    family = core.HistogramMetricFamily(
        f"{PREFIX}{timer.name}_seconds", timer.help_text, labels=timer.labels
    )
    for labels, distribution in sorted(series.items()):
        family.add_metric(
            labels, count_buckets(distribution), distribution.total_s
        )
    return family


def _make_quantiles(
    timer: types.Timer, series: dict[recorder.Labels, recorder.Distribution]
) -> core.Metric:
    family = core.GaugeMetricFamily(
        f"{PREFIX}{timer.name}_quantile_seconds",
        f"{timer.help_text} (quantiles since the start)",
        labels=(*timer.labels, "quantile"),
    )
    for labels, distribution in sorted(series.items()):
        for percent in QUANTILES:
            value = distribution.histogram.get_value_at_percentile(percent)
            family.add_metric(
                (*labels, f"{percent / 100:g}"), value / recorder.US_PER_S
            )
    return family


def count_buckets(
    distribution: recorder.Distribution,
) -> list[tuple[str, float]]:
    """Return cumulative counts by upper bound in seconds.

    The distribution's precision limits that of the counts.
    """
    totals = [0] * len(BUCKET_BOUNDS_S)
    for item in distribution.histogram.get_recorded_iterator():
        value_s = item.value_iterated_to / recorder.US_PER_S
        for index, bound_s in enumerate(BUCKET_BOUNDS_S):
            if value_s <= bound_s:
                totals[index] += item.count_added_in_this_iter_step
    buckets: list[tuple[str, float]] = [
        (f"{bound_s:g}", total)
        for bound_s, total in zip(BUCKET_BOUNDS_S, totals, strict=True)
    ]
    return [*buckets, ("+Inf", distribution.histogram.get_total_count())]


__all__ = (
    "BUCKET_BOUNDS_S",
    "CONTENT_TYPE",
    "Collector",
    "count_buckets",
    "render_metrics",
)
