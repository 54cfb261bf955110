"""Subcommand `bench`: run a benchmark."""

from __future__ import annotations

import argparse
import json
import pathlib

from cyclamenwing.bench import budget
from cyclamenwing.bench import capacity
from cyclamenwing.bench import control
from cyclamenwing.bench import latency
from cyclamenwing.bench import protocol as bench_protocol
from cyclamenwing.bench import report
from cyclamenwing.bench import routing
from cyclamenwing.bench import tables
from cyclamenwing.cli import protocol

BENCHES: tuple[bench_protocol.Bench, ...] = (
    budget.BudgetBench(),
    capacity.CapacityBench(),
    control.ControlBench(),
    latency.LatencyBench(),
    report.ReportBench(),
    routing.RoutingBench(),
)


class BenchCommand:
    """Run a benchmark and print its tables."""

    NAME = "bench"
    HELP = "run a benchmark with stand-ins on this machine"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add one subcommand for each benchmark."""
        subjects = parser.add_subparsers(dest="subject", required=True)
        for bench in BENCHES:
            bench_parser = subjects.add_parser(
                bench.NAME, help=bench.HELP, description=bench.HELP
            )
            bench.add_arguments(bench_parser)
            bench_parser.add_argument("--json", action="store_true")
            bench_parser.add_argument(
                "--save",
                type=pathlib.Path,
                help="file to save the data in, as JSON",
            )
            bench_parser.set_defaults(measure=bench.run)

    def run(self, args: argparse.Namespace) -> int:
        """Run the benchmark and print its tables, or its data as JSON."""
        data = args.measure(args)
        if args.save:
            args.save.write_text(json.dumps(data, indent=2) + "\n")
        if args.json:
            print(json.dumps(data))
        else:
            for table in data["tables"]:
                print(tables.format_table(table))
        return protocol.EXIT_OK


__all__ = ("BenchCommand",)
