"""Rate limit of a stand-in's calls."""

from __future__ import annotations


class Rate:
    """Admit calls at a rate, with bursts of one second.

    :param per_s: calls a second, None for no limit
    """

    def __init__(self, per_s: float | None) -> None:
        self._per_s = per_s
        self._tokens = per_s or 0.0
        self._last: float | None = None

    def admit(self, now: float) -> bool:
        """Count a call; False means that it is over the limit."""
        if self._per_s is None:
            return True
        elapsed_s = 0.0 if self._last is None else now - self._last
        self._last = now
        self._tokens = min(self._per_s, self._tokens + elapsed_s * self._per_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


__all__ = ("Rate",)
