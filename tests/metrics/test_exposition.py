from __future__ import annotations

from syrupy import assertion

from cyclamenwing.metrics import exposition
from cyclamenwing.metrics import recorder
from cyclamenwing.metrics import types

REFUSALS = types.Counter("refusals", "Refused requests", ("code",))
WAIT = types.Timer("wait", "Time in the queue", ("route",))
LOAD = types.Gauge("load", "Runs in progress")


def test_text_form(snapshot: assertion.SnapshotAssertion) -> None:
    made = recorder.Recorder()
    made.count(REFUSALS, "over_budget", amount=2)
    made.count(REFUSALS, 'a"quote\n')
    for duration_s in (0.0, 0.0015, 0.04, 700.0):
        made.observe(WAIT, duration_s, "assistant")
    made.register_gauge(LOAD, lambda: 3)
    assert exposition.render_metrics(made).decode() == snapshot


def test_labels_stay_bounded() -> None:
    made = recorder.Recorder()
    for number in range(recorder.MAX_SERIES * 2):
        made.count(REFUSALS, f"code-{number}")
        made.observe(WAIT, 0.01, f"route-{number}")
    assert len(made.counts[REFUSALS]) == recorder.MAX_SERIES + 1
    assert len(made.timings[WAIT]) == recorder.MAX_DISTRIBUTIONS + 1
    assert (
        made.counts[REFUSALS][(recorder.OVERFLOW_LABEL,)]
        == recorder.MAX_SERIES
    )


def test_buckets_agree_with_the_count() -> None:
    found = recorder.Distribution()
    for number in range(1, 1001):
        found.add(number / 1000)
    counts = dict(exposition.count_buckets(found))
    assert counts["+Inf"] == 1000
    # Two digits of precision put a bound's neighbours on either side.
    assert abs(counts["0.5"] - 500) <= 5
    assert abs(counts["0.1"] - 100) <= 1
