"""Orders to endpoints under leases and fencing tokens.

A holder that is paused past its lease, or an order that is repeated, must not
change an endpoint that another holder has given orders since.
"""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import pytest
from tests.entry import fleet

from cyclamenwing import errors as base_errors
from cyclamenwing.cli import main
from cyclamenwing.cli import remote
from cyclamenwing.membership import errors
from cyclamenwing.membership import fencing
from cyclamenwing.membership import orders
from cyclamenwing.standin import engine
from cyclamenwing.standin import faults
from cyclamenwing.store import keys


def make_order(
    order_id: str, lease: orders.OrderLease
) -> orders.EndpointOrder:
    return {
        "id": order_id,
        "route": lease.route,
        "kind": "load_version",
        "value": order_id,
        "number": lease.number,
        "holder": lease.holder,
    }


def test_weight_store_slots_keep_the_rate() -> None:
    record: orders.SlotRecord = {"next_at": 0.0, "commits": []}
    reserved = [orders.reserve_slot(record, 100.0, 12) for _ in range(3)]
    assert reserved == [100.0, 105.0, 110.0]
    assert orders.reserve_slot(record, 300.0, 12) == 300.0


class OrderScenario:
    """Run the steps of a scenario on an engine, its sidecar and lease holders.

    The methods are the steps; `refusals` holds the error code of each order
    sent, empty if it was executed.
    """

    def __init__(self, processes: fleet.Fleet, checks: bool) -> None:
        state = engine.EngineState(
            "m", faults.FaultTable(), checks_fence=checks
        )
        self.fleet = processes
        self.engine = engine.EngineStandin(fleet.LOOPBACK, state)
        self.sidecar = processes.start_sidecar("s0", [], self.engine.address)
        self.now = 0.0
        self.lease_manager = fencing.LeaseManager(
            processes.store_client, lambda: self.now
        )
        self.leases: dict[str, orders.OrderLease] = {}
        self.sent: list[str] = []
        self.refusals: list[str] = []

    @property
    def applied(self) -> list[str]:
        applied = self.engine.state.orders.applied
        return [order["value"] for order in applied]

    async def take(self, who: str) -> None:
        try:
            self.leases[who] = await self.lease_manager.acquire("r", who)
        except errors.OrderHeldError as err:
            self.refusals.append(err.code)

    async def drop(self, who: str) -> None:
        await self.lease_manager.release(self.leases[who])

    async def send(self, who: str) -> None:
        count = len([item for item in self.sent if item[0] == who])
        self.sent.append(f"{who}{'ab'[count]}")
        await self.repeat(who)

    async def repeat(self, who: str) -> None:
        order = make_order(self.sent[-1], self.leases[who])
        code = ""
        try:
            await self.fleet.client.call(
                f"http://{self.sidecar.address}/v1/orders",
                order,
                orders.OrderReply,
                5.0,
            )
        except base_errors.CodedError as err:
            code = str(getattr(err, "peer_code", err.code))
        self.refusals.append(code)

    async def lapse(self, _who: str) -> None:
        self.now += orders.LEASE_TTL_S
        data = self.fleet.store.state.data
        data.expire_leases(time.monotonic() + orders.LEASE_TTL_S + 1)

    async def restart(self, _who: str) -> None:
        await self.fleet.stop(self.sidecar)
        self.sidecar = self.fleet.start_sidecar("s0", [], self.engine.address)

    async def fail(self, how: str) -> None:
        self.fleet.table.faults = FAULTS[how]


