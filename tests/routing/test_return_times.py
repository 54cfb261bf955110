"""Times after which refused clients return.

Pattern: many clients are refused at once and were told one constant. They
returned together, were refused again, and had no further attempt.
"""

from __future__ import annotations

import collections
import random
import statistics

import pytest

from cyclamenwing.routing import return_times

SERVICE = "llm"
# Measured over whole spans, as those of a gateway that runs.
NOW_S = 1000.0
GOAL_S = 0.5
SOFT_KINDS = [k for k in return_times.Kind if k not in return_times.PREDICTED]


def make_returns(rate_rps: float) -> return_times.ReturnTimes:
    """Return a planner of a gateway that has answered at a rate lately."""
    returns = return_times.ReturnTimes()
    window_s = return_times.RATE_WINDOW_S
    count = round(rate_rps * window_s)
    for number in range(count):
        before_s = window_s * (1 - number / count)
        returns.record_answer(SERVICE, NOW_S - before_s)
    return returns


def refuse(
    returns: return_times.ReturnTimes,
    rng: random.Random,
    kind: return_times.Kind = return_times.Kind.ROOM,
    priority: int = 0,
    left_s: float = 30.0,
    now_s: float = NOW_S,
    room_s: float = 0.0,
) -> float | None:
    client = return_times.Client(priority, left_s, GOAL_S)
    return returns.plan(kind, SERVICE, client, now_s, rng.random(), room_s)


def count_by_second(times_s: list[float]) -> list[int]:
    """Return the most returns in any second that begins with one."""
    ordered = sorted(times_s)
    return [
        sum(begin <= t < begin + 1.0 for t in ordered) for begin in ordered
    ]


# Guards against long waits after an overload that has ended already.
@pytest.mark.parametrize("rate_rps", [20.0, 100.0])
def test_short_overload_spreads_over_a_fraction_of_a_second(
    rate_rps: float,
) -> None:
    rng = random.Random(1)
    times_s = []
    for _ in range(200):
        # One client after the other, each refused long after the one before.
        time_s = refuse(make_returns(rate_rps), rng)
        assert time_s is not None
        times_s.append(time_s)
    assert min(times_s) >= 0.1
    assert max(times_s) <= 0.6
    assert 0.25 < statistics.mean(times_s) < 0.45
    assert max(times_s) - min(times_s) > 0.4


@pytest.mark.parametrize("gateways", [4, 20, 68, 340])
@pytest.mark.parametrize("priorities", [(0,), (0, 1, 2)])
def test_clients_refused_at_once_return_within_the_rate(
    gateways: int, priorities: tuple[int, ...]
) -> None:
    rng = random.Random(gateways)
    fleet_rps, refused = 340.0, 1360
    planners = [make_returns(fleet_rps / gateways) for _ in range(gateways)]
    told = collections.defaultdict(list)
    for number in range(refused):
        planner = planners[rng.randrange(gateways)]
        priority = priorities[number % len(priorities)]
        time_s = refuse(planner, rng, priority=priority, left_s=60.0)
        assert time_s is not None
        told[priority].append(time_s)
    times_s = [t for times in told.values() for t in times]
    assert len(set(times_s)) > refused * 0.99
    # Half of the rate for each priority, and the prior of each gateway.
    allowed_rps = (fleet_rps + gateways * return_times.PRIOR_RPS) * 1.0
    assert max(count_by_second(times_s)) <= allowed_rps * 1.1
    # Not later than necessary either.
    assert max(times_s) <= 3 * refused / fleet_rps
    means_s = [statistics.mean(told[p]) for p in priorities]
    assert means_s == sorted(means_s)
    if len(means_s) > 1:
        assert means_s[0] < 0.6 * means_s[-1]


def count_served(times_s: list[float], rate_rps: float) -> int:
    """Return how many find room where it comes at a rate, 0.1 s at a time."""
    taken = collections.Counter(int(time_s / 0.1) for time_s in times_s)
    room = round(rate_rps * 0.1)
    return sum(min(count, room) for count in taken.values())


# Guards against returns that come together and are refused again.
def test_most_clients_that_return_find_room() -> None:
    rng = random.Random(8)
    returns = make_returns(100.0)
    times_s = [refuse(returns, rng, left_s=15.0) for _ in range(200)]
    told_s = [t for t in times_s if t is not None]
    assert len(told_s) == len(times_s)
    assert count_served([0.3] * len(told_s), 100.0) == 10
    assert count_served(told_s, 100.0) > 0.9 * len(told_s)


