"""Exchange of news: how often, by the size of the fleet."""

from __future__ import annotations

import pytest

from cyclamenwing.gateway import peers
from cyclamenwing.routing import placement


@pytest.mark.parametrize("hosts", [1, 4, 5, 20, 22, 40])
def test_news_cost_a_host_the_same_in_a_larger_fleet(hosts: int) -> None:
    interval_s = peers.measure_interval(hosts - 1)
    assert interval_s >= peers.NEWS_INTERVAL_S
    assert (hosts - 1) / interval_s <= peers.MAX_NEWS_PER_S
    # Loads are told again before they are forgotten.
    assert interval_s < placement.NEWS_LIFE_S


def test_small_fleet_exchanges_news_at_the_full_rate() -> None:
    assert peers.measure_interval(4) == peers.NEWS_INTERVAL_S
