"""The last free tokens of a budget.

Guards against tokens that stay in the pool near the end of a budget, where no
holder draws them as its fair share is small, and are out of reach in an outage
of the store.
"""

from __future__ import annotations

import pytest

from cyclamenwing.budget import draws
from cyclamenwing.budget import escrow

LAST_TOKENS = int(2 * draws.MIN_CHANGE_TOKENS / draws.MAX_DRAW_SHARE)


def open_account(held: int, rate: float) -> escrow.WorkspaceAccount:
    account = escrow.WorkspaceAccount(drawn=held, rate=rate)
    account.usage_bounds = [account.plan_usage_bound(0, 0.0)]
    return account


@pytest.mark.parametrize("free", [100, 5_000, LAST_TOKENS])
def test_holder_with_demand_draws_the_last_tokens(free: int) -> None:
    account = open_account(20_000, 5_000.0)
    assert account.plan_change(free, 2, 0.0) == free


@pytest.mark.parametrize(
    ("held", "rate", "free"),
    [
        # The holdings last: the rest stays where all gateways can draw it.
        (100_000, 5_000.0, LAST_TOKENS),
        (20_000, 0.0, LAST_TOKENS),
        # Nothing is left, or less than nothing after a return of the store.
        (20_000, 5_000.0, 0),
        (20_000, 5_000.0, -50),
    ],
)
def test_last_tokens_stay_without_demand(
    held: int, rate: float, free: int
) -> None:
    assert open_account(held, rate).plan_change(free, 2, 0.0) <= 0


def test_more_than_the_last_tokens_are_drawn_by_fair_shares() -> None:
    account = open_account(20_000, 5_000.0)
    drawn = account.plan_change(LAST_TOKENS + 1, 2, 0.0)
    assert drawn <= LAST_TOKENS * draws.MAX_DRAW_SHARE / 2


def test_gateway_that_keeps_no_tokens_leaves_the_last_ones() -> None:
    account = open_account(0, 5_000.0)
    assert account.plan_change(LAST_TOKENS, 2, 0.0, keeps=False) == 0
