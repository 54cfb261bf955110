"""Processor time of a piece of work."""

from __future__ import annotations

import time
from collections.abc import Callable

REPEATS = 5


def measure_cpu_us(
    work: Callable[[], object], repeats: int = REPEATS
) -> float:
    """Return the least processor time of a work in microseconds."""
    best = float("inf")
    for _ in range(repeats):
        start = time.process_time_ns()
        work()
        best = min(best, time.process_time_ns() - start)
    return best / 1_000


__all__ = ("measure_cpu_us",)
