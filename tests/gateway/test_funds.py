"""Reservations: when a refused request had better come back."""

from __future__ import annotations

import asyncio

import pytest
from tests.gateway import deployments

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import funds
from cyclamenwing.transport import h1


@pytest.mark.parametrize(
    ("age_s", "return_s"),
    [
        # Holdings can be used from 3.4 s on.
        (0.4, 3.0),
        (2.4, 1.0),
        (3.3, funds.MIN_RETURN_S),
        # They could, and still were too little.
        (5.0, funds.RETURN_S),
    ],
)
def test_refused_request_returns_when_holdings_can_be_used(
    age_s: float, return_s: float
) -> None:
    assert funds.predict_return(age_s) == pytest.approx(return_s)


@pytest.mark.parametrize("outage", [False, True])
def test_outage_of_the_store_delays_the_return(
    outage: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # More than the whole budget, to be refused either way.
    size = {"Token-Counts": b"%d,0" % (deployments.PREPAID + 1)}
    monkeypatch.setattr(funds.Funds, "_is_hopeless", lambda *_: False)

    async def play() -> None:
        async with deployments.deploy() as found:
            board = found.gateways[0].board
            await asyncio.sleep(1.0)
            if outage:
                found.store.fault = 503
            head, body = await found.ask("chat", headers=size)
            assert (head.status, b"budget_unreachable" in body) == (503, True)
            age_s = clock.read_time() - board.record_at_s
            after = h1.find_header(head.headers, b"retry-after")
            expected_s = funds.RETURN_S
            if outage:
                expected_s = escrow.OUTAGE_AGE_S + funds.NOTICE_S - age_s
            assert float(after or 0) == pytest.approx(expected_s, abs=0.1)

    asyncio.run(play())
