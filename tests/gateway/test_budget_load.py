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
