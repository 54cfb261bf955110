"""Stand-ins, entries and sidecars in one process on loopback."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Any
from typing import TypedDict
from typing import cast

from cyclamenwing.budget import admin
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.demo import plan as demo_plan
from cyclamenwing.entry import app as entry_app
from cyclamenwing.settings import types as settings_types
from cyclamenwing.sidecar import app as sidecar_app
from cyclamenwing.standin import engine
from cyclamenwing.standin import faults
from cyclamenwing.standin import service
from cyclamenwing.standin import store
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client

FLEET_KEY = "demo-fleet-key-0001"
LOOPBACK = "127.0.0.1:0"
READY_TIMEOUT_S = 20.0
SHARDS = 4

CALLER_KEY = demo_plan.CALLER_KEY
MODEL = demo_plan.MODEL


class EntryOptions(TypedDict, total=False):
    """Hold settings of the demo's entries that a test may choose."""

    max_body_bytes: int
    body_timeout_s: float


class Fleet:
    """Hold the processes of the demo.

    :param plan: what the fleet consists of
    :param extra: further settings of the entries
    """

    def __init__(self, plan: demo_plan.Plan, extra: EntryOptions) -> None:
        self.plan = plan
        self._extra = extra
        self.store = store.StoreStandin(LOOPBACK)
        self.engines: list[engine.EngineStandin] = []
        self.services: dict[str, service.ServiceState] = {}
        self.client = client.CurlClient(FLEET_KEY)
        self.store_client = store_client.StoreClient(
            self.client, self.store.address
        )
        self.entries: list[entry_app.EntryApp] = []
        self.sidecars: list[sidecar_app.SidecarApp] = []
        self._services: list[service.ServiceStandin] = []

    @classmethod
    async def start(
        cls,
        extra: EntryOptions | None = None,
        plan: demo_plan.Plan = demo_plan.SMALL,
    ) -> Fleet:
        """Start all processes and wait until they serve."""
        made = cls(plan, extra or {})
        await made._publish()
        await made._pay()
        made._start_entries()
        made._start_sidecars()
        await made._wait_ready()
        return made

    async def close(self) -> None:
        """Stop all processes gracefully."""
        await self.close_roles()
        await self.client.close()
        for endpoint in self.engines:
            await endpoint.close()
        for served in self._services:
            await served.close()
        await self.store.close()

    async def close_roles(self) -> None:
        """Stop the sidecars and entries, which settle all they hold."""
        sidecars, self.sidecars = self.sidecars, []
        await asyncio.gather(*(sidecar.close() for sidecar in sidecars))
        entries, self.entries = self.entries, []
        await asyncio.gather(*(entry.close() for entry in entries))

    async def _publish(self) -> None:
        change = audit.Change(
            time.time(), "demo", "demo", "publish", "", "", None, None
        )
        await publication.publish_files(
            self.store_client, self.plan.files, change, uuid.uuid4().hex
        )

    async def _pay(self) -> None:
        for budget, amount in self.plan.paid.items():
            await admin.apply_top_up(
                self.store_client,
                {
                    "op": "top_up",
                    "id": f"demo-{budget}",
                    "budget": budget,
                    "amount": amount,
                },
                SHARDS,
            )

    def _start_entries(self) -> None:
        peers: list[str] = []
        for number, zone in enumerate(self.plan.zones):
            settings: settings_types.EntrySettings = {
                "host": f"entry-{number}",
                "zone": zone,
                "listen": LOOPBACK,
                "peers": LOOPBACK,
                "store": self.store.address,
                "fleet_keys": [FLEET_KEY],
                "entries": peers,
                "operators": LOOPBACK,
                "ledger_shards": SHARDS,
            }
            settings.update(cast(Any, self._extra))
            made = entry_app.EntryApp.from_config(settings)
            # All entries share the list, so each learns of the others.
            peers.append(made.peer_address)
            self.entries.append(made)

    def _start_sidecars(self) -> None:
        for item in self.plan.endpoints:
            route = self.plan.find_route(item["route"])
            for _ in range(item["replicas"]):
                self._start_sidecar(route)

    def _start_sidecar(self, route: catalog_types.Route) -> None:
        number = len(self.sidecars)
        zones = self.plan.zones
        settings: settings_types.SidecarSettings = {
            "host": f"endpoint-{number}",
            "zone": zones[number % len(zones)],
            "listen": LOOPBACK,
            "store": self.store.address,
            "fleet_keys": [FLEET_KEY],
            "entries": [entry.peer_address for entry in self.entries],
            "endpoint": _STARTERS[route["protocol"]](self, route),
            "route": route["name"],
        }
        self.sidecars.append(sidecar_app.SidecarApp.from_config(settings))

    def _start_engine(self, route: catalog_types.Route) -> str:
        state = engine.EngineState(route["model"], faults.FaultTable())
        self.engines.append(engine.EngineStandin(LOOPBACK, state))
        return self.engines[-1].address

    def _start_service(self, route: catalog_types.Route) -> str:
        # The replicas of a service share their records.
        state = self.services.setdefault(route["name"], service.ServiceState())
        self._services.append(service.ServiceStandin(LOOPBACK, state))
        return self._services[-1].address

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_ready(entry) for entry in self.entries):
                await asyncio.sleep(0.02)

    def _is_ready(self, entry: entry_app.EntryApp) -> bool:
        known = entry.board.members.members
        wanted = len(self.entries) - 1 + len(self.sidecars)
        served = len(entry.board.served)
        return (
            entry.board.catalog.revision > 0
            and len(known) >= wanted
            and served >= len(self.sidecars)
        )


_STARTERS = {
    "chat": Fleet._start_engine,
    "plain": Fleet._start_service,
}

__all__ = (
    "CALLER_KEY",
    "FLEET_KEY",
    "MODEL",
    "SHARDS",
    "EntryOptions",
    "Fleet",
)
