"""Load: demand that jumps, and cuts from the store, near the end of budgets.

Requests were refused for tokens that other gateways held, or that the usage
bound did not allow. The fleets run without network in simulated time.
"""

from __future__ import annotations

import asyncio

from tests.gateway import virtual_fleet

from cyclamenwing.gateway import app

HOSTS = [
    (f"h-{zone}-{number}", zone, 2.0 if number == 1 else 1.0)
    for zone in ("a", "b", "c", "d", "e")
    for number in (1, 2, 3)
]


def find_holders(fleet: virtual_fleet.Fleet, workspace: str) -> list[str]:
    """Return the holders of a workspace, the one that is asked first first."""
    some = next(iter(fleet.gateways.values())).board.roster
    ranked = [member.host for member in some._rank_holders(workspace)]
    return ranked[: some.count_holders()]


def find_other_delegate(
    fleet: virtual_fleet.Fleet, workspace: str
) -> app.Gateway:
    """Return a delegate that does not hold a workspace's tokens."""
    return next(
        gateway
        for gateway in fleet.gateways.values()
        if gateway.board.roster.acts_as_delegate
        and not gateway.board.roster.holds(workspace)
    )


def test_delegate_that_asks_another_for_tokens_still_hears_its_holdings() -> (
    None
):
    # Gossip to an attached gateway has no holdings: a delegate taken for one
    # refuses requests for good that another gateway has tokens for.
    async def check(fleet: virtual_fleet.Fleet) -> None:
        # Between two rounds of gossip.
        await asyncio.sleep(0.1)
        asking = find_other_delegate(fleet, "w1")
        holder = fleet.gateways[find_holders(fleet, "w1")[0]]
        await asking._reservations.reserve("w1", 100_000, 500, 0.5, 2.0)
        now_s = asyncio.get_running_loop().time()
        host = asking.board.settings.host
        assert host not in holder.board.roster.list_attached(now_s)
        message = holder._peers.gossip.build_message(f"{host}:1", host)
        assert message.held["w1"] > 0

    virtual_fleet.run(HOSTS, {"w1": 100_000}, check)


def make_demand(
    rate: float, from_s: float, to_s: float, tokens: int = 4_000
) -> list[virtual_fleet.Demand]:
    """Return requests of one size, spread evenly, at a rate of tokens."""
    count = int(rate * (to_s - from_s) / tokens)
    step_s = (to_s - from_s) / count
    return [
        virtual_fleet.Demand(
            from_s + number * step_s, "w1", tokens, tokens, 0.3
        )
        for number in range(count)
    ]


def test_large_request_waits_at_the_holder_for_its_usage_bound() -> None:
    # The bound allows it within the client's patience. It was refused after
    # 0.3 of its goal, and its return as well if others came first.
    async def check(fleet: virtual_fleet.Fleet) -> None:
        large = virtual_fleet.Demand(8.5, "w1", 60_000, 60_000, 0.3)
        async with asyncio.TaskGroup() as group:
            group.create_task(
                fleet.play([*make_demand(8_000, 0.0, 10.0), large])
            )
            group.create_task(fleet.cut_store(6.0, 14.0))

    fleet = virtual_fleet.run(HOSTS, {"w1": 500_000}, check)
    refused = [
        message
        for _, _, message in fleet.lines
        if message["message_type"] == "request:refused"
    ]
    assert not any("60000" in message["reason"] for message in refused)


def test_budget_is_not_spent_while_a_request_may_give_tokens_back() -> None:
    # Requests reserve the most that they may use. What is left is at other
    # gateways for up to 2 s, where no holder sees it.
    async def check(fleet: virtual_fleet.Fleet) -> None:
        holder = fleet.gateways[find_holders(fleet, "w1")[0]]
        rest = holder._reservations._rest
        await holder._reservations.reserve("w1", 100_000, 20_000, 0.5, 2.0)
        await asyncio.sleep(0.5)
        assert not rest.exceeds("w1", 100_000, 80_400)
        assert rest.exceeds("w1", 100_000, 81_000)
        await asyncio.sleep(5.0)
        # The pool has to be known anew for a final refusal.
        now_s = asyncio.get_running_loop().time()
        holder.board.pools_updated_s["w1"] = now_s
        assert rest.exceeds("w1", 100_000, 80_400)

    virtual_fleet.run(HOSTS, {"w1": 100_000}, check)
