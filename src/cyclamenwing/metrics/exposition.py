"""Text form of a process's metrics."""

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
QUANTILES = (50.0, 95.0, 99.0, 100.0)
BOUNDS_S = (
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
    """Convert a recorder's state at each scrape.

    :param source: the process's recorder
    """

    def __init__(self, source: recorder.Recorder) -> None:
        self._source = source

    def collect(self) -> Iterator[core.Metric]:
        """Yield one family a metric."""
        for counter, counts in self._source.counts.items():
            yield _make_counter(counter, counts)
        for timer, series in self._source.timings.items():
            yield _make_buckets(timer, series)
            yield _make_quantiles(timer, series)
        for gauge, read in self._source.gauges.items():
            name = PREFIX + gauge.name
            yield core.GaugeMetricFamily(name, gauge.text, value=read())


def render_metrics(source: recorder.Recorder) -> bytes:
    """Return all metrics in the Prometheus text form."""
    made = prometheus_client.CollectorRegistry(auto_describe=False)
    made.register(Collector(source))
    return exposition.generate_latest(made)


def _make_counter(
    counter: types.Counter, counts: dict[recorder.Labels, int]
) -> core.Metric:
    family = core.CounterMetricFamily(
        PREFIX + counter.name, counter.text, labels=counter.labels
    )
    for labels, value in sorted(counts.items()):
        family.add_metric(labels, value)
    return family


def _make_buckets(
    timer: types.Timer, series: dict[recorder.Labels, recorder.Distribution]
) -> core.Metric:
    family = core.HistogramMetricFamily(
        f"{PREFIX}{timer.name}_seconds", timer.text, labels=timer.labels
    )
    for labels, found in sorted(series.items()):
        family.add_metric(labels, count_buckets(found), found.total_s)
    return family


def _make_quantiles(
    timer: types.Timer, series: dict[recorder.Labels, recorder.Distribution]
) -> core.Metric:
    family = core.GaugeMetricFamily(
        f"{PREFIX}{timer.name}_quantile_seconds",
        f"{timer.text} (quantiles since the start)",
        labels=(*timer.labels, "quantile"),
    )
    for labels, found in sorted(series.items()):
        for percent in QUANTILES:
            value = found.histogram.get_value_at_percentile(percent)
            family.add_metric(
                (*labels, f"{percent / 100:g}"), value / recorder.US_PER_S
            )
    return family


def count_buckets(
    found: recorder.Distribution,
) -> list[tuple[str, float]]:
    """Return cumulative counts by upper bound in seconds."""
    totals = [0] * len(BOUNDS_S)
    for item in found.histogram.get_recorded_iterator():
        value_s = item.value_iterated_to / recorder.US_PER_S
        for place, bound_s in enumerate(BOUNDS_S):
            if value_s <= bound_s:
                totals[place] += item.count_added_in_this_iter_step
    buckets: list[tuple[str, float]] = [
        (f"{bound_s:g}", total)
        for bound_s, total in zip(BOUNDS_S, totals, strict=True)
    ]
    return [*buckets, ("+Inf", found.histogram.get_total_count())]


__all__ = (
    "BOUNDS_S",
    "CONTENT_TYPE",
    "Collector",
    "count_buckets",
    "render_metrics",
)