# Each scenario: its steps, with the holder as argument, the error codes of the
# orders sent and the orders that the engine has executed.
SCENARIOS: dict[str, tuple[str, list[str], list[str]]] = {
    "one holder": ("take-1 send-1 send-1", ["", ""], ["1a", "1b"]),
    "repeated order": ("take-1 send-1 repeat-1", ["", ""], ["1a"]),
    "second holder waits": (
        "take-1 take-2 send-1",
        ["order_held", ""],
        ["1a"],
    ),
    "paused past the lease without a successor": (
        "take-1 lapse send-1",
        ["stale_order"],
        [],
    ),
    "paused past the lease, another holder acquired it": (
        "take-1 lapse take-2 send-2 send-1",
        ["", "stale_order"],
        ["2a"],
    ),
    "paused, before the other holder sent an order": (
        "take-1 lapse take-2 send-1 send-2",
        ["stale_order", ""],
        ["2a"],
    ),
    "sidecar restarts in between": (
        "take-1 send-1 lapse take-2 restart send-1 send-2",
        ["", "stale_order", ""],
        ["1a", "2a"],
    ),
    "store down": (
        "take-1 fail-down send-1 fail-up send-1",
        ["order_unconfirmed", ""],
        ["1b"],
    ),
    "store down after a restart": (
        "take-1 send-1 restart fail-down send-1",
        ["", "order_unconfirmed"],
        ["1a"],
    ),
    "released and acquired by another holder": (
        "take-1 send-1 drop-1 take-2 send-2 send-1",
        ["", "", "stale_order"],
        ["1a", "2a"],
    ),
    "lost answer of the claim": ("fail-lost take-1 send-1", [""], ["1a"]),
}


@pytest.mark.parametrize("checks", [False, True])
@pytest.mark.parametrize("title", SCENARIOS)
def test_orders_are_fenced(title: str, checks: bool) -> None:
    steps, refusals, applied = SCENARIOS[title]

    async def run() -> tuple[list[str], list[str]]:
        async with fleet.open_fleet() as processes:
            scenario = OrderScenario(processes, checks)
            for step in steps.split():
                name, _, argument = step.partition("-")
                await getattr(scenario, name)(argument)
            await scenario.engine.close()
            return scenario.refusals, scenario.applied

    assert asyncio.run(run()) == (refusals, applied)


FAULTS: dict[str, list[faults.Fault]] = {
    "up": [],
    "down": [fleet.DOWN],
    "lost": [
        {
            "call": "kv/txn",
            "kind": "lost_answer",
            "skip": 0,
            "count": 1,
            "delay_s": 0.0,
        },
    ],
}


def test_paused_holder_detects_its_expired_lease() -> None:
    lease = orders.OrderLease("r", "me", 1, 1, 10.0)
    orders.check_lease(lease, 9.9)
    with pytest.raises(errors.OrderLeaseLapsedError):
        orders.check_lease(lease, 10.0)


def test_order_command_reports_the_outcome(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv(remote.FLEET_KEY_VARIABLE, fleet.KEY)

    async def command(entry: str, *words: str) -> dict[str, Any]:
        line = ["order", *words, "--route", "records", "--entry", entry]
        await asyncio.to_thread(main.run, [*line, "--json"])
        status: dict[str, Any] = json.loads(capsys.readouterr().out)
        return status

    async def run() -> None:
        async with fleet.open_fleet() as processes:
            entry = processes.start_entry("e0", "z0", [])
            peer = entry.peer_address
            state = engine.EngineState("m", faults.FaultTable())
            endpoint = engine.EngineStandin(fleet.LOOPBACK, state)
            for number in range(2):
                processes.start_sidecar(f"s{number}", [peer], endpoint.address)
            members = entry.board.members.members
            await fleet.wait_for(lambda: len(members) == 2)
            fast = ["--loads-a-minute", "600"]
            job = await command(peer, "load_adapter", "a", *fast)
            assert (job["state"], job["number"]) == ("done", 1)
            slot = json.loads(
                processes.store.state.data.records[
                    keys.WEIGHT_STORE_SLOTS
                ].value
            )
            assert slot["next_at"] >= time.time() - 5.0
            job = await command(
                peer, "set_role", "drain", "--host", "s1", "--id", "x"
            )
            again = await command(
                peer, "set_role", "drain", "--host", "s1", "--id", "x"
            )
            assert job == again
            assert [item["host"] for item in job["results"]] == ["s1"]
            job = await command(peer, "set_role", "drain", "--host", "none")
            assert (job["state"], job["code"]) == ("failed", "unknown_order")
            processes.table.faults = [fleet.DOWN]
            job = await command(peer, "set_role", "serve")
            assert job["code"] == "store_unavailable"
            kinds = [order["kind"] for order in state.orders.applied]
            assert kinds == ["load_adapter", "load_adapter", "set_role"]
            await endpoint.close()

    asyncio.run(run())
