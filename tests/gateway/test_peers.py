"""Gossip between gateways: its rate, and data that is sent only once.

In a large fleet gossip at a fixed interval, or with all pools and prompt parts
in each message, would use up the CPU of small hosts.
"""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import peers
from cyclamenwing.routing import placement


@pytest.mark.parametrize("hosts", [1, 4, 5, 20, 22, 40])
def test_gossip_rate_of_a_host_is_bounded_in_a_large_fleet(hosts: int) -> None:
    interval_s = peers.compute_interval(hosts - 1)
    assert interval_s >= peers.GOSSIP_INTERVAL_S
    assert (hosts - 1) / interval_s <= peers.MAX_GOSSIP_PER_S
    # Loads are sent again before peers discard them.
    assert interval_s < placement.PEER_LOAD_TTL_S


def test_small_fleet_exchanges_gossip_at_the_full_rate() -> None:
    assert peers.compute_interval(4) == peers.GOSSIP_INTERVAL_S


def test_pool_state_is_sent_to_each_peer_once_and_not_relayed() -> None:
    async def check() -> None:
        async with deployments.deploy(gateways=2) as deployment:
            gossip, other = (g._peers.gossip for g in deployment.gateways)
            own_escrow = deployment.gateways[0].board.escrow
            own_escrow.update_pool("seen", 10**9, {"a": 5})
            received = msgspec.structs.replace(
                other.build_message("nobody:1"),
                pools={"heard": (10**9, {"b": 7})},
                number=10**9,
            )
            gossip.merge_message(received)
            assert own_escrow.pools["heard"].holders == {"b": 7}
            first = gossip.build_message("peer:1")
            assert first.pools["seen"] == (10**9, {"a": 5})
            assert "heard" not in first.pools
            # It is sent until a message has been delivered, then no more.
            assert "seen" in gossip.build_message("peer:1").pools
            gossip.record_delivered("peer:1", first)
            assert "seen" not in gossip.build_message("peer:1").pools
            assert "seen" in gossip.build_message("peer:2").pools
            own_escrow.update_pool("seen", 10**9 + 1, {"a": 6})
            assert "seen" in gossip.build_message("peer:1").pools

    asyncio.run(check())


def test_prompt_parts_are_sent_to_each_peer_once() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            gossip = deployment.gateways[0]._peers.gossip
            gossip.record_sent_parts("m1", (("aa", 800),))
            message = gossip.build_message("peer:1")
            assert [item.endpoint for item in message.sent] == ["m1"]
            gossip.record_delivered("peer:1", message)
            assert not gossip.build_message("peer:1").sent
            assert gossip.build_message("peer:2").sent

    asyncio.run(check())
