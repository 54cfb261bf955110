"""Entries and sidecars on the loopback interface for tests."""

from __future__ import annotations

import asyncio
import contextlib
import time
import uuid
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

from cyclamenwing.catalog import audit
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.entry import app as entry_app
from cyclamenwing.sidecar import app as sidecar_app
from cyclamenwing.standin import faults
from cyclamenwing.standin import hosts
from cyclamenwing.standin import store
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client

KEY = "a-fleet-key-for-tests"
LOOPBACK = "127.0.0.1:0"
WAIT_S = 20.0
DOWN: faults.Fault = {
    "call": "",
    "kind": "down",
    "skip": 0,
    "count": 10**9,
    "delay_s": 0.0,
}


class Fleet:
    """Hold the stand-in services, entries and sidecars of a test."""

    def __init__(self) -> None:
        self.table = faults.FaultTable()
        self.store = store.StoreStandin(LOOPBACK, self.table)
        self.hosts = hosts.HostsStandin(LOOPBACK)
        self.client = client.CurlClient(KEY)
        self.store_client = store_client.StoreClient(
            self.client, self.store.address
        )
        self.entries: list[entry_app.EntryApp] = []
        self.sidecars: list[sidecar_app.SidecarApp] = []

    def start_entry(
        self, host: str, zone: str, seeds: list[str]
    ) -> entry_app.EntryApp:
        entry = entry_app.EntryApp.from_config({
            "host": host,
            "zone": zone,
            "listen": LOOPBACK,
            "peers": LOOPBACK,
            "store": self.store.address,
            "hosts": self.hosts.address,
            "fleet_keys": [KEY],
            "entries": seeds,
        })
        self.entries.append(entry)
        return entry

    def start_sidecar(
        self, host: str, seeds: list[str], endpoint: str = "127.0.0.1:1"
    ) -> sidecar_app.SidecarApp:
        sidecar = sidecar_app.SidecarApp.from_config({
            "host": host,
            "zone": "z0",
            "listen": LOOPBACK,
            "store": self.store.address,
            "hosts": self.hosts.address,
            "fleet_keys": [KEY],
            "entries": seeds,
            "endpoint": endpoint,
            "route": "records",
        })
        self.sidecars.append(sidecar)
        return sidecar

    async def publish(self, *files: Any, author: str = "ann") -> int:
        change = audit.Change(
            time.time(), author, "test", "publish", "", "", None, None
        )
        head = await publication.publish_files(
            self.store_client, files, change, uuid.uuid4().hex
        )
        return head["revision"]

    async def stop(self, process: Any) -> None:
        for running in (self.entries, self.sidecars):
            if process in running:
                running.remove(process)
        await process.close()


@contextlib.asynccontextmanager
async def open_fleet() -> AsyncIterator[Fleet]:
    fleet = Fleet()
    try:
        yield fleet
    finally:
        for process in [*fleet.sidecars, *fleet.entries]:
            await fleet.stop(process)
        await fleet.client.close()
        await fleet.hosts.close()
        await fleet.store.close()


async def wait_for(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.02)


def make_file(**call: Any) -> catalog_types.ServiceFile:
    rule: Any = {"method": "POST", "path": "/", **call}
    return {
        "service": "records",
        "workspaces": [{"name": "w", "keys": [], "budgets": []}],
        "routes": [
            {
                "name": "records",
                "protocol": "plain",
                "workspaces": ["w"],
                "calls": [rule],
            },
        ],
    }
