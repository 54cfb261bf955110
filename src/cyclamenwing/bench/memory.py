"""Memory that a structure takes."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable


def measure_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that the made object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del made
    finally:
        tracemalloc.stop()
    return float(after - before)


__all__ = ("measure_bytes",)
