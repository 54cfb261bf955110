from __future__ import annotations

import asyncio
from typing import Any

import pytest
from tests.entry import fleet

from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import catalog
from cyclamenwing.sidecar import errors


def revisions(made: fleet.Fleet) -> set[int]:
    found = {entry.board.catalog.revision for entry in made.entries}
    return found | {sidecar.board.revision for sidecar in made.sidecars}


def test_change_reaches_all_by_few_watches() -> None:
    async def run() -> None:
        async with fleet.open_fleet() as made:
            seed = made.start_entry("e0", "z0", []).peer_address
            for number in range(1, 5):
                made.start_entry(f"e{number}", "z0", [seed])
            made.start_sidecar("s0", [seed])
            first = await made.publish(fleet.make_file())
            await fleet.wait_for(lambda: revisions(made) == {first})
            await fleet.wait_for(
                lambda: all(
                    len(entry.board.members.members) == 5
                    for entry in made.entries
                )
            )
            await fleet.wait_for(lambda: made.store.state.open_watches <= 2)
            second = await made.publish(fleet.make_file(idempotent=True))
            await fleet.wait_for(lambda: revisions(made) == {second})
            assert made.store.state.open_watches == 2

    asyncio.run(run())


def test_zone_replaced_while_the_store_is_down() -> None:
    async def run() -> None:
        async with fleet.open_fleet() as made:
            other = made.start_entry("e0", "z0", [])
            old = made.start_entry("e1", "z1", [other.peer_address])
            first = await made.publish(fleet.make_file())
            await fleet.wait_for(lambda: revisions(made) == {first})
            made.table.faults = [fleet.DOWN]
            await made.stop(old)
            fresh = made.start_entry("e1", "z1", [other.peer_address])
            # A stale process has nothing and must not count as a source.
            alone = made.start_entry("e2", "z2", [])
            await fleet.wait_for(lambda: fresh.board.catalog.revision == first)
            answer = await made.client.fetch(
                "GET",
                f"http://{alone.address}/services/records/x",
                {},
                None,
                5.0,
            )
            assert (answer.status, answer.headers["Retry-After"]) == (503, "1")
            assert b'"not_ready"' in answer.body
            assert b'"not_run"' in answer.body
            made.table.faults = []
            await fleet.wait_for(lambda: revisions(made) == {first})

    asyncio.run(run())


def test_entries_find_each_other_by_the_host_list() -> None:
    async def run() -> None:
        async with fleet.open_fleet() as made:
            one = made.start_entry("e0", "z0", [])
            made.hosts.state.hosts = [
                {
                    "host": host,
                    "role": "entry",
                    "zone": "z0",
                    "address": address,
                    "state": "live",
                }
                for host, address in (
                    ("e0", one.peer_address),
                    ("dead", "127.0.0.1:1"),
                )
            ]
            two = made.start_entry("e1", "z0", [])
            # Its seed is gone, so it has only the list.
            made.start_sidecar("s0", ["127.0.0.1:1"])
            expected = {"e0": {"e1", "s0"}, "e1": {"e0", "s0"}}
            await fleet.wait_for(
                lambda: (
                    {
                        entry.board.host: set(entry.board.members.members)
                        for entry in (one, two)
                    }
                    == expected
                )
            )

    asyncio.run(run())


def make_order(revision: int, **fields: Any) -> Any:
    return {
        "revision": revision,
        "protocol": "plain",
        "method": "POST",
        "path": "/decisions?x=1",
        "idempotent": True,
        **fields,
    }


# Each row: the rule in force at revision 5, the order, and the refusal.
ORDERS: tuple[tuple[Any, Any, bool], ...] = (
    ({}, make_order(4), True),
    ({}, make_order(4, idempotent=False), False),
    ({}, make_order(5), False),
    ({"idempotent": True}, make_order(4), False),
    ({"path": "/other", "idempotent": True}, make_order(4), True),
    ({}, make_order(4, protocol="chat"), False),
)


@pytest.mark.parametrize(("rule", "order", "refused"), ORDERS)
def test_order_by_rules_that_became_stricter(
    rule: Any, order: Any, refused: bool
) -> None:
    board = blackboard.SidecarBoard("s", "z", "i", "records")
    rules = catalog.Rules(board, False)
    route = fleet.make_file(**rule)["routes"][0]
    assert rules.adopt({"revision": 5, "route": route})
    assert not rules.adopt({"revision": 4, "route": None})
    if not refused:
        rules.check_order(order)
        return
    with pytest.raises(errors.StaleRulesError) as caught:
        rules.check_order(order)
    assert caught.value.run == "not_run"
