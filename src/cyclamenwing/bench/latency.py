"""Benchmark `latency`: time that the fleet adds to streamed answers.

The same load goes to an engine stand-in directly and to another one
through an entry and a sidecar.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import tempfile
import time
import uuid
from typing import Any

from cyclamenwing.bench import errors
from cyclamenwing.bench import processes
from cyclamenwing.bench import streams
from cyclamenwing.bench import tables
from cyclamenwing.budget import admin
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import index
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client
from cyclamenwing.transport import errors as transport_errors

FLEET_KEY = "latency-fleet-key-1"
CALLER_KEY = "latency-caller"
MODEL = "assistant"
BUDGET = "callers-tokens"
PAID = 10**12
PERCENTILES = (50.0, 95.0, 99.0)
TARGET_FIRST_MS = 3.0
TARGET_GAP_MS = 1.0
ROLES = ("entry", "sidecar")
MS_PER_S = 1_000
MB = 1_000_000
CATALOG: catalog_types.ServiceFile = {
    "service": "latency",
    "workspaces": [
        {
            "name": "callers",
            "keys": [index.hash_key(CALLER_KEY)],
            "budgets": [BUDGET],
        }
    ],
    "budgets": [{"name": BUDGET, "unit": "tokens"}],
    "routes": [
        {
            "name": MODEL,
            "protocol": "chat",
            "model": MODEL,
            "workspaces": ["*"],
        }
    ],
}


class LatencyBench:
    """Measure the added latency, processor time and memory of streams."""

    NAME = "latency"
    HELP = "measure latency added to first token and between tokens"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this benchmark."""
        parser.add_argument(
            "--rate", type=float, default=25.0, help="requests a second"
        )
        parser.add_argument(
            "--tokens", type=int, default=200, help="tokens an answer"
        )
        parser.add_argument(
            "--seconds", type=float, default=10.0, help="length of a round"
        )
        parser.add_argument("--rounds", type=int, default=3)

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Return the figures; `tables` holds the tables to print."""
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(_measure(args, pathlib.Path(folder)))


async def _measure(
    args: argparse.Namespace, folder: pathlib.Path
) -> dict[str, Any]:
    http = client.CurlClient(FLEET_KEY)
    async with processes.Processes(folder) as fleet:
        try:
            targets = await _start_fleet(fleet, http)
            load = streams.Load(http, MODEL, args.tokens)
            await _wait_ready(load, targets)
            rounds = [
                await _run_round(args, fleet, load, targets)
                for _ in range(args.rounds)
            ]
        finally:
            await http.close()
    data = summarise(rounds, args.tokens)
    data["load"] = streams.describe_load(args.tokens, args.rate)
    data["tables"] = make_tables(data)
    return data


async def _start_fleet(
    fleet: processes.Processes, http: client.CurlClient
) -> list[streams.Target]:
    store, listen, peers, engine, direct = (
        processes.pick_address() for _ in range(5)
    )
    await fleet.start("store", "standin", "store", store)
    for name, address in (("engine", engine), ("direct", direct)):
        await fleet.start(name, "standin", "engine", address, "--model", MODEL)
    await _publish(store_client.StoreClient(http, store))
    common: dict[str, Any] = {
        "zone": "zone-0",
        "store": store,
        "fleet_keys": [FLEET_KEY],
        "entries": [peers],
    }
    entry = {"host": "entry-0", "listen": listen, "peers": peers}
    await fleet.start_role("entry", "entry", common | entry)
    sidecar = {
        "host": "endpoint-0",
        "listen": processes.pick_address(),
        "endpoint": engine,
        "route": MODEL,
    }
    await fleet.start_role("sidecar", "sidecar", common | sidecar)
    path = "/v1/chat/completions"
    key = {"Authorization": f"Bearer {CALLER_KEY}"}
    return [
        streams.Target("direct", f"http://{direct}{path}", key),
        streams.Target("fleet", f"http://{listen}{path}", key),
    ]


async def _publish(store: store_client.StoreClient) -> None:
    change = audit.Change(
        time.time(), "bench", "bench", "publish", "", "", None, None
    )
    await publication.publish_files(store, [CATALOG], change, uuid.uuid4().hex)
    await admin.apply_top_up(
        store,
        {"op": "top_up", "id": "bench", "budget": BUDGET, "amount": PAID},
    )


async def _wait_ready(
    load: streams.Load, targets: list[streams.Target]
) -> None:
    async def is_ready() -> bool:
        try:
            for target in targets:
                await load.send(target)
        except (transport_errors.TransportError, errors.BenchError):
            return False
        return True

    await processes.wait_until_ready(is_ready)


async def _run_round(
    args: argparse.Namespace,
    fleet: processes.Processes,
    load: streams.Load,
    targets: list[streams.Target],
) -> dict[str, Any]:
    usage_before = {role: fleet.read_usage(role) for role in ROLES}
    running = asyncio.create_task(load.run(targets, args.rate, args.seconds))
    await asyncio.sleep(args.seconds * 0.8)
    usage_during = {role: fleet.read_usage(role) for role in ROLES}
    timings = await running
    usage_after = {role: fleet.read_usage(role) for role in ROLES}
    return {
        "first_s": {
            name: [t.first_s for t in timings[name]] for name in timings
        },
        "gaps_s": {
            name: streams.flatten_gaps(timings[name]) for name in timings
        },
        "requests": len(timings["fleet"]),
        "cpu_s": {
            r: usage_after[r].cpu_s - usage_before[r].cpu_s for r in ROLES
        },
        "resident_bytes": {r: usage_after[r].resident_bytes for r in ROLES},
        "loaded_bytes": {
            r: usage_during[r].resident_bytes - usage_before[r].resident_bytes
            for r in ROLES
        },
    }


def summarise(rounds: list[dict[str, Any]], tokens: int) -> dict[str, Any]:
    """Return the figures of all rounds combined.

    `loaded_bytes` is taken from the first round: the growth of resident
    memory while the load runs.
    """
    requests = sum(round_data["requests"] for round_data in rounds)
    cpu_s = {
        r: sum(round_data["cpu_s"][r] for round_data in rounds) for r in ROLES
    }
    return {
        "latency": {
            kind: _compare(rounds, kind) for kind in ("first_s", "gaps_s")
        },
        "requests": requests,
        "requests_per_core_s": {r: requests / cpu_s[r] for r in ROLES},
        "tokens_per_core_s": {r: requests * tokens / cpu_s[r] for r in ROLES},
        "resident_bytes": [
            round_data["resident_bytes"] for round_data in rounds
        ],
        "loaded_bytes": rounds[0]["loaded_bytes"],
    }


def _compare(rounds: list[dict[str, Any]], kind: str) -> dict[str, Any]:
    values = {
        name: [
            value for round_data in rounds for value in round_data[kind][name]
        ]
        for name in ("direct", "fleet")
    }
    percentiles: dict[str, Any] = {}
    for percent in PERCENTILES:
        values_ms = {
            name: streams.pick_percentile(values[name], percent) * MS_PER_S
            for name in values
        }
        added = values_ms["fleet"] - values_ms["direct"]
        percentiles[f"p{percent:.0f}"] = values_ms | {"added": added}
    return percentiles


def make_tables(data: dict[str, Any]) -> list[tables.Table]:
    """Return the tables of latency and of cost."""
    return [
        _make_latency_table(data),
        _make_cost_table(data),
    ]


def _make_latency_table(data: dict[str, Any]) -> tables.Table:
    row_specs = {
        "first_s": ("first token", TARGET_FIRST_MS),
        "gaps_s": ("between tokens", TARGET_GAP_MS),
    }
    rows = []
    for kind, (name, target_ms) in row_specs.items():
        for percent, values_ms in data["latency"][kind].items():
            bound = f"{target_ms:.0f}" if percent == "p95" else ""
            times = [
                f"{values_ms[key]:.2f}" for key in ("direct", "fleet", "added")
            ]
            rows.append([name, percent, *times, bound])
    load = data["load"]
    return {
        "title": (
            f"Latency in ms at {load['requests_per_s']:g} requests and"
            f" {load['tokens_per_s']:g} tokens a second"
        ),
        "columns": ["", "", "direct", "fleet", "added", "target"],
        "rows": rows,
    }


def _make_cost_table(data: dict[str, Any]) -> tables.Table:
    streams_open = data["load"]["requests_per_s"]
    rows = []
    for role in ROLES:
        resident = [
            round_data[role] / MB for round_data in data["resident_bytes"]
        ]
        rows.append([
            role,
            f"{data['requests_per_core_s'][role]:.0f}",
            f"{data['tokens_per_core_s'][role]:.0f}",
            f"{data['loaded_bytes'][role] / streams_open / 1000:.0f}",
            ", ".join(f"{value:.1f}" for value in resident),
        ])
    return {
        "title": f"Cost over {data['requests']} requests",
        "columns": [
            "role",
            "requests a core and second",
            "tokens a core and second",
            "kB a stream, first round",
            "resident MB after each round",
        ],
        "rows": rows,
    }


__all__ = (
    "LatencyBench",
    "make_tables",
    "summarise",
)
