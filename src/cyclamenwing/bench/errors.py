"""Errors of the benchmarks."""

from __future__ import annotations

from cyclamenwing import errors


class BenchError(errors.CodedError):
    """Report a benchmark that can't run."""

    code = "bench_error"


class MissingLibraryError(BenchError):
    """Report that an optional library is not installed."""

    code = "bench_library_missing"


class MissingDataError(BenchError):
    """Report that a folder holds no saved benchmark data."""

    code = "bench_data_missing"


__all__ = (
    "BenchError",
    "MissingDataError",
    "MissingLibraryError",
)
