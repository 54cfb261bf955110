from __future__ import annotations

from syrupy import assertion

from cyclamenwing.metrics import exposition
from cyclamenwing.metrics import recorder
from cyclamenwing.metrics import types

REFUSALS = types.Counter("refusals", "Refused requests", ("code",))
WAIT = types.Timer("wait", "Time in the queue", ("route",))
LOAD = types.Gauge("load", "Runs in progress")


def test_prometheus_text_format(snapshot: assertion.SnapshotAssertion) -> None:
    metrics_recorder = recorder.Recorder()
    metrics_recorder.count(REFUSALS, "over_budget", amount=2)
    metrics_recorder.count(REFUSALS, 'a"quote\n')
    for duration_s in (0.0, 0.0015, 0.04, 700.0):
        metrics_recorder.observe(WAIT, duration_s, "assistant")
    metrics_recorder.register_gauge(LOAD, lambda: 3)
    assert exposition.render_metrics(metrics_recorder).decode() == snapshot


def test_number_of_label_sets_is_bounded() -> None:
    metrics_recorder = recorder.Recorder()
    for number in range(recorder.MAX_SERIES * 2):
        metrics_recorder.count(REFUSALS, f"code-{number}")
        metrics_recorder.observe(WAIT, 0.01, f"route-{number}")
    assert len(metrics_recorder.counts[REFUSALS]) == recorder.MAX_SERIES + 1
    assert (
        len(metrics_recorder.timings[WAIT]) == recorder.MAX_DISTRIBUTIONS + 1
    )
    assert (
        metrics_recorder.counts[REFUSALS][(recorder.OVERFLOW_LABEL,)]
        == recorder.MAX_SERIES
    )


def test_bucket_counts_match_recorded_durations() -> None:
    distribution = recorder.Distribution()
    for number in range(1, 1001):
        distribution.add(number / 1000)
    counts = dict(exposition.count_buckets(distribution))
    assert counts["+Inf"] == 1000
    # The histogram has two significant digits, so that durations close to a
    # bucket's bound may be counted on either side of it.
    assert abs(counts["0.5"] - 500) <= 5
    assert abs(counts["0.1"] - 100) <= 1
