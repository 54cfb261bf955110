"""Errors of measurements."""

from __future__ import annotations

from cyclamenwing import errors


class BenchError(errors.CodedError):
    """Report a measurement that can't be made."""

    code = "bench_error"


class MissingLibraryError(BenchError):
    """Report that a library of the measurements is not installed."""

    code = "bench_library_missing"


class MissingDataError(BenchError):
    """Report that the kept data of a measurement is absent."""

    code = "bench_data_missing"


__all__ = (
    "BenchError",
    "MissingDataError",
    "MissingLibraryError",
)
