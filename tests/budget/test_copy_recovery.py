"""Load pattern: all gateways are lost while the store returns older.

Nobody is left that knows what was drawn since the copy was taken. Its free
tokens go on being used if the copy is young enough, and nothing may be used
twice. Before, all of them counted as used for good, and nothing was served.
"""

from __future__ import annotations

from typing import Any

import hypothesis
import pytest
from hypothesis import strategies as st
from tests.budget import test_restoration

from cyclamenwing.budget import draw_ages
from cyclamenwing.budget import escrow
from cyclamenwing.budget import restoration

EXAMPLES = 300
STEPS = 60
PLANTED_SEEDS = 1500
WORKSPACE = test_restoration.WORKSPACE


def lose_all(fleet: test_restoration.Fleet) -> None:
    """End all processes while the store returns to a copy taken lately.

    What was sent before never arrives, as the store was away.
    """
    age_s = draw_ages.MAX_COPY_AGE_S
    young = [c for c in fleet.copies if fleet.now_s - c.taken_s <= age_s]
    if not young:
        return
    fleet.copies = young[-3:]
    hosts = [gateway.host for gateway in fleet.gateways]
    fleet.gateways.clear()
    fleet.do_restore(None)  # type: ignore[arg-type]
    fleet.now_s += fleet.rng.random()
    for host in hosts:
        fleet.gateways.append(fleet.start(host))
    for gateway in fleet.gateways:
        gateway.expired = True


def run_steps(fleet: test_restoration.Fleet, steps: int) -> None:
    """Play, with copies of the store that are some seconds old at most."""
    for _ in range(steps):
        if fleet.rng.random() < 0.3:
            fleet.do_copy(fleet.gateways[0])
        fleet.step()


def spend_most(fleet: test_restoration.Fleet, steps: int) -> None:
    """Use what is held, so that what is drawn later is used too."""
    for _ in range(steps):
        gateway = fleet.rng.choice(fleet.gateways)
        fleet.do_tick(gateway)
        fleet.do_spend(gateway)
        fleet.now_s += 0.1
        assert fleet.consumed <= test_restoration.PREPAID


def draw_and_spend(fleet: test_restoration.Fleet, steps: int) -> None:
    for _ in range(steps):
        gateway = fleet.rng.choice(fleet.gateways)
        fleet.do_tick(gateway)
        fleet.do_draw(gateway)
        fleet.do_spend(gateway)
        fleet.do_spend(gateway)
        fleet.now_s += fleet.rng.random() * 0.6
        assert fleet.consumed <= test_restoration.PREPAID


