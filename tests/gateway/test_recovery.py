"""Recovery of holdings after a loss of all hosts.

Without evidence of a record's age, holdings of the dead processes count as
used, so that a pool may be empty although most of its tokens were never used.
"""

from __future__ import annotations

import asyncio
import itertools

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import host_record
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import release_loop
from cyclamenwing.membership import delegates
from cyclamenwing.store import errors as store_errors

SIZE = {"Token-Counts": b"300,100"}


def test_loss_of_all_hosts_releases_holdings_of_records_of_any_age(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Each process finds its host restarted.
    boots = itertools.count()
    monkeypatch.setattr(
        host_record, "read_boot_id", lambda: f"boot-{next(boots)}"
    )
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


@pytest.mark.parametrize("is_delegate", [True, False])
def test_holdings_are_released_after_a_start_in_a_long_outage(
    is_delegate: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(release_loop, "PREDECESSOR_WINDOW_S", 0.4)
    replace = pools.PoolClient._replace_record
    ended = asyncio.Event()

    async def replace_after_outage(client: pools.PoolClient) -> None:
        if not ended.is_set():
            raise store_errors.StoreUnavailableError("no answer")
        await replace(client)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            await deployment.send("chat", headers=SIZE)
            await asyncio.sleep(0.8)
            holder = deployment.gateways[0].board.escrow.holder
            deployment.gateways[0].stop()
            monkeypatch.setattr(
                pools.PoolClient, "_replace_record", replace_after_outage
            )
            if not is_delegate:
                monkeypatch.setattr(
                    delegates.Roster,
                    "acts_as_delegate",
                    property(lambda _: False, lambda *_: None),
                    raising=False,
                )
            gateway = await deployment.add_gateway("g0", with_record=False)
            await asyncio.sleep(1.0)
            ended.set()
            await asyncio.sleep(1.2)
            assert holder not in gateway.board.escrow.pools["t1"].holders

    asyncio.run(check())
