"""Processor time of a function."""

from __future__ import annotations

import time
from collections.abc import Callable

REPEATS = 5


def measure_cpu_us(
    function: Callable[[], object], repeats: int = REPEATS
) -> float:
    """Return the least processor time of several calls in microseconds."""
    least_ns = float("inf")
    for _ in range(repeats):
        start = time.process_time_ns()
        function()
        least_ns = min(least_ns, time.process_time_ns() - start)
    return least_ns / 1_000


__all__ = ("measure_cpu_us",)
