"""Exchange of news: how often, by the size of the fleet."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.gateway import deployments

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


def test_each_pool_is_told_to_each_peer_once_and_not_passed_on() -> None:
    async def play() -> None:
        async with deployments.deploy(gateways=2) as found:
            desk, other = (g._peers.desk for g in found.gateways)
            ledger = found.gateways[0].board.escrow
            ledger.update_pool("seen", 10**9, {"a": 5})
            heard = msgspec.structs.replace(
                other.write_news("nobody:1"),
                pools={"heard": (10**9, {"b": 7})},
                number=10**9,
            )
            desk.read_news(heard)
            assert ledger.pools["heard"].holders == {"b": 7}
            first = desk.write_news("peer:1")
            assert first.pools["seen"] == (10**9, {"a": 5})
            assert "heard" not in first.pools
            # Told again until it has arrived, then no more.
            assert "seen" in desk.write_news("peer:1").pools
            desk.note_told("peer:1", first)
            assert "seen" not in desk.write_news("peer:1").pools
            assert "seen" in desk.write_news("peer:2").pools
            ledger.update_pool("seen", 10**9 + 1, {"a": 6})
            assert "seen" in desk.write_news("peer:1").pools

    asyncio.run(play())


def test_prompt_parts_are_told_once() -> None:
    async def play() -> None:
        async with deployments.deploy() as found:
            desk = found.gateways[0]._peers.desk
            desk.note_sent("m1", (("aa", 800),))
            told = desk.write_news("peer:1")
            assert [item.endpoint for item in told.sent] == ["m1"]
            desk.note_told("peer:1", told)
            assert not desk.write_news("peer:1").sent
            assert desk.write_news("peer:2").sent

    asyncio.run(play())
