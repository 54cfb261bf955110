"""Rate limit for the calls of a stand-in."""

from __future__ import annotations


class RateLimit:
    """Token bucket that admits bursts of one second's calls.

    :param calls_per_s: calls per second; None for no limit
    """

    def __init__(self, calls_per_s: float | None) -> None:
        self._calls_per_s = calls_per_s
        self._tokens = calls_per_s or 0.0
        self._last: float | None = None

    def admit(self, now: float) -> bool:
        """Return whether a call is within the limit, and count it if so."""
        if self._calls_per_s is None:
            return True
        elapsed_s = 0.0 if self._last is None else now - self._last
        self._last = now
        self._tokens = min(
            self._calls_per_s, self._tokens + elapsed_s * self._calls_per_s
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


__all__ = ("RateLimit",)
