"""Estimates extrapolate fitted lines and mark values above the target.

A wrong fit, or a mark in the wrong column, would hide a role that doesn't
hold the expected fleet size.
"""

from __future__ import annotations

import pytest

from cyclamenwing.bench import scale
from cyclamenwing.bench import slopes


def make_linear_probe(name: str, factor: float) -> slopes.Probe:
    return slopes.Probe(
        name,
        "entry",
        "things",
        "B",
        (1, 2, 10),
        lambda size: factor * size + 7,
    )


def test_fit_of_linear_points_is_exact() -> None:
    slope = slopes.run_probe(make_linear_probe("p", 3.0))
    assert slope["slope"] == pytest.approx(3.0)
    assert slope["intercept"] == pytest.approx(7.0)
    assert slope["fit"] == pytest.approx(1.0)
    assert slopes.extrapolate(slope, 1_000) == pytest.approx(3_007.0)


@pytest.mark.parametrize(
    ("bytes_each", "within"), [(100.0, "yes"), (2_000.0, "NO")]
)
def test_estimate_above_its_target_is_marked(
    bytes_each: float, within: str
) -> None:
    names = [
        "memory of a revision and its index",
        "memory of the member view",
        "memory of a holder's accounts",
        "memory of ended runs, 2 kB prompt and 200 tokens",
        "memory of tombstones of runs",
        "processor time to hear heartbeats",
        "processor time to meter tokens",
        "processor time to frame and assemble tokens",
        "shard value, four grants a budget",
        "size of a claim shard, 200 B answers",
    ]
    fitted = [
        slopes.run_probe(make_linear_probe(name, bytes_each)) for name in names
    ]
    table = scale.estimate_all(fitted)
    row = next(r for r in table["rows"] if r[1].startswith("configuration"))
    assert row[table["columns"].index("within")] == within
