"""Clock for ages and deadlines in a gateway."""

from __future__ import annotations

import time


def read_time() -> float:
    """Return the boot clock in seconds; it also runs while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


__all__ = ("read_time",)
