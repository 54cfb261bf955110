"""Load pattern: endpoints crash and restart while the store is away.

Their registrations are out of date: another incarnation has the address and
runs nothing that is meant for the one before. It has no load and its prompt
parts count as cached, so it looks like the cheapest of all endpoints.
"""

from __future__ import annotations

import collections

from cyclamenwing.routing import endpoints
from cyclamenwing.routing import placement

CACHE_TOKENS = 400_000
ENDPOINTS = 20
RESTARTED = 5
# Endpoints that a gateway tries for one request.
MAX_TRIES = 4
REQUESTS = 200
INTERVAL_S = 0.02


def make_fleet() -> list[endpoints.Endpoint]:
    return [
        endpoints.Endpoint(
            f"e{number}", "llm", f"10.0.0.{number}:80", "a", 64, False
        )
        for number in range(ENDPOINTS)
    ]


def make_demand(number: int) -> placement.Demand:
    subject = number % 40
    parts = [(f"doc{subject}", 13_000), (f"own{number}", 3000)]
    return placement.Demand(parts, 16_000)


def serve(
    chooser: placement.Placement,
    fleet: list[endpoints.Endpoint],
    restarted: set[str],
    number: int,
    now_s: float,
) -> tuple[bool, int]:
    """Try endpoints as a gateway does; return if one ran it and the misses."""
    excluded: set[str] = set()
    for tried in range(MAX_TRIES):
        candidates = [e for e in fleet if e.name not in excluded]
        demand = make_demand(number)
        chosen = chooser.choose(candidates, demand, CACHE_TOKENS, now_s)
        assert chosen is not None
        request_number = chooser.start(chosen, demand, now_s)
        if chosen.name not in restarted:
            chooser.mark_answering(chosen, request_number)
            return True, tried
        chooser.ensure_state(chosen).mark_superseded(now_s)
        chooser.end(chosen, request_number)
        excluded.add(chosen.name)
    return False, MAX_TRIES


def test_restarted_endpoints_cost_few_attempts() -> None:
    chooser = placement.Placement("a")
    fleet = make_fleet()
    restarted = {e.name for e in fleet[:RESTARTED]}
    misses = 0
    served = collections.Counter[bool]()
    for number in range(REQUESTS):
        run, missed = serve(
            chooser, fleet, restarted, number, number * INTERVAL_S
        )
        served[run] += 1
        misses += missed
    assert served[False] == 0
    # Each is found out once, and again after each `SUPERSEDED_TTL_S`.
    rounds = 1 + REQUESTS * INTERVAL_S // placement.SUPERSEDED_TTL_S
    assert misses <= RESTARTED * rounds


def test_gateways_tell_each_other_of_restarted_endpoints() -> None:
    one, two = placement.Placement("a"), placement.Placement("a")
    fleet = make_fleet()
    demand = make_demand(0)
    two.choose(fleet, demand, CACHE_TOKENS, 0.0)
    one.ensure_state(fleet[0]).mark_superseded(0.0)
    two.merge_superseded(one.list_superseded(1.0), 1.0)
    assert two.choose(fleet[:1], demand, CACHE_TOKENS, 1.1) is None
    # Late reports that go back and forth don't keep it out for good.
    one.merge_superseded(two.list_superseded(1.5), 4.0)
    later_s = placement.SUPERSEDED_TTL_S + 0.1
    for chooser in (one, two):
        assert chooser.choose(fleet[:1], demand, CACHE_TOKENS, later_s)


def test_endpoint_is_used_again_once_it_has_registered() -> None:
    chooser = placement.Placement("a")
    (old,) = make_fleet()[:1]
    demand = make_demand(0)
    chooser.ensure_state(old).mark_superseded(0.0)
    assert chooser.choose([old], demand, CACHE_TOKENS, 0.1) is None
    new = old._replace(started_ms=5)
    assert chooser.choose([new], demand, CACHE_TOKENS, 0.1) == new


def test_wrongly_reported_endpoint_is_tried_again_later() -> None:
    chooser = placement.Placement("a")
    (endpoint,) = make_fleet()[:1]
    demand = make_demand(0)
    chooser.ensure_state(endpoint).mark_superseded(0.0)
    later_s = placement.SUPERSEDED_TTL_S + 0.1
    assert chooser.choose([endpoint], demand, CACHE_TOKENS, later_s) == (
        endpoint
    )
