"""The clock by which a gateway measures ages and deadlines."""

from __future__ import annotations

import time


def read_time() -> float:
    """Return seconds that also count while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ("read_time",)
