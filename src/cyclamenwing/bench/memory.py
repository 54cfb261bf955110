"""Memory that an object allocates."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable


def measure_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that stay allocated for the object that is built."""
    gc.collect()
    tracemalloc.start()
    try:
        bytes_before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        bytes_after = tracemalloc.get_traced_memory()[0]
        del built
    finally:
        tracemalloc.stop()
    return float(bytes_after - bytes_before)


__all__ = ("measure_bytes",)
