"""Explanation of where a request would go, and the command that prints it."""

from __future__ import annotations

import argparse
import asyncio
import hashlib

import msgspec
import pytest
from tests.gateway import deployments

from cyclamenwing.cli import main
from cyclamenwing.cli import where
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import explanation
from cyclamenwing.routing import evacuations
from cyclamenwing.transport import errors as transport_errors

OPERATOR_KEY = "operators-only"
DIGEST = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
QUERY = explanation.Query(
    virtual_host="API.example",
    path="/chat/x",
    workspace="t1",
    prompt_tokens=1460,
    output_tokens=80,
    parts=[("aa", 800), ("bb", 660)],
)


def explain(
    deployment: deployments.Deployment,
    query: explanation.Query = QUERY,
) -> explanation.Explanation:
    board = deployment.gateways[0].board
    return explanation.PlacementExplainer(board).explain(query)


def test_explained_endpoint_is_the_one_that_gets_the_request() -> None:
    """Guards against an explanation that differs from the decision."""

    async def check() -> None:
        async with deployments.deploy() as deployment:
            answer = explain(deployment)
            usable = [c for c in answer.candidates if not c.obstacles]
            assert len(usable) == 2
            headers = {
                "Token-Counts": b"1460,80",
                "Prompt-Prefix": b"aa:800,bb:660",
            }
            await deployment.send("chat", headers=headers)
            ran = [e.name for e in deployment.endpoints if e.runs]
            costs = {c.endpoint: c.cost_ms for c in usable}
            # Costs that differ by less than the affinity bonus are equal.
            assert len(set(costs.values())) == 1 or ran == [answer.endpoint]

    asyncio.run(check())


def test_explanation_sends_and_reserves_nothing() -> None:
    """Guards against an operator's question that costs a partner tokens."""

    async def check() -> None:
        async with deployments.deploy() as deployment:
            board = deployment.gateways[0].board
            account = board.escrow.open_account("t1")
            before = (account.held, account.reserved)
            for _ in range(20):
                explain(deployment)
            assert (account.held, account.reserved) == before
            assert deployment.count_runs("llm") == 0
            assert not any(
                state.in_flight for state in board.placement.sites.values()
            )

    asyncio.run(check())


def test_obstacles_of_endpoints_are_named() -> None:
    """Guards against a candidate that is shown as usable and is not."""

    async def check() -> None:
        async with deployments.deploy() as deployment:
            board = deployment.gateways[0].board
            now_s = clock.read_time()
            first, second = deployment.get_endpoints("llm")
            directory = board.directory
            directory.record_wait(
                directory.registered[first.name], now_s, 30.0
            )
            zone = directory.registered[second.name].zone
            directory.evacuations.apply(
                evacuations.Order(zone, 1, 99, True), now_s, live=False
            )
            answer = explain(deployment)
            found = {c.endpoint: c.obstacles for c in answer.candidates}
            assert answer.endpoint == ""
            assert "asked_for_a_pause" in found[first.name]
            assert "zone_evacuated" in found[second.name]

    asyncio.run(check())


@pytest.mark.parametrize(
    ("changes", "error"),
    [
        ({"path": "/nowhere/"}, errors.UnknownRouteError),
        ({"workspace": "nobody"}, errors.UnknownWorkspaceError),
        ({"service": "api"}, errors.UnknownServiceError),
    ],
)
def test_unknown_names_are_refused(
    changes: dict[str, str], error: type[errors.GatewayError]
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            query = msgspec.structs.replace(QUERY, **changes)
            with pytest.raises(error):
                explain(deployment, query)

    asyncio.run(check())


@pytest.mark.parametrize(
    ("digest", "key", "code"),
    [
        (DIGEST, OPERATOR_KEY, None),
        (DIGEST, "guessed", "operator_key_invalid"),
        ("", "", "operator_key_invalid"),
    ],
)
def test_command_needs_the_operators_key(
    monkeypatch: pytest.MonkeyPatch, digest: str, key: str, code: str | None
) -> None:
    """Guards against callers who learn loads and budgets of others."""
    monkeypatch.setenv("CYCLAMENWING_FLEET_KEY", key)

    async def check() -> None:
        deployment = deployments.Deployment()
        deployment.operator_key_sha256 = digest
        await deployment.start()
        try:
            control = deployment.gateways[0].board.settings.control
            args = main.make_parser().parse_args([
                "where",
                "/chat/x",
                f"--gateway={control}",
                "--host=api.example",
                "--workspace=t1",
                "--tokens=1460,80",
                "--part=aa:800",
            ])
            if code is None:
                answer = await where._ask(args)
                lines = where.describe(answer)
                assert answer.endpoint in {"m1", "m2"}
                assert any("budget of t1: asks 1540" in x for x in lines)
                assert sum("running 0" in line for line in lines) == 2
            else:
                with pytest.raises(
                    transport_errors.PeerRefusedError
                ) as caught:
                    await where._ask(args)
                assert caught.value.peer_code == code
        finally:
            for gateway in deployment.gateways:
                gateway.stop()
            for endpoint in deployment.endpoints:
                endpoint.stop()
            deployment.store.stop()

    asyncio.run(check())


@pytest.mark.parametrize("text", ["", "1", "a,b", "1,", "-1,2"])
def test_malformed_token_counts_are_refused(text: str) -> None:
    with pytest.raises(argparse.ArgumentTypeError):
        where.parse_size(text)


@pytest.mark.parametrize("text", ["", "a", "a:", ":3", "a:x"])
def test_malformed_parts_are_refused(text: str) -> None:
    with pytest.raises(argparse.ArgumentTypeError):
        where.parse_part(text)


def test_parts_with_colons_in_their_names_are_parsed() -> None:
    assert where.parse_part("a:b:3") == ("a:b", 3)
