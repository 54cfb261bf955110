"""Prepaid tokens of a gateway that leaves.

Guards against tokens that a process takes or draws while it returns its
holdings: nobody can use them once it has stopped.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import app
from cyclamenwing.gateway import pools

TXN_PAUSE_S = 0.1


@pytest.fixture(autouse=True)
def short_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(app, "LOAD_BALANCER_DELAY_S", 0.2)


async def wait_for_holdings(gateway: app.Gateway, workspaces: int = 1) -> None:
    async with asyncio.timeout(5):
        while workspaces != sum(
            account.held > 0
            for account in gateway.board.escrow.accounts.values()
        ):
            await asyncio.sleep(0.01)


def read_held(gateway: app.Gateway) -> dict[str, int]:
    """Return what a gateway still holds, by workspace."""
    return {
        name: account.held
        for name, account in gateway.board.escrow.accounts.items()
        if account.held
    }


def test_holdings_of_more_workspaces_than_a_commit_takes_are_returned() -> (
    None
):
    tenants = [
        {"name": f"t{number}", "api_keys": [f"k{number}"], "prepaid": 100_000}
        for number in range(pools.MAX_POOLS_PER_COMMIT + 3)
    ]

    async def check() -> None:
        async with deployments.deploy() as deployment:
            (gateway,) = deployment.gateways
            await deployment.store.put(
                "op/config", deployments.make_configuration(2, tenants=tenants)
            )
            await wait_for_holdings(gateway, len(tenants))
            await gateway.close()
            assert read_held(gateway) == {}

    asyncio.run(check())


def test_tokens_of_a_draw_under_way_are_returned() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            (gateway,) = deployment.gateways
            await wait_for_holdings(gateway)
            account = gateway.board.escrow.accounts["t1"]
            held = account.held
            deployment.store.txn_pause_s = TXN_PAUSE_S
            account.wanted = held + 5000
            gateway._pools._draw_requested.set()
            while not account.open_commits:
                await asyncio.sleep(0)
            account.wanted = 0
            await gateway._end_requests()
            await gateway._return_holdings()
            gateway.stop()
            assert account.drawn == 0

    asyncio.run(check())


def test_gateway_that_stops_draws_no_tokens() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            (gateway,) = deployment.gateways
            await wait_for_holdings(gateway)
            account = gateway.board.escrow.accounts["t1"]
            drawn = account.drawn
            await gateway._end_requests()
            account.wanted = account.held + 5000
            gateway._pools._draw_requested.set()
            await asyncio.sleep(0.2)
            assert account.drawn == drawn

    asyncio.run(check())