def walk(seed: int) -> test_restoration.Fleet:
    fleet = test_restoration.Fleet(seed, ages_draws=True)
    # Single returns go to copies of any age, which are not looked at here.
    fleet.rng.choices = choose_action(fleet)  # type: ignore[method-assign]
    run_steps(fleet, fleet.rng.randrange(10, STEPS))
    for _ in range(fleet.rng.randrange(1, 3)):
        spend_most(fleet, fleet.rng.randrange(20))
        if fleet.rng.random() < 0.5:
            fleet.do_kill(fleet.rng.choice(fleet.gateways))
        fleet.do_copy(fleet.gateways[0])
        draw_and_spend(fleet, fleet.rng.randrange(8))
        if fleet.rng.random() < 0.3:
            fleet.do_kill(fleet.rng.choice(fleet.gateways))
            draw_and_spend(fleet, fleet.rng.randrange(4))
        lose_all(fleet)
        run_steps(fleet, fleet.rng.randrange(STEPS // 2))
    draw_and_spend(fleet, STEPS)
    return fleet


def choose_action(fleet: test_restoration.Fleet) -> Any:
    choices = fleet.rng.choices

    def choose(population: list[str], weights: list[float]) -> list[str]:
        while (found := choices(population, weights)) == ["restore"]:
            pass
        return found

    return choose


@hypothesis.settings(test_restoration.WALKS, max_examples=EXAMPLES)
@hypothesis.given(st.integers(0, 2**32))
def test_loss_of_all_with_a_return_overspends_nothing(seed: int) -> None:
    walk(seed)


def test_free_tokens_of_a_young_copy_are_used() -> None:
    """Guards against budgets that are used up after such a loss."""
    reopened = [fleet for s in range(100) if (fleet := walk(s)).reopened]
    assert len(reopened) > 30


def is_overspent(seed: int) -> bool:
    try:
        walk(seed)
    except AssertionError:
        return True
    return False


def use_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(restoration.EraEscrow, "_observe", lambda *_: None)


def credit_all(monkeypatch: pytest.MonkeyPatch) -> None:
    """Credit what a predecessor had drawn a moment before its death."""
    list_certain = restoration.EraEscrow.list_certain
    monkeypatch.setattr(
        restoration.EraEscrow,
        "list_certain",
        lambda own, _: {n: own.get_drawn(n) for n in list_certain(own, {})},
    )


def forget_states_early(monkeypatch: pytest.MonkeyPatch) -> None:
    confirm = draw_ages.DrawHistory.confirm

    def confirm_early(
        self: draw_ages.DrawHistory, began_s: float, answered_s: float
    ) -> None:
        confirm(self, began_s + draw_ages.MAX_COPY_AGE_S + 1, answered_s)

    monkeypatch.setattr(draw_ages.DrawHistory, "confirm", confirm_early)


def release_all(monkeypatch: pytest.MonkeyPatch) -> None:
    take_over = escrow.take_over
    monkeypatch.setattr(
        escrow, "take_over", lambda h, n, _, s: take_over(h, n, 0, s)
    )


@pytest.mark.parametrize(
    "plant", [use_at_once, credit_all, forget_states_early, release_all]
)
def test_planted_fault_is_found(
    plant: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    assert any(is_overspent(seed) for seed in range(PLANTED_SEEDS))


def test_draw_is_usable_once_no_copy_lacks_it() -> None:
    own = restoration.EraEscrow("a")
    own.ages_draws = True
    own.join_era(
        1,
        {WORKSPACE: test_restoration.make_state(1, 5, b=10)},
        {WORKSPACE},
        False,
    )
    account = own.open_account(WORKSPACE)
    now_s = 100.0
    for revision in range(6, 20):
        change = 1000 if revision == 6 else 0
        written, bounds = own.begin_commit(
            {WORKSPACE: change} if change else {}, now_s
        )
        own.finish_commit(revision, written, bounds)
        own.confirm_draws(now_s, now_s + 0.1)
        age_s = now_s - 100.1
        assert (account.lowest_drawn is None) == (
            age_s > draw_ages.MAX_COPY_AGE_S
        )
        assert (account.measure_room(now_s) > 0) == (
            age_s > draw_ages.MAX_COPY_AGE_S
        )
        now_s += 1.0


def test_first_draws_from_a_new_pool_are_usable_at_once() -> None:
    own = restoration.EraEscrow("a")
    own.ages_draws = True
    own.join_era(1, {}, {WORKSPACE}, False)
    account = own.open_account(WORKSPACE)
    written, bounds = own.begin_commit({WORKSPACE: 1000}, 5.0)
    assert draw_ages.FRESH in written[WORKSPACE]
    own.finish_commit(6, written, bounds)
    assert account.lowest_drawn is None
    # The mark goes with the first commit some time later.
    assert own.list_unmarked(6.0) == []
    assert own.list_unmarked(6.0 + draw_ages.FRESH_S) == [WORKSPACE]
    written, bounds = own.begin_commit(
        {WORKSPACE: 100}, 6.0 + draw_ages.FRESH_S
    )
    assert draw_ages.FRESH not in written[WORKSPACE]
    own.finish_commit(7, written, bounds)
    assert account.lowest_drawn == 1000
