"""Fleet of entries, sidecars and stand-ins in one process."""

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
LEDGER_SHARDS = 4

CALLER_KEY = demo_plan.CALLER_KEY
MODEL = demo_plan.MODEL


class EntryOptions(TypedDict, total=False):
    """Hold the entry settings that a test can override."""

    max_body_bytes: int
    body_timeout_s: float


class Fleet:
    """Hold the entries, sidecars and stand-ins of the demo.

    :param plan: zones, endpoints, keys, budgets and service files
    :param entry_options: settings that override those of the entries
    """

    def __init__(
        self, plan: demo_plan.Plan, entry_options: EntryOptions
    ) -> None:
        self.plan = plan
        self._entry_options = entry_options
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
        entry_options: EntryOptions | None = None,
        plan: demo_plan.Plan = demo_plan.SMALL_PLAN,
    ) -> Fleet:
        """Start all parts of the fleet and wait until they serve.

        :raises TimeoutError: if the entries don't see all members in time
        """
        fleet = cls(plan, entry_options or {})
        await fleet._publish()
        await fleet._top_up_budgets()
        fleet._start_entries()
        fleet._start_sidecars()
        await fleet._wait_ready()
        return fleet

    async def close(self) -> None:
        """Stop all parts of the fleet gracefully."""
        await self.close_roles()
        await self.client.close()
        for endpoint in self.engines:
            await endpoint.close()
        for service_standin in self._services:
            await service_standin.close()
        await self.store.close()

    async def close_roles(self) -> None:
        """Stop the sidecars, then the entries; all usage is settled."""
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

    async def _top_up_budgets(self) -> None:
        for budget, amount in self.plan.paid.items():
            await admin.apply_top_up(
                self.store_client,
                {
                    "op": "top_up",
                    "id": f"demo-{budget}",
                    "budget": budget,
                    "amount": amount,
                },
                LEDGER_SHARDS,
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
                "ledger_shards": LEDGER_SHARDS,
            }
            settings.update(cast(Any, self._entry_options))
            entry = entry_app.EntryApp.from_config(settings)
            # The entries share this list, so the earlier entries also get
            # the addresses of the later ones.
            peers.append(entry.peer_address)
            self.entries.append(entry)

    def _start_sidecars(self) -> None:
        for group in self.plan.endpoints:
            route = self.plan.find_route(group["route"])
            for _ in range(group["replicas"]):
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
            "endpoint": _ENDPOINT_STARTERS[route["protocol"]](self, route),
            "route": route["name"],
        }
        self.sidecars.append(sidecar_app.SidecarApp.from_config(settings))

    def _start_engine(self, route: catalog_types.Route) -> str:
        state = engine.EngineState(route["model"], faults.FaultTable())
        self.engines.append(engine.EngineStandin(LOOPBACK, state))
        return self.engines[-1].address

    def _start_service(self, route: catalog_types.Route) -> str:
        # The endpoints of a service share their records.
        state = self.services.setdefault(route["name"], service.ServiceState())
        self._services.append(service.ServiceStandin(LOOPBACK, state))
        return self._services[-1].address

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_ready(entry) for entry in self.entries):
                await asyncio.sleep(0.02)

    def _is_ready(self, entry: entry_app.EntryApp) -> bool:
        members = entry.board.members.members
        expected_members = len(self.entries) - 1 + len(self.sidecars)
        served_endpoints = len(entry.board.served)
        return (
            entry.board.catalog.revision > 0
            and len(members) >= expected_members
            and served_endpoints >= len(self.sidecars)
        )


_ENDPOINT_STARTERS = {
    "chat": Fleet._start_engine,
    "plain": Fleet._start_service,
}

__all__ = (
    "CALLER_KEY",
    "FLEET_KEY",
    "MODEL",
    "LEDGER_SHARDS",
    "EntryOptions",
    "Fleet",
)
