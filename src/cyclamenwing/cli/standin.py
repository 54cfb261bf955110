"""Subcommand `standin`: a small stand-in of the platform, for trials."""

from __future__ import annotations

import argparse

from cyclamenwing.cli import process
from cyclamenwing.standin import engine
from cyclamenwing.standin import faults
from cyclamenwing.standin import hosts
from cyclamenwing.standin import service
from cyclamenwing.standin import store


class StandinCommand:
    """Run one stand-in on its own."""

    NAME = "standin"
    HELP = "run a stand-in of the platform: store, engine, service, hosts"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("kind", choices=sorted(_MAKERS))
        parser.add_argument("address", help="ip:port to bind")
        parser.add_argument("--model", default="demo-model")

    def run(self, args: argparse.Namespace) -> int:
        """Run a stand-in until it is told to stop."""
        return process.run_app(lambda: _MAKERS[args.kind](args), None)


def _make_store(args: argparse.Namespace) -> process.App:
    return store.StoreStandin(args.address)


def _make_engine(args: argparse.Namespace) -> process.App:
    state = engine.EngineState(args.model, faults.FaultTable())
    return engine.EngineStandin(args.address, state)


def _make_service(args: argparse.Namespace) -> process.App:
    return service.ServiceStandin(args.address, service.ServiceState())


def _make_hosts(args: argparse.Namespace) -> process.App:
    return hosts.HostsStandin(args.address)


_MAKERS = {
    "store": _make_store,
    "engine": _make_engine,
    "service": _make_service,
    "hosts": _make_hosts,
}

__all__ = ("StandinCommand",)
