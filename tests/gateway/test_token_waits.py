"""Load pattern: requests wait for tokens in a cut between gateways and store.

Usage bounds let only some requests through until their late phase. A client
leaves a stream that shows no event for some time, long before its deadline:
tokens that come just before that are spent on a prompt that nobody reads.
"""

from __future__ import annotations

import pytest

from cyclamenwing.gateway import token_waits

GOAL_S = 1.0
# Such a client leaves after this time without an event.
PATIENCE_S = 4.0
BASE_S = GOAL_S * token_waits.WAIT_GOAL_FRACTION


@pytest.mark.parametrize(
    ("growth_s", "wait_s"),
    [
        # Nothing is known of the usage bound: peers are asked for a while.
        (None, BASE_S),
        # It allows the request soon enough for the prompt to be read.
        (0.0, BASE_S),
        (1.2, 1.2 + BASE_S),
        (2.5, 2.6),
        # It allows the request too late: the client is told at once.
        (2.7, BASE_S),
        (4.9, BASE_S),
    ],
)
def test_request_waits_only_if_its_answer_can_begin_in_time(
    growth_s: float | None, wait_s: float
) -> None:
    assert token_waits.plan_wait(
        GOAL_S, PATIENCE_S, 0.0, growth_s, store_reachable=False
    ) == pytest.approx(wait_s)


@pytest.mark.parametrize("remaining_s", [0.05, 0.4, 2.0, 60.0])
@pytest.mark.parametrize("growth_s", [None, 0.1, 1.0, 5.0])
@pytest.mark.parametrize("startup_s", [-1.0, 0.5, 2.0])
@pytest.mark.parametrize("store_reachable", [False, True])
def test_no_request_waits_beyond_its_share_of_the_time(
    remaining_s: float,
    growth_s: float | None,
    startup_s: float,
    store_reachable: bool,
) -> None:
    wait_s = token_waits.plan_wait(
        GOAL_S, remaining_s, startup_s, growth_s, store_reachable
    )
    assert wait_s <= max(
        remaining_s * token_waits.GROWTH_WAIT_FRACTION,
        token_waits.MIN_WAIT_S,
    )


def test_request_waits_for_a_slow_store_to_renew_the_usage_bound() -> None:
    wait_s = token_waits.plan_wait(
        GOAL_S, PATIENCE_S, 0.0, 4.9, store_reachable=True
    )
    assert wait_s == pytest.approx(
        PATIENCE_S * token_waits.GROWTH_WAIT_FRACTION
    )


def test_start_of_the_process_lengthens_the_wait() -> None:
    wait_s = token_waits.plan_wait(
        GOAL_S, 60.0, 1.5, None, store_reachable=True
    )
    assert wait_s == pytest.approx(1.5)
