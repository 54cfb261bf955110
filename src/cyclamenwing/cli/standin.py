"""Subcommand `standin`: run a stand-in of a platform service, for tests."""

from __future__ import annotations

import argparse
import pathlib

from cyclamenwing.cli import process
from cyclamenwing.standin import engine
from cyclamenwing.standin import faults
from cyclamenwing.standin import generation
from cyclamenwing.standin import hosts
from cyclamenwing.standin import service
from cyclamenwing.standin import store


class StandinCommand:
    """Run one stand-in in a process of its own."""

    NAME = "standin"
    HELP = "run a stand-in of the platform: store, engine, service, hosts"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("kind", choices=sorted(_MAKERS))
        parser.add_argument("address", help="ip:port to bind")
        parser.add_argument(
            "--model",
            default="demo-model",
            help="engine: the model's name (default: %(default)s)",
        )
        parser.add_argument(
            "--token-interval-ms",
            type=float,
            default=generation.TOKEN_INTERVAL_S * 1000,
            help="engine: time between tokens (default: %(default)s)",
        )
        parser.add_argument(
            "--reads-per-s",
            type=float,
            help="store: reads and new watches a second (default: no limit)",
        )
        parser.add_argument(
            "--writes-per-s",
            type=float,
            help="store: writes a second (default: no limit)",
        )
        parser.add_argument(
            "--faults",
            type=pathlib.Path,
            metavar="FILE",
            help="file of faults to inject, in JSON with comments",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Run a stand-in until SIGTERM or SIGINT."""
        table = (
            faults.FaultTable.from_file(args.faults)
            if args.faults
            else faults.FaultTable()
        )
        return process.run_app(lambda: _MAKERS[args.kind](args, table), None)


def _make_store(
    args: argparse.Namespace, table: faults.FaultTable
) -> process.App:
    limits = store.RateLimits(args.reads_per_s, args.writes_per_s)
    return store.StoreStandin(args.address, table, limits)


def _make_engine(
    args: argparse.Namespace, table: faults.FaultTable
) -> process.App:
    interval_s = args.token_interval_ms / 1000
    state = engine.EngineState(args.model, table, interval_s)
    return engine.EngineStandin(args.address, state)


def _make_service(
    args: argparse.Namespace, table: faults.FaultTable
) -> process.App:
    return service.ServiceStandin(args.address, service.ServiceState(table))


def _make_hosts(
    args: argparse.Namespace, table: faults.FaultTable
) -> process.App:
    return hosts.HostsStandin(args.address)


_MAKERS = {
    "store": _make_store,
    "engine": _make_engine,
    "service": _make_service,
    "hosts": _make_hosts,
}

__all__ = ("StandinCommand",)
