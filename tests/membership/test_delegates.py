"""Delegates: few gateways call the store for a fleet of any size."""

from __future__ import annotations

import pytest

from cyclamenwing.membership import delegates

ZONES = ["z1", "z2", "z3", "z4", "z5", "z6"]


def make_members(count: int, zones: int = 6) -> list[delegates.Member]:
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


def make_rosters(count: int, zones: int = 6) -> list[delegates.Roster]:
    members = make_members(count, zones)
    rosters = [delegates.Roster(member, 0.0) for member in members]
    for roster in rosters:
        for member in members:
            roster.add(member)
        roster.settle(0.0)
    return rosters


@pytest.mark.parametrize(
    ("gateways", "zones", "expected"),
    [
        (1, 1, 1),
        (4, 4, 4),
        (5, 3, 5),
        (20, 4, 5),
        (29, 3, 5),
        (68, 6, 6),
        (340, 6, 6),
    ],
)
def test_number_of_delegates_does_not_grow_with_the_fleet(
    gateways: int, zones: int, expected: int
) -> None:
    rosters = make_rosters(gateways, zones)
    assert sum(r.acts_as_delegate for r in rosters) == expected
    assert {r.count_delegates() for r in rosters} == {expected}


def test_hosts_with_more_capacity_become_delegates() -> None:
    rosters = make_rosters(68)
    for zone in ZONES:
        members = [r for r in rosters if r.own.zone == zone]
        best = max(r.own.capacity for r in members)
        assert [r.own.capacity for r in members if r.acts_as_delegate] == [
            best
        ]


def test_gateway_uses_the_delegate_of_its_zone() -> None:
    for roster in make_rosters(68):
        if not roster.acts_as_delegate:
            assert roster.find_delegates(0.0)[0].zone == roster.own.zone


def test_gateways_spread_over_several_delegates_of_a_zone() -> None:
    chosen = [
        roster.find_delegates(0.0)[0].host
        for roster in make_rosters(68, zones=1)
        if not roster.acts_as_delegate
    ]
    shares = [chosen.count(host) for host in set(chosen)]
    assert len(shares) == delegates.MIN_DELEGATES
    assert max(shares) <= 3 * min(shares)


def test_failing_delegate_is_passed_over_at_once_and_tried_again() -> None:
    leaf = next(r for r in make_rosters(68) if not r.acts_as_delegate)
    first, second = leaf.find_delegates(0.0)[:2]
    leaf.record_failure(first.host, 0.0)
    assert leaf.find_delegates(0.1)[0] == second
    assert leaf.find_delegates(delegates.RETRY_DELAY_S)[0] == first


def test_all_delegates_of_a_zone_down_leads_to_other_zones() -> None:
    leaf = next(r for r in make_rosters(68) if not r.acts_as_delegate)
    for member in leaf.find_delegates(0.0)[:1]:
        leaf.record_failure(member.host, 0.0)
    assert leaf.find_delegates(0.1)
    assert all(m.zone != leaf.own.zone for m in leaf.find_delegates(0.1))


def test_lost_delegate_is_replaced_by_the_next_in_rank() -> None:
    rosters = make_rosters(68)
    first, next_one = list_first_two("z1")
    successor = next(r for r in rosters if r.own == next_one)
    successor.merge_lost([first.host])
    successor.refresh(1.0)
    assert successor.acts_as_delegate
    # The lost one is back.
    successor.record_contact(first.host, 2.0)
    successor.refresh(2.0)
    assert not successor.acts_as_delegate


@pytest.mark.parametrize(
    ("silent_s", "replaced"),
    [(1.0, False), (delegates.PROMOTION_DELAY_S, True)],
)
def test_killed_delegate_keeps_its_role_while_it_restarts(
    silent_s: float, replaced: bool
) -> None:
    rosters = make_rosters(68)
    first, next_one = list_first_two("z1")
    other = find_delegate_elsewhere(rosters)
    other.record_failure(first.host, 10.0)
    other.record_failure(first.host, 10.5)
    other.refresh(10.0 + silent_s)
    assert (next_one in other.list_delegates()) == replaced


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


def test_gateway_acts_for_itself_until_it_knows_the_members() -> None:
    own = delegates.Member("g9", "1:1", "z1", 0.0, 1)
    roster = delegates.Roster(own, 0.0)
    for member in make_members(68):
        roster.add(member)
    roster.refresh(0.1)
    assert roster.acts_as_delegate
    roster.settle(0.2)
    assert not roster.acts_as_delegate


def test_newer_process_of_a_host_replaces_its_address() -> None:
    roster = delegates.Roster(delegates.Member("a", "1:1", "z1", 1.0, 1), 0.0)
    assert roster.add(delegates.Member("b", "1:2", "z1", 1.0, 5))
    assert not roster.add(delegates.Member("b", "1:3", "z1", 1.0, 4))
    assert roster.add(delegates.Member("b", "1:4", "z1", 1.0, 6))
    assert roster.members["b"].address == "1:4"


def test_lost_delegate_is_tried_again_until_it_answers() -> None:
    other = find_delegate_elsewhere(make_rosters(68))
    lost = list_first_two("z1")[0]
    for second in range(6):
        other.record_failure(lost.host, float(second))
    other.refresh(5.0)
    assert lost not in other.list_delegates()
    assert not other.list_retries(5.5)
    assert other.list_retries(5.0 + delegates.LOST_RETRY_DELAY_S) == [lost]
    other.record_contact(lost.host, 10.0)
    other.refresh(10.0)
    assert lost in other.list_delegates()


def test_delegate_trusts_its_own_calls_over_reports() -> None:
    other = find_delegate_elsewhere(make_rosters(68))
    lost = list_first_two("z1")[0]
    other.merge_lost([lost.host])
    other.refresh(1.0)
    assert lost in other.list_delegates()


def list_first_two(zone: str) -> list[delegates.Member]:
    """Return a zone's delegate and the one that replaces it."""
    members = make_members(68)
    first = next(
        m for m in delegates.choose_delegates(members) if m.zone == zone
    )
    members.remove(first)
    second = next(
        m for m in delegates.choose_delegates(members) if m.zone == zone
    )
    return [first, second]


def find_delegate_elsewhere(
    rosters: list[delegates.Roster],
) -> delegates.Roster:
    return next(
        r for r in rosters if r.acts_as_delegate and r.own.zone != "z1"
    )


@pytest.mark.parametrize(
    ("gateways", "zones", "holders"),
    [(4, 4, 4), (5, 3, 5), (6, 6, 2), (20, 4, 2), (68, 6, 2), (340, 6, 2)],
)
def test_number_of_holders_of_a_workspace(
    gateways: int, zones: int, holders: int
) -> None:
    rosters = make_rosters(gateways, zones)
    for workspace in ("w1", "w2", "w3"):
        assert sum(r.holds(workspace) for r in rosters) == holders
        first = next(r for r in rosters if r.holds(workspace))
        asked = first.find_holders(workspace, 0.0)
        others = {r.own.host for r in rosters if r.holds(workspace)}
        others.discard(first.own.host)
        assert {m.host for m in asked[: holders - 1]} == others


def test_holders_that_fail_are_passed_over() -> None:
    leaf = next(r for r in make_rosters(68) if not r.acts_as_delegate)
    first, second = leaf.find_holders("w1", 0.0)[:2]
    leaf.record_failure(first.host, 0.0)
    assert leaf.find_holders("w1", 0.1)[0] == second
