"""Prepaid tokens of a gateway that leaves.

Guards against tokens that a process takes or draws while it returns its
holdings: nobody can use them once it has stopped.
"""

from __future__ import annotations

import asyncio
import types
from typing import Any

import msgspec
import pytest
from tests.gateway import deployments

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import app
from cyclamenwing.gateway import gossip_messages
from cyclamenwing.gateway import grant_messages
from cyclamenwing.gateway import grants
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import pools
from cyclamenwing.membership import delegates
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import pooled_client

SIZE = {"Token-Counts": b"1000,400", "Prompt-Prefix": b"aa:800,bb:200"}
TXN_PAUSE_S = 0.1
CALLS = {
    grants.GRANT_PATH: msgspec.json.encode(
        grant_messages.GrantRequest("g9", "t1", 500, 0.2, 0.05)
    ),
    grants.RETURN_PATH: msgspec.json.encode({"t1": 500}),
    peers.TRANSFER_PATH: msgspec.json.encode(
        gossip_messages.TransferRequest("t1", 500, "g9-1")
    ),
}


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


@pytest.mark.parametrize("path", CALLS)
def test_gateway_that_returns_its_holdings_refuses_tokens(path: str) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            (gateway,) = deployment.gateways
            await wait_for_holdings(gateway)
            deployment.store.txn_pause_s = TXN_PAUSE_S
            closing = asyncio.ensure_future(gateway.close())
            while gateway.board.escrow.accounts["t1"].held:
                await asyncio.sleep(0.005)
            status, _ = await pooled_client.PooledClient().call(
                gateway._settings.control, "POST", path, CALLS[path], 1.0
            )
            await closing
            assert read_held(gateway) == {}
            assert status == 503

    asyncio.run(check())


@pytest.mark.parametrize(
    "failure", [None, transport_errors.ConnectFailedError("refused")]
)
def test_tokens_refused_by_a_delegate_are_returned_to_the_next(
    failure: transport_errors.TransportError | None,
) -> None:
    called = []

    async def call(address: str, *_: object) -> tuple[int, bytes]:
        called.append(address)
        if address == "a:2":
            return 200, b"{}"
        if failure is not None:
            raise failure
        return 503, b""

    members = [
        delegates.Member(f"g{number}", f"a:{number}", "z1", 1, 0)
        for number in (1, 2, 3)
    ]
    board: Any = types.SimpleNamespace(
        roster=types.SimpleNamespace(find_holders=lambda *_: members)
    )
    http: Any = types.SimpleNamespace(call=call)
    client = grants.GrantClient(board, http)
    assert asyncio.run(client.return_tokens("t1", 500))
    assert called == ["a:1", "a:2"]


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


def test_tokens_granted_to_an_interrupted_request_are_returned(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The grace ends at once.
    monkeypatch.setattr(app, "SHUTDOWN_MARGIN_S", 4.0)

    async def check() -> None:
        async with deployments.deploy(
            delegates.MIN_DELEGATES + 1
        ) as deployment:
            async with asyncio.timeout(5):
                while not (leaves := list_leaves(deployment)):
                    await asyncio.sleep(0.02)
            leaf = deployment.gateways[leaves[0]]
            request_grant = leaf._reservations._request_grant
            granted = asyncio.Event()

            async def receive_late(
                request: grant_messages.GrantRequest,
            ) -> grant_messages.GrantReply | None:
                reply = await request_grant(request)
                granted.set()
                await asyncio.sleep(0.1)
                return reply

            monkeypatch.setattr(
                leaf._reservations, "_request_grant", receive_late
            )
            sent = asyncio.ensure_future(
                deployment.send("chat", gateway=leaves[0], headers=SIZE)
            )
            await granted.wait()
            await leaf.close()
            head, _ = await sent
            assert head.status == 503
            await asyncio.sleep(0.2)
            accounts = [open_account(g) for g in deployment.gateways]
            assert sum(a.given - a.received for a in accounts) == 0
            assert open_account(leaf).held == 0

    asyncio.run(check())


def open_account(gateway: app.Gateway) -> escrow.WorkspaceAccount:
    return gateway.board.escrow.open_account("t1")


def list_leaves(deployment: deployments.Deployment) -> list[int]:
    """Return the numbers of the gateways that are attached and retired."""
    return [
        number
        for number, gateway in enumerate(deployment.gateways)
        if not gateway.board.roster.acts_as_delegate
        and gateway.board.roster.find_delegates(0.0)
        and not gateway.board.record_written_s
        and open_account(gateway).held == 0
    ]
