"""Loss of all processes in an outage of the store.

What the dead processes held counted as used, although most of it was not, so
requests that the budget covered were refused with 402.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.gateway import virtual_fleet

RATE = 21_000.0
REQUEST_TOKENS = 1_600
CUT_S, LOSS_S, HEAL_S, RESTART_S = 8.0, 16.0, 16.7, 17.0
JUDGED_S, END_S = 29.0, 59.0


def make_demand(from_s: float, to_s: float) -> list[virtual_fleet.Demand]:
    """Return a steady demand."""
    count = int(RATE * (to_s - from_s) / REQUEST_TOKENS)
    return [
        virtual_fleet.Demand(
            from_s + (to_s - from_s) * number / count,
            "w1",
            REQUEST_TOKENS,
            REQUEST_TOKENS,
            0.5,
        )
        for number in range(count)
    ]


@pytest.mark.parametrize("hosts", [4, 20])
def test_requests_are_served_after_a_loss_of_all_in_an_outage(
    hosts: int,
) -> None:
    # Guards against 402 while two fifths of the budget are unused.
    async def check(fleet: virtual_fleet.Fleet) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(fleet.cut_store(CUT_S, HEAL_S))
            group.create_task(fleet.play(make_demand(0.0, LOSS_S - 0.6)))
        await asyncio.sleep(LOSS_S - HEAL_S + RESTART_S - LOSS_S)
        fleet.restart()
        await asyncio.sleep(1.0)
        await fleet.play(make_demand(RESTART_S + 1.0, END_S))

    async def lose(fleet: virtual_fleet.Fleet) -> None:
        await asyncio.sleep(LOSS_S)
        for host in fleet.gateways:
            fleet.lose(host)

    async def play(fleet: virtual_fleet.Fleet) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(check(fleet))
            group.create_task(lose(fleet))

    fleet = virtual_fleet.run(
        [(f"h-{n}", f"z{n % 4}", 1.0) for n in range(hosts)],
        {"w1": 1_000_000},
        play,
    )
    ended = [
        message["spent"]
        for at_s, _, message in fleet.lines
        if message["message_type"] == "request:done" and at_s > JUDGED_S
    ]
    served = sum(spent > 0 for spent in ended)
    assert served >= len(ended) / 4
    total = sum(
        message["spent"]
        for _, _, message in fleet.lines
        if message["message_type"] == "request:done"
    )
    assert total <= 1_000_000
