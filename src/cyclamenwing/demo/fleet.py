"""Stand-ins, two entries and three sidecars in one process."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Any
from typing import TypedDict
from typing import cast

from cyclamenwing.budget import payment
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import index
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import types as catalog_types
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
CALLER_KEY = "demo-caller-key"
LOOPBACK = "127.0.0.1:0"
READY_TIMEOUT_S = 10.0
SHARDS = 4
MODEL = "assistant"
TOKENS_PAID = 50_000
SMALL_PAID = 400

CATALOG: list[catalog_types.ServiceFile] = [
    {
        "service": "demo",
        "workspaces": [
            {
                "name": "panels",
                "keys": [index.hash_key(CALLER_KEY)],
                "budgets": ["panels-tokens"],
            },
            {
                "name": "guides",
                "keys": [index.hash_key(f"{CALLER_KEY}-small")],
                "budgets": ["guides-tokens"],
            },
        ],
        "budgets": [
            {"name": "panels-tokens", "unit": "tokens"},
            {"name": "guides-tokens", "unit": "tokens"},
        ],
        "routes": [
            {
                "name": "assistant",
                "protocol": "chat",
                "model": MODEL,
                "workspaces": ["*"],
                "kind": "summary",
            },
            {
                "name": "records",
                "protocol": "plain",
                "workspaces": ["*"],
                "calls": [
                    {"method": "GET", "path": "/", "idempotent": True},
                    {"method": "POST", "path": "/decisions"},
                ],
            },
        ],
    },
]


class EntryOptions(TypedDict, total=False):
    """Hold settings of the demo's entries that a test may choose."""

    max_body_bytes: int
    body_timeout_s: float


class Fleet:
    """Hold the processes of the demo.

    :param extra: further settings of the entries
    """

    def __init__(self, extra: EntryOptions) -> None:
        self._extra = extra
        self.store = store.StoreStandin(LOOPBACK)
        self.engines = [
            engine.EngineStandin(
                LOOPBACK, engine.EngineState(MODEL, faults.FaultTable())
            )
            for _ in range(2)
        ]
        self.service = service.ServiceStandin(LOOPBACK, service.ServiceState())
        self.client = client.CurlClient(FLEET_KEY)
        self.store_client = store_client.StoreClient(
            self.client, self.store.address
        )
        self.entries: list[entry_app.EntryApp] = []
        self.sidecars: list[sidecar_app.SidecarApp] = []

    @classmethod
    async def start(cls, extra: EntryOptions | None = None) -> Fleet:
        """Start all processes and wait until they serve."""
        made = cls(extra or {})
        await made._publish()
        made._start_entries()
        made._start_sidecars()
        await made._wait_ready()
        return made

    async def close(self) -> None:
        """Stop all processes gracefully."""
        for sidecar in self.sidecars:
            await sidecar.close()
        for entry in self.entries:
            await entry.close()
        await self.client.close()
        for endpoint in self.engines:
            await endpoint.close()
        await self.service.close()
        await self.store.close()

    def describe(self) -> str:
        """Return what to try next."""
        url = f"http://{self.entries[0].address}/v1/chat/completions"
        return (
            f"entries: {[entry.address for entry in self.entries]}\n"
            f"try: curl -N {url} -H 'Authorization: Bearer {CALLER_KEY}'"
            f' -d \'{{"model": "{MODEL}", "stream": true, "max_tokens": 20,'
            ' "messages": [{"role": "user", "content": "a dossier"}]}\''
        )

    async def _publish(self) -> None:
        change = audit.Change(
            time.time(), "demo", "demo", "publish", "", "", None, None
        )
        await publication.publish_files(
            self.store_client, CATALOG, change, uuid.uuid4().hex
        )
        paid = {"panels-tokens": TOKENS_PAID, "guides-tokens": SMALL_PAID}
        for budget, amount in paid.items():
            await payment.apply_top_up(
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
        for number in range(2):
            settings: settings_types.EntrySettings = {
                "host": f"entry-{number}",
                "zone": f"zone-{number}",
                "listen": LOOPBACK,
                "peers": LOOPBACK,
                "store": self.store.address,
                "fleet_keys": [FLEET_KEY],
                "entries": peers,
                "operators": LOOPBACK,
            }
            settings.update(cast(Any, self._extra))
            made = entry_app.EntryApp.from_config(settings)
            # Both entries share the list, so each learns of the other.
            peers.append(made.peer_address)
            self.entries.append(made)

    def _start_sidecars(self) -> None:
        endpoints = [
            *((item.address, "assistant") for item in self.engines),
            (self.service.address, "records"),
        ]
        for number, (endpoint, route) in enumerate(endpoints):
            settings: settings_types.SidecarSettings = {
                "host": f"endpoint-{number}",
                "zone": f"zone-{number % 2}",
                "listen": LOOPBACK,
                "store": self.store.address,
                "fleet_keys": [FLEET_KEY],
                "entries": [entry.peer_address for entry in self.entries],
                "endpoint": endpoint,
                "route": route,
            }
            self.sidecars.append(sidecar_app.SidecarApp.from_config(settings))

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(self._is_ready(entry) for entry in self.entries):
                await asyncio.sleep(0.02)

    def _is_ready(self, entry: entry_app.EntryApp) -> bool:
        board = entry.board
        heard = len(board.members.members) == 4 and len(board.served) == 3
        return heard and board.catalog.revision > 0


__all__ = (
    "CALLER_KEY",
    "FLEET_KEY",
    "MODEL",
    "SMALL_PAID",
    "TOKENS_PAID",
    "EntryOptions",
    "Fleet",
)
