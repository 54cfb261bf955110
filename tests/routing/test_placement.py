"""Choice of endpoints for shared prompt parts and for bursts.

A shared part that moves between endpoints is prefilled again at each; a
burst that stays at one endpoint queues there while others are idle.
"""

from __future__ import annotations

import collections
import random

import pytest

from cyclamenwing.routing import endpoints
from cyclamenwing.routing import placement

CACHE_TOKENS = 400_000


def make_endpoint(number: int, zone: str = "a") -> endpoints.Endpoint:
    return endpoints.Endpoint(
        f"e{number}", "llm", f"10.0.0.{number}:80", zone, 64, False
    )


FLEET = [make_endpoint(i) for i in range(6)]


def make_demand(subject: int, own: int = 3000) -> placement.Demand:
    parts = [(f"doc{subject}", 13_000), (f"own{random.random()}", own)]
    return placement.Demand(parts, 13_000 + own)


def send(
    chooser: placement.Placement, demand: placement.Demand, now_s: float
) -> str:
    chosen = chooser.choose(FLEET, demand, CACHE_TOKENS, now_s)
    assert chosen is not None
    number = chooser.start(chosen, demand, now_s)
    chooser.mark_answering(chosen, number)
    chooser.end(chosen, number)
    return chosen.name


def test_shared_part_stays_at_one_endpoint_under_even_load() -> None:
    chooser = placement.Placement("a")
    chosen_by_subject = collections.defaultdict(set)
    for number in range(200):
        subject = number % 20
        chosen_by_subject[subject].add(
            send(chooser, make_demand(subject), number * 0.3)
        )
    assert sum(len(chosen) for chosen in chosen_by_subject.values()) <= 22


def test_gateways_choose_the_same_endpoint_without_gossip() -> None:
    one, two = placement.Placement("a"), placement.Placement("a")
    for subject in range(20):
        demand = make_demand(subject)
        assert send(one, demand, subject) == send(two, demand, subject)


def test_burst_on_one_part_spreads_over_endpoints() -> None:
    chooser = placement.Placement("a")
    used = set()
    for _ in range(60):
        demand = make_demand(1)
        chosen = chooser.choose(FLEET, demand, CACHE_TOKENS, 0.0)
        assert chosen is not None
        chooser.start(chosen, demand, 0.0)
        used.add(chosen.name)
    assert len(used) >= 3


def test_peer_load_counts_until_it_expires() -> None:
    chooser = placement.Placement("a")
    demand = make_demand(5)
    first = chooser.choose(FLEET, demand, CACHE_TOKENS, 0.0)
    assert first is not None
    chooser.ensure_state(first).peer_loads["peer"] = placement.PeerLoad(
        40, 200_000, 0.0
    )
    assert chooser.choose(FLEET, demand, CACHE_TOKENS, 0.1) != first
    later_s = placement.PEER_LOAD_TTL_S + 1
    assert chooser.choose(FLEET, demand, CACHE_TOKENS, later_s) == first


def test_failures_divert_requests_for_a_while() -> None:
    chooser = placement.Placement("a")
    demand = placement.Demand([], 0)
    first = chooser.choose(FLEET, demand, 0, 0.0)
    assert first is not None
    chooser.ensure_state(first).record_failure(0.0)
    assert chooser.choose(FLEET, demand, 0, 0.1) != first
    assert chooser.choose(FLEET, demand, 0, 60.0) == first


def test_restarted_endpoint_has_an_empty_cache() -> None:
    chooser = placement.Placement("a")
    demand = make_demand(3)
    old = make_endpoint(1)
    chooser.start(old, demand, 0.0)
    new = old._replace(started_ms=5)
    assert (
        chooser.ensure_state(new).count_uncached(demand)
        == demand.prompt_tokens
    )
    assert chooser.find_state("e1") is chooser.ensure_state(new)


def test_least_recently_used_parts_are_evicted() -> None:
    state = placement.EndpointState(cache_tokens=1000)
    state.cache_parts([("a", 400), ("b", 400)])
    state.cache_parts([("a", 400)])
    state.cache_parts([("c", 400)])
    assert list(state.cached_parts) == ["a", "c"]
    assert state.cached_tokens == 800


@pytest.mark.parametrize("lost", FLEET)
def test_preferred_endpoint_changes_only_if_it_is_lost(
    lost: endpoints.Endpoint,
) -> None:
    """The loss of an endpoint must not move the parts of the others."""
    remaining = [e for e in FLEET if e is not lost]
    for number in range(50):
        part = f"doc{number}"
        preferred = placement.rank_preferred(FLEET, part)[0].name
        if preferred != lost.name:
            first = placement.rank_preferred(remaining, part)[0]
            assert first.name == preferred


def test_own_zone_is_preferred_for_equal_loads() -> None:
    chooser = placement.Placement("b")
    fleet = [make_endpoint(1, "a"), make_endpoint(2, "b")]
    chosen = chooser.choose(fleet, placement.Demand([], 0), 0, 0.0)
    assert chosen is not None
    assert chosen.zone == "b"


def choose_blindly(
    gateways: int, fleet: list[endpoints.Endpoint], parts: bool
) -> collections.Counter[str]:
    """Return the endpoints that gateways choose before any load report."""
    chosen: collections.Counter[str] = collections.Counter()
    for number in range(gateways):
        chooser = placement.Placement("a")
        names = [("doc", 2000), (f"own{number}", 500)] if parts else []
        demand = placement.Demand(names, 2500)
        endpoint = chooser.choose(fleet, demand, CACHE_TOKENS, 0.0)
        assert endpoint is not None
        chosen[endpoint.name] += 1
    return chosen


def test_many_gateways_between_two_reports_do_not_choose_one_endpoint() -> (
    None
):
    # 68 gateways before 60 endpoints: at the start of a burst all know the
    # same, and the endpoint with the lowest name got each first request.
    random.seed(7)
    fleet = [make_endpoint(i) for i in range(60)]
    chosen = choose_blindly(68, fleet, parts=False)
    assert max(chosen.values()) <= 8
    assert len(chosen) >= 20


def test_sample_keeps_the_endpoints_that_have_cached_the_prompt() -> None:
    random.seed(7)
    fleet = [make_endpoint(i) for i in range(60)]
    chooser = placement.Placement("a")
    demand = make_demand(1)
    home = send_to(chooser, fleet, demand)
    for _ in range(20):
        assert send_to(chooser, fleet, make_demand(1)) == home


def test_session_part_has_one_preferred_endpoint_at_all_gateways() -> None:
    # Few first parts are shared by all requests of a kind; preferring one
    # endpoint for each of them would send the whole kind there.
    random.seed(7)
    fleet = [make_endpoint(i) for i in range(60)]
    homes = set()
    for session in range(40):
        parts = [("all", 2500), (f"session{session}", 3800), ("own", 500)]
        demand = placement.Demand(parts, 6800)
        found = {
            send_to(placement.Placement("a"), fleet, demand) for _ in range(5)
        }
        assert len(found) == 1
        homes |= found
    assert len(homes) >= 20


def send_to(
    chooser: placement.Placement,
    fleet: list[endpoints.Endpoint],
    demand: placement.Demand,
) -> str:
    chosen = chooser.choose(fleet, demand, CACHE_TOKENS, 0.0)
    assert chosen is not None
    number = chooser.start(chosen, demand, 0.0)
    chooser.mark_answering(chosen, number)
    chooser.end(chosen, number)
    return chosen.name