# Guards against waits that a client does not honour, or that leave it no time
# to be served.
@pytest.mark.parametrize("kind", SOFT_KINDS)
@pytest.mark.parametrize("rate_rps", [0.0, 0.5, 20.0])
def test_no_time_is_told_that_leaves_too_little(
    kind: return_times.Kind, rate_rps: float
) -> None:
    rng = random.Random(2)
    returns = make_returns(rate_rps)
    told = 0
    for _ in range(2000):
        left_s = rng.uniform(0.0, 10.0)
        time_s = refuse(
            returns, rng, kind, priority=rng.randrange(3), left_s=left_s
        )
        if time_s is None:
            continue
        told += 1
        assert 0 < time_s <= left_s / 3 + 1e-9
        assert left_s - time_s >= GOAL_S - 1e-9
    assert told


def test_client_without_time_to_be_served_is_told_none() -> None:
    rng = random.Random(3)
    for kind in SOFT_KINDS:
        assert refuse(make_returns(50.0), rng, kind, left_s=GOAL_S) is None
        assert refuse(make_returns(50.0), rng, kind, left_s=0.1) is None


# Guards against promising room to more clients than there can be room for.
def test_clients_beyond_what_the_rate_reaches_are_told_none() -> None:
    rng = random.Random(4)
    returns = make_returns(20.0)
    # Each waits for at most 2 s, in which there are 40 answers.
    times_s = [refuse(returns, rng, left_s=6.0) for _ in range(200)]
    told_s = [t for t in times_s if t is not None]
    assert None not in times_s[:20]
    assert 20 <= len(told_s) <= 50
    assert None in times_s[50:]
    # Those of a higher priority are told still, as they go first.
    others = make_returns(20.0)
    for _ in range(200):
        refuse(others, rng, priority=1, left_s=6.0)
    assert refuse(others, rng, priority=0, left_s=6.0) is not None
    assert refuse(others, rng, priority=1, left_s=6.0) is None


# Guards against refusing for good while no answers come for a while.
def test_clients_are_spread_while_there_is_no_rate() -> None:
    rng = random.Random(5)
    returns = make_returns(0.0)
    times_s = [refuse(returns, rng, left_s=6.0) for _ in range(200)]
    assert all(t is not None and 0.05 <= t <= 2.0 for t in times_s)
    assert len(set(times_s)) > 190


def test_returns_that_are_over_count_no_more() -> None:
    rng = random.Random(6)
    returns = make_returns(20.0)
    for _ in range(40):
        refuse(returns, rng)
    busy_s = refuse(returns, rng)
    assert busy_s is not None
    assert busy_s > 2.0
    later_s = NOW_S + 6.0
    for number in range(120):
        returns.record_answer(SERVICE, NOW_S + number / 20)
    quiet_s = refuse(returns, rng, now_s=later_s)
    assert quiet_s is not None
    assert quiet_s <= 0.6


# Guards against clients that return before the time that was predicted, or
# all at that time.
@pytest.mark.parametrize("room_s", [0.2, 1.2, 9.0])
@pytest.mark.parametrize("rate_rps", [0.0, 50.0])
def test_predicted_time_is_kept_and_spread_after_it(
    room_s: float, rate_rps: float
) -> None:
    rng = random.Random(7)
    returns = make_returns(rate_rps)
    kind = return_times.Kind.PLANNED
    times_s = []
    for _ in range(100):
        time_s = refuse(returns, rng, kind, left_s=12.0, room_s=room_s)
        assert time_s is not None
        assert time_s >= room_s
        times_s.append(time_s)
    assert len(set(times_s)) > 90
    assert max(times_s) - min(times_s) > 0.05
    if rate_rps and room_s <= 4.0:
        # 100 clients need 2 s at the whole rate.
        assert max(times_s) - room_s > 1.0
        assert max(times_s) <= 4.0


# Guards against spreading twice what the limits of endpoints spread already.
def test_times_in_turn_are_kept_apart_by_their_predictions() -> None:
    rng = random.Random(9)
    returns = make_returns(4.0)
    for number in range(30):
        room_s = 0.1 * number
        time_s = refuse(returns, rng, return_times.Kind.IN_TURN, room_s=room_s)
        assert time_s is not None
        assert room_s <= time_s <= room_s + 0.1


@pytest.mark.parametrize("seed", range(3))
def test_steady_overload_keeps_memory_bounded(seed: int) -> None:
    rng = random.Random(seed)
    returns = make_returns(50.0)
    for number in range(20_000):
        now_s = NOW_S + number / 1000
        if number % 20 == 0:
            returns.record_answer(SERVICE, now_s)
        refuse(returns, rng, priority=rng.randrange(3), now_s=now_s)
    state = returns._services[SERVICE]
    assert len(state.answers) <= return_times.RATE_WINDOW_S + 1
    dues_s = [due_s for dues in state.pending.values() for due_s in dues]
    assert len(dues_s) <= 3000
    assert min(dues_s) > now_s
