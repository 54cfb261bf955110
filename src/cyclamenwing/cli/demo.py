"""Subcommand `demo`: a whole fleet in one process on loopback."""

from __future__ import annotations

import argparse
import asyncio

from cyclamenwing.cli import process
from cyclamenwing.cli import protocol
from cyclamenwing.demo import fleet
from cyclamenwing.demo import tour


class DemoCommand:
    """Run stand-ins, two entries and three sidecars in one process."""

    NAME = "demo"
    HELP = "run a small fleet with stand-ins on loopback"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument(
            "--once",
            action="store_true",
            help="send sample requests, check the promises and exit",
        )
        parser.add_argument("--log-file", default="/dev/null")

    def run(self, args: argparse.Namespace) -> int:
        """Run the demo; with --once exit 1 if a promise was broken."""
        process.open_log(args.log_file)
        return asyncio.run(_run(args.once))


async def _run(once: bool) -> int:
    made = await fleet.Fleet.start()
    try:
        if not once:
            print(made.describe(), flush=True)
            await asyncio.Event().wait()
        faults = await tour.run_tour(made)
    finally:
        await made.close()
    return protocol.EXIT_FAILED if faults else protocol.EXIT_OK


__all__ = ("DemoCommand",)
