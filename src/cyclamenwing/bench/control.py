"""Benchmark `control`: propagation delay, process cost and store calls."""

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

BASELINE_PROCESSES = (14, 60, 240)
BASELINE_CHANGES = 5
KILO = 1_000
MEGA = 1_000_000


class ControlBench:
    """Measure the control plane with real processes and by model."""

    NAME = "control"
    HELP = "time until a change is in force, control cost and store calls"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this benchmark."""
        parser.add_argument(
            "--fleet",
            action="append",
            type=parse_fleet,
            help="number of processes as ENTRIES,SIDECARS; may be repeated",
        )
        parser.add_argument("--changes", type=int, default=20)
        parser.add_argument("--idle", type=float, default=20.0, metavar="S")

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Return the figures; `tables` holds the tables to print."""
        return asyncio.run(_measure(args))


def parse_fleet(text: str) -> tuple[int, int]:
    """Return the two numbers of ``ENTRIES,SIDECARS``.

    :raises ValueError: when one of them isn't an integer
    """
    entries, _, sidecars = text.partition(",")
    return int(entries), int(sidecars)


def find_percentile(values: list[float], percent: float) -> float:
    """Return a percentile of the values by the nearest-rank method."""
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
    baselines = [
        await control_baselines.measure_distribution(
            way, size, BASELINE_CHANGES
        )
        for way in ("every process watches", "polling")
        for size in BASELINE_PROCESSES
    ]
    return {
        "fleets": fleets,
        "exchange": exchange,
        "sizes": sizes,
        "ways": baselines,
        "tables": [
            _tabulate_fleets(fleets),
            _tabulate_sizes(sizes, exchange),
            _tabulate_distribution(baselines, fleets),
        ],
    }


def _tabulate_fleets(
    fleets: list[control_fleet.FleetFigures],
) -> tables.Table:
    rows = [
        [
            f"{row['entries']} + {row['sidecars']}",
            f"{find_percentile(row['in_force_ms'], 50):.0f}",
            f"{find_percentile(row['in_force_ms'], 99):.0f}",
            f"{row['entry_share']:.2%}",
            f"{row['sidecar_share']:.2%}",
            f"{row['entry_bytes'] / MEGA:.0f}",
            f"{row['sidecar_bytes'] / MEGA:.0f}",
            str(row["watches"]),
            f"{_compute_calls_per_change(row):.1f}",
        ]
        for row in fleets
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
    # The measured time covers both sides of an exchange; each is charged
    # half of it.
    one_side_us = exchange["cpu_us"] / 2
    rows = [
        [
            f"{row['entries']} + {row['sidecars']}",
            str(row["steps"]),
            f"{row['entry_exchanges']:.1f}",
            f"{row['entry_exchanges'] * one_side_us / 1e6:.2%}",
            f"{row['sidecar_exchanges'] * one_side_us / 1e6:.2%}",
            f"{row['entry_bytes_s'] / KILO:.1f}",
            f"{row['sidecar_bytes_s'] / KILO:.1f}",
            f"{row['view_bytes'] / MEGA:.2f}",
            str(row["watches"]),
        ]
        for row in sizes
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


def _tabulate_distribution(
    baselines: list[control_baselines.DistributionFigures],
    fleets: list[control_fleet.FleetFigures],
) -> tables.Table:
    rows = [
        [
            "few watches, deltas by peers",
            str(row["entries"] + row["sidecars"]),
            str(row["watches"]),
            f"{_compute_calls_per_change(row):.1f}",
            f"{sum(row['idle_calls'].values()) / row['idle_s']:.1f}",
            f"{find_percentile(row['in_force_ms'], 99):.0f}",
        ]
        for row in fleets
    ]
    rows += [
        [
            row["way"],
            str(row["processes"]),
            str(row["watches"]),
            f"{row['calls_a_change']:.1f}",
            f"{row['calls_a_second']:.1f}",
            f"{find_percentile(row['in_force_ms'], 99):.0f}",
        ]
        for row in baselines
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


def _compute_calls_per_change(row: control_fleet.FleetFigures) -> float:
    # Other parts of the processes call the store as well. Their calls are
    # subtracted at the rate of the idle period.
    changes = len(row["in_force_ms"])
    idle_a_second = sum(row["idle_calls"].values()) / row["idle_s"]
    spent_s = sum(row["in_force_ms"]) + sum(row["publish_ms"])
    total = sum(row["change_calls"].values())
    return (total - idle_a_second * spent_s / 1000) / changes


__all__ = (
    "ControlBench",
    "find_percentile",
    "parse_fleet",
)
