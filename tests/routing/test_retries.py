"""Retry budget and backoff of an entry.

Unbounded retries multiply the load of a fleet that already fails requests.
"""

from __future__ import annotations

import pytest
from tests.routing import samples

from cyclamenwing.routing import errors
from cyclamenwing.routing import retries

JOB = samples.make_job("r", deadline=10.0)


def test_retries_are_limited_to_a_ratio_of_requests() -> None:
    budget = retries.RetryBudget()
    retries_sent = 0
    for _ in range(1_000):
        budget.record_request()
        try:
            budget.plan(JOB, 2, 0.0, 0.0)
        except errors.RetriesExhaustedError:
            continue
        retries_sent += 1
    bound = retries.INITIAL_BALANCE + 1_000 * retries.RETRY_RATIO
    assert bound - 1 <= retries_sent <= bound


@pytest.mark.parametrize(
    ("attempt", "draw", "now", "delay_s"),
    [
        (2, 0.5, 0.0, 0.025),
        (4, 1.0, 0.0, 0.2),
        (5, 0.0, 0.0, None),
        (4, 1.0, 9.9, None),
    ],
)
def test_backoff_and_its_limits(
    attempt: int, draw: float, now: float, delay_s: float | None
) -> None:
    budget = retries.RetryBudget()
    if delay_s is None:
        with pytest.raises(errors.RetriesExhaustedError):
            budget.plan(JOB, attempt, draw, now)
        return
    assert budget.plan(JOB, attempt, draw, now) == pytest.approx(delay_s)
