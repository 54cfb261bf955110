"""Speeds of endpoints in gossip: each observation counts once everywhere.

If a delegate passed on what other delegates told it, an endpoint would seem
better known than it is, and chance differences would count as speed.
"""

from __future__ import annotations

import asyncio
import itertools
import types
from typing import Any

import msgspec
import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import clock
from cyclamenwing.gateway import rate_notices
from cyclamenwing.metrics import recorder
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import engine_rates
from cyclamenwing.routing import placement

FLEET = [
    endpoints.Endpoint(f"e{n}", "llm", f"10.0.0.{n}:80", "a", 64, False, 7)
    for n in range(8)
]
SLOW = engine_rates.Observation(6, 0.5)
TYPICAL = engine_rates.Observation(6, 0.0)


class Gateway:
    """Hold the exchange of one gateway.

    :param delegate: host of the delegate that it is attached to, empty if it
        is one itself
    """

    def __init__(self, host: str, delegate: str = "") -> None:
        self.host = host
        self.delegate = delegate
        self.placement = placement.Placement("a")
        board: Any = types.SimpleNamespace(
            placement=self.placement,
            metrics=recorder.Recorder(),
            roster=types.SimpleNamespace(acts_as_delegate=not delegate),
            directory=types.SimpleNamespace(
                registered={e.name: e for e in FLEET}
            ),
        )
        self.exchange = rate_notices.RateNoticeExchange(board)
        for endpoint in FLEET:
            self.placement.ensure_state(endpoint)

    def send(self, other: Gateway, lost: bool = False) -> bytes:
        """Send one message; return it."""
        now_s = clock.read_time()
        serves = other.delegate == self.host
        built = self.exchange.build(other.host, serves, other.host, now_s)
        data = msgspec.json.encode(built)
        if not lost:
            other.exchange.merge(
                msgspec.json.decode(
                    data, type=rate_notices.RateNotices | None
                ),
                self.host,
                not self.delegate,
                now_s,
            )
            self.exchange.record_delivered(other.host, built, now_s)
        return data

    def count(self, endpoint: endpoints.Endpoint) -> int:
        """Return the observations of an endpoint that this gateway counts."""
        rates = self.placement.rates._services.get("llm")
        tally = rates and rates.tallies.get(endpoint.incarnation)
        # The first observation of a size is not compared with any.
        return round(tally.count) if tally else 0

    def refresh(self) -> None:
        """Renew the estimates now."""
        self.placement.rates._refreshed_s = 0.0
        self.exchange.refresh(clock.read_time())


def test_observation_reaches_each_delegate_once() -> None:
    delegates = [Gateway(f"d{n}") for n in range(3)]
    attached = Gateway("x", "d0")
    for gateway in delegates:
        gateway.exchange.record(FLEET[0], TYPICAL)
    attached.exchange.record(FLEET[0], TYPICAL)
    for _ in range(4):
        attached.send(delegates[0])
        for one, two in itertools.permutations(delegates, 2):
            one.send(two)
    # Four observations; the first of each gateway has nothing to be compared
    # with.
    assert [d.count(FLEET[0]) for d in delegates] == [3, 3, 3]


def test_lost_message_is_made_up_for_by_the_next_one() -> None:
    one, two = Gateway("d0"), Gateway("d1")
    for _ in range(3):
        one.exchange.record(FLEET[0], TYPICAL)
    one.send(two, lost=True)
    one.send(two)
    one.send(two)
    assert two.count(FLEET[0]) == 2


def test_repeated_message_changes_nothing() -> None:
    one, two = Gateway("d0"), Gateway("d1")
    for _ in range(3):
        one.exchange.record(FLEET[0], TYPICAL)
    now_s = clock.read_time()
    built = one.exchange.build("d1", False, "d1", now_s)
    for _ in range(3):
        two.exchange.merge(built, "d0", True, now_s)
    assert two.count(FLEET[0]) == 2


def test_restarted_delegate_is_told_again_and_counts_again() -> None:
    one, two = Gateway("d0"), Gateway("d1")
    one.exchange.record(FLEET[0], TYPICAL)
    one.exchange.record(FLEET[0], TYPICAL)
    one.send(two)
    two.exchange.record(FLEET[1], TYPICAL)
    two.send(one)
    restarted = Gateway("d1")
    one.exchange.forget("d1", "d1")
    one.send(restarted)
    assert restarted.count(FLEET[0]) == 1
    restarted.exchange.record(FLEET[0], TYPICAL)
    one.exchange.merge(
        restarted.exchange.build("d0", False, "d0", clock.read_time()),
        "d1",
        True,
        clock.read_time(),
    )
    assert one.count(FLEET[0]) == 2


def test_attached_gateway_uses_what_its_delegate_learned() -> None:
    delegate, attached = Gateway("d0"), Gateway("x", "d0")
    for _ in range(60):
        for endpoint in FLEET:
            slow = endpoint is FLEET[3]
            delegate.exchange.record(endpoint, SLOW if slow else TYPICAL)
    delegate.refresh()
    data = delegate.send(attached)
    # Typical endpoints are not sent.
    assert data.count(b"e3") == 1
    assert b"e1" not in data
    attached.refresh()
    states = [attached.placement.ensure_state(e).slowness for e in FLEET]
    assert states[3] > 1.4
    assert states[:3] + states[4:] == [1.0] * 7
    # Nothing has changed since.
    assert delegate.send(attached) == b"null"
    delegate.placement.rates.estimates = {}
    assert b"100" in delegate.send(attached)
    attached.refresh()
    assert attached.placement.ensure_state(FLEET[3]).slowness == 1.0


def test_messages_are_bounded_and_all_estimates_follow() -> None:
    delegate = Gateway("d0")
    for _ in range(2 * rate_notices.MAX_OBSERVATIONS):
        delegate.exchange.record(FLEET[0], TYPICAL)
    built = delegate.exchange.build("d1", False, "d1", clock.read_time())
    assert built is not None
    assert len(built.seen) == rate_notices.MAX_OBSERVATIONS
    delegate.placement.rates.estimates = {
        (f"s{n}", 7, "10.0.0.9:80"): engine_rates.Estimate(1.5, 30, 0.1)
        for n in range(150)
    }
    delegate.placement.rates._refreshed_s = clock.read_time()
    sent = set()
    for _ in range(3):
        now_s = clock.read_time()
        built = delegate.exchange.build("x", True, "x", now_s)
        assert built is not None
        assert len(built.known) <= rate_notices.MAX_ESTIMATES
        sent |= {item.endpoint for item in built.known}
        delegate.exchange.record_delivered("x", built, now_s)
    assert len(sent) == 150
    delegate.placement.rates.estimates = {}
    built = delegate.exchange.build("x", True, "x", now_s)
    assert built is not None
    assert len(built.known) == rate_notices.MAX_ESTIMATES


@pytest.mark.parametrize(
    ("route", "headers"),
    [("chat", {"Token-Counts": b"1000,100"}), ("read", {})],
)
def test_times_to_answers_are_observed_while_serving(
    route: str, headers: dict[str, bytes]
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            board = deployment.gateways[0].board
            for _ in range(6):
                head, _ = await deployment.send(
                    route, b"POST" if headers else b"GET", headers=headers
                )
                assert head.status == 200
            services = board.placement.rates._services.values()
            counts = [
                tally.count for r in services for tally in r.tallies.values()
            ]
            # The first one of a size has nothing to be compared with.
            assert sum(counts) > 2

    asyncio.run(check())
