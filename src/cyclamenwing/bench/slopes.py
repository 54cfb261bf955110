"""Linear fits of a measured quantity against a size."""

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
    """Describe how a quantity is measured at several sizes.

    `against` names what the size counts; `measure` takes a size and
    returns the quantity in `unit`.
    """

    name: str
    role: str
    against: str
    unit: str
    sizes: Sequence[int]
    measure: Callable[[int], float]


class Slope(TypedDict):
    """Hold the points of a probe and the line that is fitted to them.

    `fit` is the coefficient of determination of the line.
    """

    name: str
    role: str
    against: str
    unit: str
    points: list[list[float]]
    slope: float
    intercept: float
    fit: float


SlopesByName = Mapping[str, Slope]


def run_probe(probe: Probe) -> Slope:
    """Measure a probe at all its sizes and fit a line to the points."""
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
    """Return the coefficient of determination of a linear fit.

    1.0 if all values are equal, for which it is not defined.
    """
    if len(set(values)) == 1:
        return 1.0
    return statistics.correlation(sizes, values) ** 2


def extrapolate(slope: Slope, size: float) -> float:
    """Return the value of the fitted line at a size."""
    return slope["intercept"] + slope["slope"] * size


__all__ = (
    "Origin",
    "Probe",
    "Slope",
    "SlopesByName",
    "extrapolate",
    "measure_fit",
    "run_probe",
)
