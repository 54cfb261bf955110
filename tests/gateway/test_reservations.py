"""Retry-After of requests that lack tokens during an outage of the store.

Holdings become usable only when the usage bound enters its late phase; clients
that retry earlier are refused again.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.gateway import deployments

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import budget_rest
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import release_loop
from cyclamenwing.gateway import token_waits
from cyclamenwing.routing import return_times
from cyclamenwing.transport import h1

# Timeout of the route.
TIMEOUT_S = 2.0


@pytest.mark.parametrize(
    ("age_s", "retry_after_s"),
    [
        # Holdings become usable at a record age of 3.4 s.
        (0.4, 3.0),
        (2.4, 1.0),
        (3.3, token_waits.MIN_RETRY_AFTER_S),
        # They are usable already and still too few.
        (5.0, token_waits.RETRY_AFTER_S),
    ],
)
def test_outage_retry_after_ends_when_holdings_become_usable(
    age_s: float, retry_after_s: float
) -> None:
    assert token_waits.compute_retry_after(age_s) == pytest.approx(
        retry_after_s
    )


@pytest.mark.parametrize(("window_s", "status"), [(20.0, 503), (0.6, 402)])
def test_budget_is_not_spent_while_holdings_may_be_released(
    window_s: float, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(release_loop, "PREDECESSOR_WINDOW_S", window_s)
    # There is no evidence of the age of its record.
    dead = record_age.Predecessor("dead-1", {}, None, None)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            board = deployment.gateways[0].board
            board.predecessors.append(dead)
            await asyncio.sleep(1.5)
            board.started_s -= token_waits.STARTUP_WAIT_S
            # The rest of the pool belongs to the process that died.
            pool = board.escrow.open_pool("t1")
            pool.holders[dead.holder] = deployments.PREPAID - pool.drawn
            head, _ = await deployment.send(
                "chat",
                headers={"Token-Counts": b"%d,0" % (deployments.PREPAID - 5)},
            )
            assert head.status == status

    asyncio.run(check())


@pytest.mark.parametrize("outage", [False, True])
def test_store_outage_lengthens_retry_after(
    outage: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # More than the whole budget, so that the request is always refused.
    size = {"Token-Counts": b"%d,0" % (deployments.PREPAID + 1)}
    monkeypatch.setattr(budget_rest.BudgetRest, "exceeds", lambda *_: False)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            board = deployment.gateways[0].board
            await asyncio.sleep(1.0)
            if outage:
                deployment.store.error_status = 503
            # The goal of "chat" is longer than its timeout: nobody who has
            # waited for tokens there could be served after returning.
            route = "chat" if outage else "resume"
            sent_s = clock.read_time()
            head, body = await deployment.send(route, headers=size)
            left_s = sent_s + TIMEOUT_S - clock.read_time()
            assert (head.status, b"budget_unreachable" in body) == (503, True)
            age_s = clock.read_time() - board.record_written_s
            after = h1.find_header(head.headers, b"retry-after")
            if not outage:
                # The usual time lies beyond what the client honours, so it is
                # spread over the later half of that.
                honoured_s = left_s * return_times.HONOURED_SHARE
                assert honoured_s / 2 - 0.05 < float(after or 0)
                assert float(after or 0) <= honoured_s + 0.05
                return
            expected_s = (
                escrow.OUTAGE_AGE_S + token_waits.OUTAGE_GOSSIP_S - age_s
            )
            assert float(after or 0) == pytest.approx(expected_s, abs=0.1)

    asyncio.run(check())
