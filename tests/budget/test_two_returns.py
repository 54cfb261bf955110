"""Load pattern: the store returns twice within seconds, and a process dies.

A process dies after the first return, before or after it has restored what it
had drawn, and its successor joins an era that ends again at once. Its draws
are known to another process, unless it was the only one.
"""

from __future__ import annotations

from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st
from tests.budget import test_restoration

from cyclamenwing.budget import escrow
from cyclamenwing.budget import restoration

EXAMPLES = 300
STEPS = 60
# Steps between the returns, of 0.35 s each on average: 3 s in all.
MOST_BETWEEN = 8
# One of these must show a planted fault.
PLANTED_SEEDS = 2000


def run_steps(fleet: test_restoration.Fleet, steps: int) -> None:
    for _ in range(steps):
        fleet.step()


def walk(seed: int) -> test_restoration.Fleet:
    """Spend, return, die, return, and spend what is left.

    The second copy may be a later one of the first era, with higher revisions
    than any state since.
    """
    fleet = test_restoration.Fleet(seed)
    rng = fleet.rng
    for _ in range(rng.randrange(1, 4)):
        run_steps(fleet, rng.randrange(STEPS))
        fleet.do_copy(fleet.gateways[0])
    run_steps(fleet, rng.randrange(STEPS // 4))
    fleet.copies.sort(key=lambda copied: copied.revision, reverse=True)
    for _ in range(rng.randrange(1, 3)):
        fleet.do_restore(fleet.gateways[0])
        run_steps(fleet, rng.randrange(MOST_BETWEEN))
        fleet.do_kill(rng.choice(fleet.gateways))
        run_steps(fleet, rng.randrange(MOST_BETWEEN))
    fleet.do_restore(fleet.gateways[0])
    run_steps(fleet, 2 * STEPS)
    return fleet


@hypothesis.settings(test_restoration.WALKS, max_examples=EXAMPLES)
@hypothesis.given(st.integers(0, 2**32))
def test_two_returns_with_a_death_between_overspend_nothing(
    seed: int,
) -> None:
    fleet = walk(seed)
    assert fleet.returns >= 2
    assert fleet.consumed <= test_restoration.PREPAID


def find_overspending(most: int) -> int:
    """Return the first seed that overspends, or `most`."""
    for seed in range(most):
        try:
            walk(seed)
        except AssertionError:
            return seed
    return most


def test_planted_comparison_of_revisions_without_era_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        restoration.PoolState,
        "position",
        property(lambda state: (0, state.revision)),
    )
    assert find_overspending(PLANTED_SEEDS) < PLANTED_SEEDS


def test_planted_restoration_of_the_copy_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    restore_pool = restoration.restore_pool

    def take_copy(*args: Any) -> restoration.Restored:
        era, own, stored, _, gossiped = args
        return restore_pool(
            era, own, stored, restoration.PoolState(), gossiped
        )

    monkeypatch.setattr(restoration, "restore_pool", take_copy)
    assert find_overspending(PLANTED_SEEDS) < PLANTED_SEEDS


def test_planted_release_of_all_that_a_dead_process_held_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def release_all(
        holders: dict[str, int], holder: str, _: int
    ) -> dict[str, int]:
        return {name: n for name, n in holders.items() if name != holder}

    monkeypatch.setattr(escrow, "release_holder", release_all)
    assert find_overspending(PLANTED_SEEDS) < PLANTED_SEEDS
