"""Delegates: few gateways call the store for a fleet of any size."""

from __future__ import annotations

import pytest

from cyclamenwing.membership import delegates

ZONES = ["z1", "z2", "z3", "z4"]


def make_members(count: int, zones: int = 4) -> list[delegates.Member]:
    return [
        delegates.Member(
            f"g{number}",
            f"10.0.0.{number}:80",
            ZONES[number % zones],
            float(number % 3),
            1,
        )
        for number in range(count)
    ]


def make_rosters(count: int, zones: int = 4) -> list[delegates.Roster]:
    members = make_members(count, zones)
    rosters = [delegates.Roster(member, 0.0) for member in members]
    for roster in rosters:
        for member in members:
            roster.add(member)
        roster.refresh(0.0)
    return rosters


@pytest.mark.parametrize(
    ("gateways", "expected"), [(4, 4), (8, 8), (20, 8), (68, 8), (340, 8)]
)
def test_number_of_delegates_does_not_grow_with_the_fleet(
    gateways: int, expected: int
) -> None:
    rosters = make_rosters(gateways)
    assert sum(r.acts_as_delegate for r in rosters) == expected
    assert {r.count_delegates() for r in rosters} == {expected}


def test_hosts_with_more_capacity_become_delegates() -> None:
    rosters = make_rosters(68)
    assert {r.own.capacity for r in rosters if r.acts_as_delegate} == {2.0}


def test_gateways_of_a_zone_spread_over_its_delegates() -> None:
    rosters = make_rosters(68)
    chosen = [
        r.find_delegates(0.0)[0] for r in rosters if not r.acts_as_delegate
    ]
    shares = [
        sum(m.host == host for m in chosen) for host in {m.host for m in chosen}
    ]
    assert len(shares) == 8
    assert max(shares) <= 3 * min(shares)
    assert all(
        r.find_delegates(0.0)[0].zone == r.own.zone
        for r in rosters
        if not r.acts_as_delegate
    )


def test_failing_delegate_is_passed_over_at_once_and_tried_again() -> None:
    leaf = next(r for r in make_rosters(68) if not r.acts_as_delegate)
    first, second = leaf.find_delegates(0.0)[:2]
    leaf.record_failure(first.host, 0.0)
    assert leaf.find_delegates(0.1)[0] == second
    assert leaf.find_delegates(delegates.RETRY_DELAY_S)[0] == first


def test_all_delegates_of_a_zone_down_leads_to_other_zones() -> None:
    leaf = next(r for r in make_rosters(68) if not r.acts_as_delegate)
    for member in leaf.find_delegates(0.0)[:2]:
        leaf.record_failure(member.host, 0.0)
    assert leaf.find_delegates(0.1)
    assert all(m.zone != leaf.own.zone for m in leaf.find_delegates(0.1))


def test_lost_delegate_is_replaced_by_the_next_in_rank() -> None:
    rosters = make_rosters(68)
    ranked = delegates.rank_candidates(make_members(68), "z1")
    third = next(r for r in rosters if r.own == ranked[2])
    lost = ranked[0].host
    third.report_lost([lost])
    third.refresh(1.0)
    assert third.acts_as_delegate
    # The lost one is back.
    third.record_contact(lost, 2.0)
    third.refresh(2.0)
    assert not third.acts_as_delegate


@pytest.mark.parametrize(
    ("silent_s", "replaced"),
    [(1.0, False), (delegates.PROMOTION_DELAY_S, True)],
)
def test_killed_delegate_keeps_its_role_while_it_restarts(
    silent_s: float, replaced: bool
) -> None:
    rosters = make_rosters(68)
    ranked = delegates.rank_candidates(make_members(68), "z1")
    other = next(r for r in rosters if r.own == ranked[1])
    other.record_failure(ranked[0].host, 10.0)
    other.record_failure(ranked[0].host, 10.5)
    other.refresh(10.0 + silent_s)
    hosts = {m.host for m in other.list_delegates()}
    assert (ranked[2].host in hosts) == replaced


def test_gateway_with_attached_ones_acts_as_a_delegate() -> None:
    leaf = next(r for r in make_rosters(68) if not r.acts_as_delegate)
    leaf.record_attached("g0", 1.0)
    leaf.refresh(1.5)
    assert leaf.acts_as_delegate
    leaf.record_contact(leaf.find_delegates(1.5)[0].host, 4.0)
    leaf.refresh(1.0 + delegates.ATTACHMENT_TTL_S)
    assert not leaf.acts_as_delegate


def test_isolated_gateway_acts_for_itself_until_a_delegate_answers() -> None:
    leaf = next(r for r in make_rosters(68) if not r.acts_as_delegate)
    leaf.refresh(delegates.ISOLATION_DELAY_S + 0.1)
    assert leaf.acts_as_delegate
    leaf.record_contact(leaf.find_delegates(9.0)[0].host, 9.0)
    leaf.refresh(9.0)
    assert not leaf.acts_as_delegate


def test_newer_process_of_a_host_replaces_its_address() -> None:
    roster = delegates.Roster(delegates.Member("a", "1:1", "z1", 1.0, 1), 0.0)
    assert roster.add(delegates.Member("b", "1:2", "z1", 1.0, 5))
    assert not roster.add(delegates.Member("b", "1:3", "z1", 1.0, 4))
    assert roster.add(delegates.Member("b", "1:4", "z1", 1.0, 6))
    assert roster.members["b"].address == "1:4"
