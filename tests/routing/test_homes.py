"""Homes of requests as sets of availability zones."""

from __future__ import annotations

import pytest

from cyclamenwing.routing import homes

REGIONS = {"a": "north", "b": "north", "c": "south", "": "south"}
NORTH = frozenset({"north"})
SOUTH = frozenset({"south"})
BOTH = NORTH | SOUTH
ANY: frozenset[str] = frozenset()


def find(known: homes.Homes, *lists: frozenset[str]) -> list[str]:
    zones = known.find_zones(*lists)
    assert zones is not None
    return sorted(zones)


@pytest.mark.parametrize(
    ("lists", "zones"),
    [
        ((), None),
        ((ANY, ANY), None),
        ((NORTH, ANY), {"a", "b"}),
        ((ANY, SOUTH), {"c"}),
        ((BOTH, NORTH), {"a", "b"}),
        ((BOTH, BOTH), {"a", "b", "c"}),
        # Both are set and have nothing in common.
        ((NORTH, SOUTH), set()),
        ((frozenset({"west"}), ANY), set()),
    ],
)
def test_zones_are_in_all_lists_that_are_set(
    lists: tuple[frozenset[str], ...], zones: set[str] | None
) -> None:
    assert homes.Homes(REGIONS).find_zones(*lists) == zones


def test_own_zone_is_in_the_own_region_unless_the_settings_say_otherwise() -> (
    None
):
    assert find(homes.Homes({}, "a", "north"), NORTH) == ["a"]
    assert find(homes.Homes({"a": "south"}, "a", "north"), NORTH) == []


# Guards against endpoints without a zone that count as in a home.
def test_zone_without_a_name_or_region_is_in_no_home() -> None:
    known = homes.Homes({"": "north", "a": "", "b": "north"}, "", "north")
    assert find(known, NORTH) == ["b"]
    assert find(known, frozenset({""})) == []
