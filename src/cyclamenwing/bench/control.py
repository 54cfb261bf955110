"""Measurement of control: changes in force, cost a node, store calls."""

from __future__ import annotations

import argparse
import asyncio
import math
import pathlib
import tempfile
from typing import Any

from cyclamenwing.bench import control_baselines
from cyclamenwing.bench import control_fleet
from cyclamenwing.bench import control_model
from cyclamenwing.bench import tables

WAY_SIZES = (14, 60, 240)
WAY_CHANGES = 5
KILO = 1_000
MEGA = 1_000_000


class ControlBench:
    """Measure control with real processes and pure controllers."""

    NAME = "control"
    HELP = "time to force of a change, control's cost, the store's calls"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the measurement's arguments."""
        parser.add_argument(
            "--fleet",
            action="append",
            type=parse_fleet,
            help="ENTRIES,SIDECARS of real processes; may be repeated",
        )
        parser.add_argument("--changes", type=int, default=20)
        parser.add_argument("--idle", type=float, default=20.0, metavar="S")

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Measure; the result has a `tables` list to print."""
        return asyncio.run(_measure(args))


def parse_fleet(text: str) -> tuple[int, int]:
    """Read ``ENTRIES,SIDECARS``."""
    entries, _, sidecars = text.partition(",")
    return int(entries), int(sidecars)


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile by nearest rank."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * percent / 100) - 1)]


async def _measure(args: argparse.Namespace) -> dict[str, Any]:
    fleets: list[control_fleet.FleetFigures] = []
    for entries, sidecars in args.fleet or [(3, 6), (12, 24)]:
        with tempfile.TemporaryDirectory() as folder:
            fleets.append(
                await control_fleet.measure_fleet(
                    pathlib.Path(folder),
                    entries,
                    sidecars,
                    args.changes,
                    args.idle,
                )
            )
    exchange = await control_model.measure_exchange()
    sizes = [
        control_model.measure_size(entries, sidecars, exchange["header_bytes"])
        for entries, sidecars in control_model.SIZES
    ]
    ways = [
        await control_baselines.measure_way(way, size, WAY_CHANGES)
        for way in ("every process watches", "polling")
        for size in WAY_SIZES
    ]
    return {
        "fleets": fleets,
        "exchange": exchange,
        "sizes": sizes,
        "ways": ways,
        "tables": [
            _tabulate_fleets(fleets),
            _tabulate_sizes(sizes, exchange),
            _tabulate_ways(ways, fleets),
        ],
    }


def _tabulate_fleets(
    fleets: list[control_fleet.FleetFigures],
) -> tables.Table:
    rows = [
        [
            f"{made['entries']} + {made['sidecars']}",
            f"{find_percentile(made['in_force_ms'], 50):.0f}",
            f"{find_percentile(made['in_force_ms'], 99):.0f}",
            f"{made['entry_share']:.2%}",
            f"{made['sidecar_share']:.2%}",
            f"{made['entry_bytes'] / MEGA:.0f}",
            f"{made['sidecar_bytes'] / MEGA:.0f}",
            str(made["watches"]),
            f"{_count_calls(made):.1f}",
        ]
        for made in fleets
    ]
    return {
        "title": "Real processes on loopback",
        "columns": [
            "entries + sidecars",
            "in force p50 ms",
            "in force p99 ms",
            "entry, of a core",
            "sidecar, of a core",
            "entry MB",
            "sidecar MB",
            "watches",
            "store calls a change",
        ],
        "rows": rows,
    }


def _tabulate_sizes(
    sizes: list[control_model.SizeFigures],
    exchange: control_model.ExchangeFigures,
) -> tables.Table:
    # The cost of an exchange falls on both sides together.
    side_us = exchange["cpu_us"] / 2
    rows = [
        [
            f"{made['entries']} + {made['sidecars']}",
            str(made["steps"]),
            f"{made['entry_exchanges']:.1f}",
            f"{made['entry_exchanges'] * side_us / 1e6:.2%}",
            f"{made['sidecar_exchanges'] * side_us / 1e6:.2%}",
            f"{made['entry_bytes_s'] / KILO:.1f}",
            f"{made['sidecar_bytes_s'] / KILO:.1f}",
            f"{made['view_bytes'] / MEGA:.2f}",
            str(made["watches"]),
        ]
        for made in sizes
    ]
    return {
        "title": (
            "Messages by the controllers, heartbeats of"
            f" {exchange['header_bytes']} B headers and"
            f" {exchange['cpu_us']:.0f} us both sides"
        ),
        "columns": [
            "entries + sidecars",
            "steps",
            "exchanges a second of an entry",
            "entry, of a core",
            "sidecar, of a core",
            "entry kB/s",
            "sidecar kB/s",
            "view MB",
            "watches",
        ],
        "rows": rows,
    }


def _tabulate_ways(
    ways: list[control_baselines.WayFigures],
    fleets: list[control_fleet.FleetFigures],
) -> tables.Table:
    rows = [
        [
            "few watches, deltas by peers",
            str(made["entries"] + made["sidecars"]),
            str(made["watches"]),
            f"{_count_calls(made):.1f}",
            f"{sum(made['idle_calls'].values()) / made['idle_s']:.1f}",
            f"{find_percentile(made['in_force_ms'], 99):.0f}",
        ]
        for made in fleets
    ]
    rows += [
        [
            made["way"],
            str(made["processes"]),
            str(made["watches"]),
            f"{made['calls_a_change']:.1f}",
            f"{made['calls_a_second']:.1f}",
            f"{find_percentile(made['in_force_ms'], 99):.0f}",
        ]
        for made in ways
    ]
    return {
        "title": "Ways to spread a change",
        "columns": [
            "way",
            "processes",
            "watches",
            "store calls a change",
            "store calls a second",
            "in force p99 ms",
        ],
        "rows": rows,
    }


def _count_calls(made: control_fleet.FleetFigures) -> float:
    # Other concerns call the store as well; the idle rate is theirs.
    changes = len(made["in_force_ms"])
    idle_a_second = sum(made["idle_calls"].values()) / made["idle_s"]
    spent_s = sum(made["in_force_ms"]) + sum(made["publish_ms"])
    total = sum(made["change_calls"].values())
    return (total - idle_a_second * spent_s / 1000) / changes


__all__ = (
    "ControlBench",
    "find_percentile",
    "parse_fleet",
)
