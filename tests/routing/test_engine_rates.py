"""Load pattern: endpoints of one service differ in speed.

A gateway that takes all endpoints for equally fast loads the slow ones as
much as the fast ones. One that learns differences where there are none gives
up the even load and the cached parts of endpoints that are alike.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

import pytest

from cyclamenwing.routing import endpoints
from cyclamenwing.routing import engine_rates
from cyclamenwing.routing import placement

CACHE_TOKENS = 200_000
KEYS = [(f"e{n}", 1, f"10.0.0.{n}:80") for n in range(24)]


def learn(
    speeds: Sequence[float],
    seed: int,
    seconds: float = 30.0,
    per_s: float = 60.0,
    deviation: float = 0.45,
    prediction_error: float = 1.5,
) -> engine_rates.EngineRates:
    """Return rates learned at endpoints of repeating speeds."""
    rng = random.Random(seed)
    rates = engine_rates.EngineRates()
    now_s = 0.0
    while now_s < seconds:
        now_s += rng.expovariate(per_s)
        number = rng.randrange(len(KEYS))
        size = rng.randrange(5, 9)
        log_ratio = math.log(
            speeds[number % len(speeds)] * prediction_error
        ) + rng.gauss(0.1 * size, deviation)
        rates.record(
            "llm",
            KEYS[number],
            engine_rates.Observation(size, log_ratio),
            now_s,
        )
        if rates.is_due(now_s):
            rates.refresh({"llm": KEYS}, False, now_s)
    return rates


@pytest.mark.parametrize("seed", range(10))
def test_endpoints_that_are_alike_all_have_slowness_one(seed: int) -> None:
    """Chance differences must not change costs, at any moment."""
    for seconds in (3, 10, 30):
        assert learn([1.0], seed, seconds).estimates == {}


@pytest.mark.parametrize("speeds", [(0.6, 1.0, 1.6), (1.0, 1.0, 1.3)])
def test_speeds_are_learned_relative_to_the_typical_endpoint(
    speeds: Sequence[float],
) -> None:
    """An error of the prediction that all endpoints share has no effect."""
    learned = unlike = 0
    for seed in range(5):
        rates = learn(speeds, seed)
        for number, key in enumerate(KEYS):
            known = rates.estimates.get(key, engine_rates.TYPICAL_ESTIMATE)
            speed = speeds[number % len(speeds)]
            assert known.slowness == pytest.approx(speed, rel=0.3)
            learned += key in rates.estimates and speed != 1.0
            unlike += speed != 1.0
    assert learned >= 0.85 * unlike


def test_slow_periods_of_all_endpoints_do_not_make_one_of_them_slow() -> None:
    """Plain endpoints take 2.5 times as long in 15 % of the time."""
    rng = random.Random(3)
    rates = engine_rates.EngineRates()
    slow_until_s = dict.fromkeys(KEYS, 0.0)
    # Starts of slow periods in a second without one.
    starts_per_s = 0.15 / 0.85 / 0.6
    unlike = 0
    for step in range(3000):
        now_s = step * 0.01
        for key in KEYS:
            if now_s > slow_until_s[key] and (
                rng.random() < starts_per_s * 0.01
            ):
                slow_until_s[key] = now_s + 0.6
        key = rng.choice(KEYS)
        factor = 2.5 if now_s < slow_until_s[key] else 1.0
        rates.record(
            "plain",
            key,
            engine_rates.Observation(5, math.log(factor) + rng.gauss(0, 0.1)),
            now_s,
        )
        if rates.is_due(now_s):
            rates.refresh({"plain": KEYS}, False, now_s)
            unlike += len(rates.estimates)
    assert unlike <= 0.02 * 30 * len(KEYS)


def test_a_few_outliers_do_not_make_an_endpoint_slow() -> None:
    """A request behind an unseen queue may take many times as long."""
    rates = learn([1.0], 1)
    for _ in range(5):
        rates.record(
            "llm", KEYS[0], engine_rates.Observation(6, math.log(60.0)), 30.0
        )
    rates.refresh({"llm": KEYS}, False, 30.0)
    assert KEYS[0] not in rates.estimates


def test_estimate_returns_to_the_prior_without_observations() -> None:
    """An endpoint that got no requests for long may have changed."""
    rates = learn([0.6, 1.0, 1.6], 1)
    assert KEYS[2] in rates.estimates
    rates.refresh({"llm": KEYS}, False, 30 + 8 * engine_rates.HALF_LIFE_S)
    assert not rates.estimates


def test_restarted_endpoint_is_typical_until_observed() -> None:
    rates = learn([0.6, 1.0, 1.6], 1)
    restarted = ("e2", 9, KEYS[2][2])
    keys = [restarted if key == KEYS[2] else key for key in KEYS]
    rates.refresh({"llm": keys}, False, 31.0)
    assert KEYS[2] not in rates.estimates
    assert restarted not in rates.estimates


def test_estimates_go_on_where_a_gateway_becomes_a_delegate() -> None:
    """It would else forget all speeds that its delegate had learned."""
    rates = engine_rates.EngineRates()
    estimate = engine_rates.Estimate(1.6, 40.0, 0.06)
    rates.adopt(KEYS[0], estimate, 0.0)
    rates.refresh({"llm": KEYS}, True, 0.0)
    assert rates.estimates == {KEYS[0]: estimate}
    rates.refresh({"llm": KEYS}, False, 1.0)
    assert rates.estimates[KEYS[0]].slowness == pytest.approx(1.6, rel=0.02)


def make_fleet() -> list[endpoints.Endpoint]:
    return [
        endpoints.Endpoint(name, "llm", address, "a", 64, False, started_ms)
        for name, started_ms, address in KEYS[:6]
    ]


def test_slowness_multiplies_the_time_at_an_engine() -> None:
    chooser = placement.Placement("a")
    fleet = make_fleet()
    demand = placement.Demand([("own", 6140)], 6140)
    for endpoint in fleet:
        chooser.ensure_state(endpoint, CACHE_TOKENS)
    chooser.rates.adopt(
        fleet[1].incarnation, engine_rates.Estimate(1.5, 40, 0.1), 0.0
    )
    chooser.rates.refresh({"llm": [e.incarnation for e in fleet]}, True, 0.0)
    chooser.apply_rates()
    costs = [chooser.predict_cost(e, demand, CACHE_TOKENS, 0.0) for e in fleet]
    # 6,140 tokens at 61.4 a millisecond, weighted twice; half of the cost
    # follows the slowness.
    assert costs[0] == pytest.approx(200.0)
    assert costs[1] == pytest.approx(250.0)
    # A backlog is waited for in whole.
    for endpoint in fleet:
        chooser.ensure_state(endpoint).peer_loads["peer"] = placement.PeerLoad(
            1, 6140, 0.0
        )
    costs = [chooser.predict_cost(e, demand, CACHE_TOKENS, 0.0) for e in fleet]
    assert costs[0] == pytest.approx(308.0)
    assert costs[1] == pytest.approx(250.0 + 150.0 + 10.0)


def test_alike_endpoints_cost_the_same_as_without_observations() -> None:
    """Deployments with like endpoints are served as before."""
    rng = random.Random(5)
    fleet = make_fleet()
    one, two = placement.Placement("a"), placement.Placement("a")
    keys = {"llm": [e.incarnation for e in fleet]}
    for number in range(600):
        now_s = number * 0.05
        parts = [(f"doc{rng.randrange(9)}", 4000), (f"own{number}", 900)]
        demand = placement.Demand(parts, 4900)
        chosen = one.choose(fleet, demand, CACHE_TOKENS, now_s)
        other = two.choose(fleet, demand, CACHE_TOKENS, now_s)
        assert chosen == other
        assert chosen is not None
        for chooser in (one, two):
            request = chooser.start(chosen, demand, now_s)
            observation = chooser.compare_first_event(
                chosen, request, 0.2 * rng.lognormvariate(0, 0.4)
            )
            assert observation is not None
            if chooser is two:
                two.rates.record("llm", chosen.incarnation, observation, now_s)
            chooser.end(chosen, request)
        if two.rates.is_due(now_s):
            two.rates.refresh(keys, False, now_s)
            two.apply_rates()
    assert not two.rates.estimates
