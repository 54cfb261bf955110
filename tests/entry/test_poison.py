"""A poison request crashes no more than two endpoints of the fleet.

Without the quarantine, each retry through any entry crashes another endpoint.
"""

from __future__ import annotations

import asyncio
import hashlib
from typing import Any

import msgspec
import pytest
from tests.entry import fleet as test_fleet

from cyclamenwing.budget import admin
from cyclamenwing.catalog import audit_trail
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.cli import main
from cyclamenwing.cli import remote
from cyclamenwing.entry import app as entry_app
from cyclamenwing.sidecar import app as sidecar_app
from cyclamenwing.standin import engine
from cyclamenwing.standin import faults
from cyclamenwing.standin import generation
from cyclamenwing.transport import protocol

CALLER_KEY = "poison-test-caller"
ENGINES = 5
FILE: catalog_types.ServiceFile = {
    "service": "assistant",
    "workspaces": [
        {
            "name": "w",
            "keys": [hashlib.sha256(CALLER_KEY.encode()).hexdigest()],
            "budgets": ["tokens"],
        }
    ],
    "budgets": [{"name": "tokens", "unit": "tokens"}],
    "routes": [
        {
            "name": "assistant",
            "protocol": "chat",
            "model": "m",
            "workspaces": ["w"],
        }
    ],
}


class PoisonFleet:
    def __init__(self, fleet: test_fleet.Fleet) -> None:
        self.fleet = fleet
        self.engines = [
            engine.EngineStandin(
                test_fleet.LOOPBACK,
                generation.EngineState(
                    "m", faults.FaultTable(), 0.005, restart_delay_s=60.0
                ),
            )
            for _ in range(ENGINES)
        ]
        self.entries: list[entry_app.EntryApp] = []

    @property
    def crashes(self) -> int:
        return sum(item.state.crashes for item in self.engines)

    async def start(self) -> None:
        await self.fleet.publish(FILE)
        await admin.apply_top_up(
            self.fleet.store_client,
            {"op": "top_up", "id": "1", "budget": "tokens", "amount": 10**6},
        )
        seeds: list[str] = []
        for number in range(3):
            entry = self.fleet.start_entry(f"e{number}", "z0", seeds)
            seeds.append(entry.peer_address)
            self.entries.append(entry)
        for number, item in enumerate(self.engines):
            self._start_sidecar(f"s{number}", seeds, item.address)
        await test_fleet.wait_for(
            lambda: all(self._is_ready(entry) for entry in self.entries)
        )

    async def send(
        self, entry: int, key: str, content: str, max_tokens: int
    ) -> protocol.Response:
        return await self.fleet.client.fetch(
            "POST",
            f"http://{self.entries[entry].address}/v1/chat/completions",
            {
                "Authorization": f"Bearer {CALLER_KEY}",
                "Idempotency-Key": key,
            },
            msgspec.json.encode({
                "model": "m",
                "max_tokens": max_tokens,
                "messages": [{"role": "user", "content": content}],
            }),
            test_fleet.WAIT_S,
        )

    async def ask(self, entry: int, path: str, message: Any) -> Any:
        return await self.fleet.client.call(
            f"http://{self.entries[entry].peer_address}/peer/quarantine/{path}",
            message,
            Any,
            test_fleet.WAIT_S,
        )

    async def close(self) -> None:
        for item in self.engines:
            await item.close()

    def _start_sidecar(
        self, host: str, seeds: list[str], endpoint: str
    ) -> None:
        sidecar = sidecar_app.SidecarApp.from_config({
            "host": host,
            "zone": "z0",
            "listen": test_fleet.LOOPBACK,
            "store": self.fleet.store.address,
            "fleet_keys": [test_fleet.KEY],
            "entries": seeds,
            "endpoint": endpoint,
            "route": "assistant",
        })
        self.fleet.sidecars.append(sidecar)

    def _is_ready(self, entry: entry_app.EntryApp) -> bool:
        board = entry.board
        members = 2 + ENGINES
        return (
            board.catalog.revision > 0
            and len(board.members.members) >= members
            and len(board.served) == ENGINES
        )


async def check_quarantine(fleet: PoisonFleet) -> None:
    other_requests = [
        asyncio.create_task(fleet.send(0, f"b{number}", f"work {number}", 400))
        for number in range(ENGINES)
    ]
    await test_fleet.wait_for(
        lambda: sum(item.state.running for item in fleet.engines) == ENGINES
    )
    poison = f"poison {generation.CRASH_MARKER}"
    first = await fleet.send(0, "k1", poison, 10)
    assert fleet.crashes == 2
    assert msgspec.json.decode(first.body)["run"] != "not_run"
    # Send the same request to every entry, each time with another key.
    for number in range(6):
        retried = await fleet.send(number % 3, f"again-{number}", poison, 10)
        body = msgspec.json.decode(retried.body)
        assert (retried.status, body["code"], body["run"]) == (
            422,
            "quarantined",
            "not_run",
        )
    assert fleet.crashes == 2
    answers = await asyncio.gather(*other_requests)
    assert [answer.status for answer in answers] == [200] * ENGINES
    for entry in range(3):
        async with asyncio.timeout(test_fleet.WAIT_S):
            # Heartbeats gossip that the other requests are cleared.
            while len(records := await fleet.ask(entry, "list", {})) > 1:
                await asyncio.sleep(0.05)
    assert [len(record["crashes"]) for record in records] == [2]
    await lift(fleet, records[0]["fingerprint"], poison)


async def lift(fleet: PoisonFleet, fingerprint: str, poison: str) -> None:
    entry = ["--entry", fleet.entries[1].peer_address]
    command = ["quarantine", "lift", fingerprint, *entry, "--author", "ann"]
    listing = ["quarantine", "list", "--json", *entry]
    codes = [
        await asyncio.to_thread(main.run, arguments)
        for arguments in (listing, command, command)
    ]
    assert codes == [0, 0, 1]
    chain = await audit_trail.read_chain(fleet.fleet.store_client)
    kinds = {(record["kind"], record["author"]) for record in chain["audit"]}
    assert kinds == {("quarantine-lift", "ann")}
    assert await fleet.ask(1, "list", {}) == []
    await fleet.send(1, "lifted", poison, 10)
    assert fleet.crashes == 4


def test_poison_request_crashes_two_endpoints_across_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv(remote.FLEET_KEY_VARIABLE, test_fleet.KEY)

    async def run() -> None:
        async with test_fleet.open_fleet() as fleet:
            poison_fleet = PoisonFleet(fleet)
            try:
                await poison_fleet.start()
                await check_quarantine(poison_fleet)
            finally:
                await poison_fleet.close()

    asyncio.run(run())
