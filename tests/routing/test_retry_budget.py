"""Retry budget of the gateways, which must hold for all of them together.

Each gateway counts only its own requests and retries; without a share of the
slack, the gateways together would exceed it.
"""

from __future__ import annotations

from cyclamenwing.routing import retry_budget


def count_acquired(
    budget: retry_budget.WindowedRetryBudget, gateways: int, now_s: float
) -> int:
    acquired = 0
    while budget.try_acquire("api", gateways, now_s):
        acquired += 1
    return acquired


def test_retries_follow_requests_and_the_share_of_slack() -> None:
    budget = retry_budget.WindowedRetryBudget(0.2, 50, 10)
    for _ in range(100):
        budget.record_request("api", 0.0)
    assert 20 <= count_acquired(budget, 4, 0.0) <= 0.2 * 100 + 50 / 4


def test_retries_are_allowed_again_after_the_window() -> None:
    budget = retry_budget.WindowedRetryBudget(0.2, 50, 10)
    first = count_acquired(budget, 1, 0.0)
    assert count_acquired(budget, 1, 5.0) == 0
    assert count_acquired(budget, 1, 10.1) == first


def test_all_gateways_together_stay_within_the_bound() -> None:
    budgets = [retry_budget.WindowedRetryBudget(0.2, 50, 10) for _ in range(5)]
    assert sum(count_acquired(budget, 5, 0.0) for budget in budgets) <= 50
