"""Entry and sidecar processes on loopback that get catalog changes."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
import uuid
from typing import Any
from typing import TypedDict

import cyclamenwing
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.cli import survey
from cyclamenwing.standin import addresses
from cyclamenwing.standin import store
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client

FLEET_KEY = "control-bench-key"
ZONES = 3
READY_TIMEOUT_S = 90.0
CHANGE_TIMEOUT_S = 30.0
POLL_S = 0.02
STOP_TIMEOUT_S = 20.0
ENDPOINT = "127.0.0.1:9"


class Usage(TypedDict):
    """Hold the processor seconds and the resident bytes of a process."""

    cpu_s: float
    resident: int


class FleetFigures(TypedDict):
    """Hold the figures of a fleet of real processes.

    `publish_ms` and `in_force_ms` hold a value for each change: the time
    of the publication and the time from its end until all processes
    report the revision. Shares are processor time as a part of one core.
    """

    entries: int
    sidecars: int
    publish_ms: list[float]
    in_force_ms: list[float]
    idle_s: float
    entry_share: float
    sidecar_share: float
    entry_bytes: int
    sidecar_bytes: int
    watches: int
    idle_calls: dict[str, int]
    change_calls: dict[str, int]


class ControlFleet:
    """Start entries and sidecars as child processes.

    :param folder: folder for the settings files
    :param entries: number of entries
    :param sidecars: number of sidecars
    """

    def __init__(
        self, folder: pathlib.Path, entries: int, sidecars: int
    ) -> None:
        self._folder = folder
        self._running: list[asyncio.subprocess.Process] = []
        self.entries = entries
        self.sidecars = sidecars
        self.store = store.StoreStandin("127.0.0.1:0")
        self.client = client.CurlClient(FLEET_KEY)
        self.store_client = store_client.StoreClient(
            self.client, self.store.address
        )
        self.peers = [addresses.reserve_address() for _ in range(entries)]

    async def start(self) -> None:
        """Start all processes and wait until the entries list all of them.

        :raises TimeoutError: after `READY_TIMEOUT_S`
        """
        await self.publish(0)
        for number in range(self.entries):
            await self._spawn("entry", number)
        for number in range(self.sidecars):
            await self._spawn("sidecar", number)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.5)

    async def close(self) -> None:
        """Stop all processes; kill those that run after `STOP_TIMEOUT_S`."""
        for process in self._running:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for process in self._running:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
        await self.client.close()
        await self.store.close()

    async def publish(self, number: int) -> int:
        """Publish a change of one service; return the new revision."""
        change = audit.Change(
            time.time(), "bench", "bench", "publish", "", "", None, None
        )
        head = await publication.publish_files(
            self.store_client, [make_file(number)], change, uuid.uuid4().hex
        )
        return head["revision"]

    async def wait_in_force(self, revision: int) -> None:
        """Wait until all processes report a revision or a later one.

        :raises TimeoutError: after `CHANGE_TIMEOUT_S`
        """
        async with asyncio.timeout(CHANGE_TIMEOUT_S):
            while True:
                status = await self.survey()
                complete = (
                    len(status.processes) == self.entries + self.sidecars
                )
                if complete and not status.list_outdated(revision):
                    return
                await asyncio.sleep(POLL_S)

    async def survey(self) -> survey.Survey:
        """Return the status of the fleet from all entries."""
        return await survey.survey_fleet(self.client, self.peers)

    def read_usage(self) -> list[Usage]:
        """Return the resource usage of each process, entries first."""
        return [read_usage(process.pid) for process in self._running]

    async def _is_ready(self) -> bool:
        status = await self.survey()
        complete = len(status.processes) == self.entries + self.sidecars
        return complete and not status.list_outdated(1)

    async def _spawn(self, role: str, number: int) -> None:
        settings: dict[str, Any] = {
            "host": f"{role}-{number}",
            "zone": f"zone-{number % ZONES}",
            "listen": addresses.reserve_address(),
            "store": self.store.address,
            "fleet_keys": [FLEET_KEY],
            "entries": self.peers[:3],
            "log_file": "/dev/null",
        }
        if role == "entry":
            settings["peers"] = self.peers[number]
        else:
            settings |= {"endpoint": ENDPOINT, "route": "records"}
        path = self._folder / f"{role}-{number}.json"
        path.write_text(json.dumps(settings))
        source = pathlib.Path(cyclamenwing.__file__).parent.parent
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cyclamenwing",
            role,
            str(path),
            env={**os.environ, "PYTHONPATH": str(source)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._running.append(process)


async def measure_fleet(
    folder: pathlib.Path,
    entries: int,
    sidecars: int,
    changes: int,
    idle_s: float,
) -> FleetFigures:
    """Measure an idle period, then a number of changes.

    :param idle_s: length of the idle period in seconds
    """
    fleet = ControlFleet(folder, entries, sidecars)
    try:
        await fleet.start()
        await asyncio.sleep(idle_s / 2)
        calls_before = dict(fleet.store.state.calls)
        earlier = fleet.read_usage()
        began_at = time.monotonic()
        await asyncio.sleep(idle_s)
        window_s = time.monotonic() - began_at
        after = fleet.read_usage()
        idle_calls = count_since(fleet, calls_before)
        shares = [
            (end["cpu_s"] - start["cpu_s"]) / window_s
            for start, end in zip(earlier, after, strict=True)
        ]
        calls_before = dict(fleet.store.state.calls)
        publish_ms: list[float] = []
        in_force_ms: list[float] = []
        for number in range(1, changes + 1):
            began_at = time.monotonic()
            revision = await fleet.publish(number)
            accepted_at = time.monotonic()
            publish_ms.append((accepted_at - began_at) * 1000)
            await fleet.wait_in_force(revision)
            in_force_ms.append((time.monotonic() - accepted_at) * 1000)
        return {
            "entries": entries,
            "sidecars": sidecars,
            "publish_ms": publish_ms,
            "in_force_ms": in_force_ms,
            "idle_s": window_s,
            "entry_share": sum(shares[:entries]) / entries,
            "sidecar_share": sum(shares[entries:]) / max(1, sidecars),
            "entry_bytes": max(item["resident"] for item in after[:entries]),
            "sidecar_bytes": max(
                (item["resident"] for item in after[entries:]), default=0
            ),
            "watches": fleet.store.state.open_watches,
            "idle_calls": idle_calls,
            "change_calls": count_since(fleet, calls_before),
        }
    finally:
        await fleet.close()


def count_since(
    fleet: ControlFleet, earlier: dict[str, int]
) -> dict[str, int]:
    """Return the store calls by kind since an earlier count."""
    return {
        call: count - earlier.get(call, 0)
        for call, count in fleet.store.state.calls.items()
    }


def make_file(number: int) -> catalog_types.ServiceFile:
    """Return a service file whose service and workspace depend on a number."""
    return {
        "service": f"service-{number % 5}",
        "workspaces": [
            {"name": f"w{number % 5}-{number}", "keys": [], "budgets": []},
        ],
    }


def read_usage(pid: int) -> Usage:
    """Return the resource usage of a process from ``/proc``."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    words = fields.split()
    ticks = int(words[11]) + int(words[12])
    pages = int(words[21])
    return {
        "cpu_s": ticks / os.sysconf("SC_CLK_TCK"),
        "resident": pages * os.sysconf("SC_PAGE_SIZE"),
    }


__all__ = (
    "ControlFleet",
    "FleetFigures",
    "measure_fleet",
)
