"""Sharing of holdings between holders that see different demand.

Guards against tokens that stay at a holder without demand, against tokens that
go back and forth, and against shares that let more be used than was paid.
"""

from __future__ import annotations

import random

import pytest
from tests.budget import test_escrow

from cyclamenwing.budget import escrow
from cyclamenwing.budget import sharing

WORKSPACE = test_escrow.WORKSPACE


def test_holder_without_demand_gives_what_the_demand_needs() -> None:
    assert sharing.plan_share(10_000, 90_000, 5_000.0, 0.0) == 60_000
    assert sharing.plan_share(10_000, 30_000, 5_000.0, 0.0) == 30_000


def test_holdings_that_last_through_an_outage_stay_where_they_are() -> None:
    # A host that is lost should hold no more than its requests need.
    assert sharing.plan_share(70_000, 500_000, 5_000.0, 0.0) == 0


@pytest.mark.parametrize(
    ("held", "peer_held", "rate", "tokens"),
    [
        (0, 50_000, 0.0, 0),
        (0, 0, 5_000.0, 0),
        (0, 2 * sharing.MIN_SHARE_TOKENS - 2, 5_000.0, 0),
        (0, 2 * sharing.MIN_SHARE_TOKENS, 5_000.0, sharing.MIN_SHARE_TOKENS),
        # Both have nearly what suits their demand.
        (48_000, 52_000, 9_000.0, 0),
    ],
)
def test_calls_are_made_only_for_what_matters(
    held: int, peer_held: int, rate: float, tokens: int
) -> None:
    assert sharing.plan_share(held, peer_held, rate, rate) == tokens


@pytest.mark.parametrize("seed", range(50))
def test_share_never_goes_back(seed: int) -> None:
    rng = random.Random(seed)
    for _ in range(200):
        held = [rng.randrange(0, 200_000) for _ in range(2)]
        rates = [rng.choice([0.0, rng.random() * 30_000]) for _ in range(2)]
        tokens = sharing.plan_share(held[0], held[1], rates[0], rates[1])
        assert 0 <= tokens <= held[1]
        if tokens:
            back = sharing.plan_share(
                held[1] - tokens, held[0] + tokens, rates[1], rates[0]
            )
            assert back == 0


class SharingFleet(test_escrow.Fleet):
    """Exchange shares besides all other actions of the escrow's walk."""

    def do_notice(self, gateway: test_escrow.Gateway) -> None:
        super().do_notice(gateway)
        other = self.rng.choice(self.gateways)
        if other is gateway:
            return
        giver = other.account
        tokens = sharing.plan_share(
            gateway.account.held,
            giver.held,
            gateway.account.measure_rate(self.now_s),
            giver.measure_rate(self.now_s),
        )
        deducted = giver.deduct_transfer(tokens, self.now_s)
        giver.promise(tokens - deducted, self.now_s + sharing.PROMISE_S)
        if self.rng.random() < 0.8:
            gateway.account.add_transfer(deducted)
        if self.rng.random() < 0.5:
            self.commit(other, 0, lost=self.rng.random() < 0.3)


@pytest.mark.parametrize("seed", range(150))
def test_shares_never_let_gateways_overspend(seed: int) -> None:
    fleet = SharingFleet(seed)
    for _ in range(400):
        fleet.step()
    assert fleet.consumed > 0


def test_promise_raises_the_next_usage_bound_until_it_ends() -> None:
    account = test_escrow.open_account(50_000)
    resting = account.plan_usage_bound(0, 0.0).ceiling
    account.promise(80_000, 2.0)
    # No more than is held.
    assert account.plan_usage_bound(0, 1.0).ceiling == resting + 50_000
    assert account.plan_usage_bound(0, 2.0).ceiling == resting


@pytest.mark.parametrize(
    "gateways",
    # Up to 5 gateways all hold a workspace's tokens, of 20, 68 and 340 two do.
    [2, 4, 5],
)
@pytest.mark.parametrize("seed", range(20))
def test_shares_move_tokens_to_the_demand(gateways: int, seed: int) -> None:
    rng = random.Random(seed)
    held = [rng.randrange(0, 200_000) for _ in range(gateways)]
    rates = [0.0] * gateways
    denied: list[set[int]] = [set() for _ in held]
    total = sum(held)
    busy = rng.sample(range(gateways), 2)
    for holder in busy:
        rates[holder] = rng.uniform(0.4, 0.6) * total / 5
    calls = 0
    for _ in range(10 * gateways):
        for holder in busy:
            if len(denied[holder]) == gateways - 1:
                denied[holder].clear()
            peer = max(
                set(range(gateways)) - denied[holder] - {holder},
                key=lambda other: held[other],
            )
            tokens = sharing.plan_share(
                held[holder], held[peer], rates[holder], rates[peer]
            )
            held[peer] -= tokens
            held[holder] += tokens
            calls += tokens > 0
            if not tokens:
                # It is left out for a while, others are asked instead.
                denied[holder].add(peer)
            assert sum(held) == total
            assert min(held) >= 0
    assert sum(held[holder] for holder in busy) >= 0.6 * total
    # No tokens go round in circles.
    assert calls <= 2 * gateways


def test_share_of_a_giver_that_dies_at_once_is_not_spent_twice() -> None:
    # The next process on its host releases all that its usage bound did not
    # allow. The random walks do not find a share beyond the bound.
    giver = escrow.Escrow("giver")
    written, bounds = giver.begin_commit({WORKSPACE: 50_000}, 0.0)
    giver.finish_commit(1, written, bounds)
    account = giver.open_account(WORKSPACE)
    tokens = sharing.plan_share(0, account.held, 5_000.0, 0.0)
    given = account.deduct_transfer(tokens, 0.0)
    left = escrow.release_holder(
        written[WORKSPACE],
        "giver",
        bounds[WORKSPACE].compute_limit(0.0, late=True),
    )
    assert 0 < given < tokens
    assert given <= sum(left.values())
