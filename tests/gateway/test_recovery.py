"""Recovery of holdings after a loss of all hosts.

Without evidence of a record's age, holdings of the dead processes count as
used, so that a pool may be empty although most of its tokens were never used.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import pools
from cyclamenwing.gateway import record_age

SIZE = {"Token-Counts": b"300,100"}


def test_loss_of_all_hosts_releases_holdings_of_records_of_any_age(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each process finds its host restarted.
    boots = itertools.count()
    monkeypatch.setattr(pools, "read_boot_id", lambda: f"boot-{next(boots)}")
    # The ages of the records differ, as the hosts lost the store one after the
    # other.
    monkeypatch.setattr(record_age, "MAX_WALL_SPREAD_S", -1.0)

    async def check() -> None:
        async with deployments.deploy(gateways=3) as deployment:
            await deployment.send("chat", headers=SIZE)
            await asyncio.sleep(2.0)
            lost = {g.board.escrow.holder for g in deployment.gateways}
            for gateway in list(deployment.gateways):
                gateway.stop()
            restarted = [
                await deployment.add_gateway(f"g{number}")
                for number in range(3)
            ]
            await asyncio.sleep(2.0)
            for gateway in restarted:
                pool = gateway.board.escrow.pools["t1"]
                assert not lost & pool.holders.keys()

    asyncio.run(check())
