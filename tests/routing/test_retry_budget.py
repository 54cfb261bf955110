"""Allowance for repeated requests."""

from __future__ import annotations

from cyclamenwing.routing import retry_budget


def count_taken(
    found: retry_budget.WindowedRetryBudget, entries: int, now_s: float
) -> int:
    taken = 0
    while found.try_acquire("api", entries, now_s):
        taken += 1
    return taken


def test_repeats_follow_requests_and_the_share_of_the_slack() -> None:
    found = retry_budget.WindowedRetryBudget(0.2, 50, 10)
    for _ in range(100):
        found.note_request("api", 0.0)
    assert 20 <= count_taken(found, 4, 0.0) <= 0.2 * 100 + 50 / 4


def test_window_slides() -> None:
    found = retry_budget.WindowedRetryBudget(0.2, 50, 10)
    first = count_taken(found, 1, 0.0)
    assert count_taken(found, 1, 5.0) == 0
    assert count_taken(found, 1, 10.1) == first


def test_all_entries_together_stay_within_the_bound() -> None:
    fleet = [retry_budget.WindowedRetryBudget(0.2, 50, 10) for _ in range(5)]
    assert sum(count_taken(found, 5, 0.0) for found in fleet) <= 50
