"""Retries bounded by a ratio of requests, with full jitter."""

from __future__ import annotations

from cyclamenwing.routing import errors
from cyclamenwing.routing import types

MAX_ATTEMPTS = 4
RETRY_RATIO = 0.1
# Retries that may be saved up, and those a quiet entry starts with.
MAX_BALANCE = 50.0
INITIAL_BALANCE = 10.0
BACKOFF_BASE_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """Let retries be a bounded ratio of first attempts."""

    def __init__(self) -> None:
        self._balance = INITIAL_BALANCE

    def note_request(self) -> None:
        """Count a first attempt, which earns a share of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + RETRY_RATIO)

    def plan(
        self, job: types.Job, attempt: int, draw: float, now: float
    ) -> float:
        """Return the seconds to wait before attempt number 2 and up.

        `draw` is random in [0, 1). Raise `RetriesExhaustedError` when
        attempts, the budget or the deadline leave no room.
        """
        if attempt > MAX_ATTEMPTS:
            raise errors.RetriesExhaustedError(f"{MAX_ATTEMPTS} attempts")
        if self._balance < 1.0:
            raise errors.RetriesExhaustedError("retry budget is used up")
        bound_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0 ** (attempt - 2))
        delay_s = draw * bound_s
        if now + delay_s >= job.deadline:
            raise errors.RetriesExhaustedError("deadline is too near")
        self._balance -= 1.0
        return delay_s


__all__ = (
    "MAX_ATTEMPTS",
    "RetryBudget",
)
