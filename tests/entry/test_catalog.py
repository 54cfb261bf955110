"""Catalog revisions reach every process, also while the store is down.

An order under an older revision must not bypass a rule that became stricter.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from tests.entry import fleet

from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import catalog
from cyclamenwing.sidecar import errors


def list_revisions(processes: fleet.Fleet) -> set[int]:
    of_entries = {entry.board.catalog.revision for entry in processes.entries}
    return of_entries | {
        sidecar.board.revision for sidecar in processes.sidecars
    }


def test_change_reaches_all_processes_with_two_store_watches() -> None:
    async def run() -> None:
        async with fleet.open_fleet() as processes:
            seed = processes.start_entry("e0", "z0", []).peer_address
            for number in range(1, 5):
                processes.start_entry(f"e{number}", "z0", [seed])
            processes.start_sidecar("s0", [seed])
            first = await processes.publish(fleet.make_file())
            await fleet.wait_for(lambda: list_revisions(processes) == {first})
            await fleet.wait_for(
                lambda: all(
                    len(entry.board.members.members) == 5
                    for entry in processes.entries
                )
            )
            await fleet.wait_for(
                lambda: processes.store.state.open_watches <= 2
            )
            second = await processes.publish(fleet.make_file(idempotent=True))
            await fleet.wait_for(lambda: list_revisions(processes) == {second})
            assert processes.store.state.open_watches == 2

    asyncio.run(run())


def test_replaced_entry_loads_catalog_from_peers_while_store_is_down() -> None:
    async def run() -> None:
        async with fleet.open_fleet() as processes:
            other = processes.start_entry("e0", "z0", [])
            old = processes.start_entry("e1", "z1", [other.peer_address])
            first = await processes.publish(fleet.make_file())
            await fleet.wait_for(lambda: list_revisions(processes) == {first})
            processes.table.faults = [fleet.DOWN]
            await processes.stop(old)
            fresh = processes.start_entry("e1", "z1", [other.peer_address])
            # An entry without a catalog revision must not count as a source.
            alone = processes.start_entry("e2", "z2", [])
            await fleet.wait_for(lambda: fresh.board.catalog.revision == first)
            answer = await processes.client.fetch(
                "GET",
                f"http://{alone.address}/services/records/x",
                {},
                None,
                5.0,
            )
            assert (answer.status, answer.headers["Retry-After"]) == (503, "1")
            assert b'"not_ready"' in answer.body
            assert b'"not_run"' in answer.body
            processes.table.faults = []
            await fleet.wait_for(lambda: list_revisions(processes) == {first})

    asyncio.run(run())


def test_entries_find_each_other_by_the_host_list() -> None:
    async def run() -> None:
        async with fleet.open_fleet() as processes:
            one = processes.start_entry("e0", "z0", [])
            processes.hosts.state.hosts = [
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
            two = processes.start_entry("e1", "z0", [])
            # The seed is unreachable: the sidecar has only the host list.
            processes.start_sidecar("s0", ["127.0.0.1:1"])
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


# Each row: the call rule in force at revision 5, the order, and whether it
# is refused.
ORDERS: tuple[tuple[Any, Any, bool], ...] = (
    ({}, make_order(4), True),
    ({}, make_order(4, idempotent=False), False),
    ({}, make_order(5), False),
    ({"idempotent": True}, make_order(4), False),
    ({"path": "/other", "idempotent": True}, make_order(4), True),
    ({}, make_order(4, protocol="chat"), False),
)


@pytest.mark.parametrize(("rule", "order", "refused"), ORDERS)
def test_order_of_older_revision_is_checked_against_current_rules(
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
    with pytest.raises(errors.StaleRulesError) as refusal:
        rules.check_order(order)
    assert refusal.value.run == "not_run"
