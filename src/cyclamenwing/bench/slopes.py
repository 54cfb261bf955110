"""Slopes: points of a measure against a size, fitted by a line."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

Origin = Literal["measured", "extrapolated", "assumed"]


class Probe(NamedTuple):
    """Describe a measure against one size.

    `measure` takes the size and returns the measure in `unit`.
    """

    name: str
    role: str
    against: str
    unit: str
    sizes: Sequence[int]
    measure: Callable[[int], float]


class Slope(TypedDict):
    """Hold a probe's points and the line through them."""

    name: str
    role: str
    against: str
    unit: str
    points: list[list[float]]
    slope: float
    intercept: float
    fit: float


Lines = Mapping[str, Slope]


def run_probe(probe: Probe) -> Slope:
    """Measure all points of a probe and fit a line."""
    points = [[float(size), probe.measure(size)] for size in probe.sizes]
    sizes = [point[0] for point in points]
    values = [point[1] for point in points]
    line = statistics.linear_regression(sizes, values)
    return {
        "name": probe.name,
        "role": probe.role,
        "against": probe.against,
        "unit": probe.unit,
        "points": points,
        "slope": line.slope,
        "intercept": line.intercept,
        "fit": measure_fit(sizes, values),
    }


def measure_fit(sizes: list[float], values: list[float]) -> float:
    """Return the share of the variance that a line explains."""
    if len(set(values)) == 1:
        return 1.0
    return statistics.correlation(sizes, values) ** 2


def extrapolate(slope: Slope, size: float) -> float:
    """Return the line's value at a size."""
    return slope["intercept"] + slope["slope"] * size


__all__ = (
    "Lines",
    "Origin",
    "Probe",
    "Slope",
    "extrapolate",
    "measure_fit",
    "run_probe",
)
