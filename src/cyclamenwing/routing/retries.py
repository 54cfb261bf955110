"""Retry budget of an entry and exponential backoff with full jitter."""

from __future__ import annotations

from cyclamenwing.routing import errors
from cyclamenwing.routing import types

MAX_ATTEMPTS = 4
RETRY_RATIO = 0.1
# Unused retries that may accumulate, and those available at the start.
MAX_BALANCE = 50.0
INITIAL_BALANCE = 10.0
BACKOFF_BASE_S = 0.05
MAX_BACKOFF_S = 2.0


class RetryBudget:
    """Limit retries to a ratio of first attempts, as a token bucket."""

    def __init__(self) -> None:
        self._balance = INITIAL_BALANCE

    def record_request(self) -> None:
        """Count a first attempt, which adds `RETRY_RATIO` of a retry."""
        self._balance = min(MAX_BALANCE, self._balance + RETRY_RATIO)

    def plan(
        self, job: types.Job, attempt: int, draw: float, now: float
    ) -> float:
        """Charge a retry to the budget; return its backoff in seconds.

        :param attempt: number of the attempt, 2 for the first retry
        :param draw: random number in [0, 1) for the jitter
        :raises RetriesExhaustedError: if there were too many attempts, the
            budget is used up or the backoff ends after the deadline
        """
        if attempt > MAX_ATTEMPTS:
            raise errors.RetriesExhaustedError(
                f"{MAX_ATTEMPTS} attempts failed"
            )
        if self._balance < 1.0:
            raise errors.RetriesExhaustedError("retry budget is used up")
        bound_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2.0 ** (attempt - 2))
        delay_s = draw * bound_s
        if now + delay_s >= job.deadline:
            raise errors.RetriesExhaustedError(
                "deadline would pass before the retry"
            )
        self._balance -= 1.0
        return delay_s


__all__ = (
    "MAX_ATTEMPTS",
    "RetryBudget",
)
