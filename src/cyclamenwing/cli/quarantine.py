"""Subcommand `quarantine`."""

from __future__ import annotations

import argparse
import json
from typing import TypedDict

from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.routing import quarantine

TIMEOUT_S = 3.0


class LiftReply(TypedDict):
    """Tell whether a request was held."""

    lifted: bool


class QuarantineCommand:
    """List and lift the quarantine of requests that crash endpoints."""

    NAME = "quarantine"
    HELP = "list requests that crashed endpoints, or let one run again"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        actions = parser.add_subparsers(dest="action", required=True)
        listing = actions.add_parser("list", help="print what is held")
        remote.add_entries(listing)
        listing.add_argument("--json", action="store_true")
        listing.set_defaults(act=run_list)
        lifting = actions.add_parser("lift", help="let a request run again")
        lifting.add_argument("fingerprint", help="as `list` prints it")
        remote.add_entries(lifting)
        remote.add_author(lifting)
        lifting.set_defaults(act=run_lift)

    def run(self, args: argparse.Namespace) -> int:
        """List or lift."""
        return int(args.act(args))


def run_list(args: argparse.Namespace) -> int:
    """Print suspects and quarantined requests of the first entry."""
    records = remote.run_async(_list(args.entry[0]))
    if args.json:
        print(json.dumps(records))
        return protocol.EXIT_OK
    for record in records:
        print(describe(record))
    print(f"{len(records)} held")
    return protocol.EXIT_OK


def run_lift(args: argparse.Namespace) -> int:
    """Let a request run again; exit 1 if it was not held."""
    lifted = remote.run_async(_lift(args))
    print("lifted" if lifted else "not held")
    return protocol.EXIT_OK if lifted else protocol.EXIT_FAILED


def describe(record: quarantine.Record) -> str:
    """Return a line for a person."""
    held = len(record["crashes"]) >= quarantine.CRASHES_TO_QUARANTINE
    crashes = ", ".join(
        f"{host} at {at_ms / 1000:.0f}" for host, at_ms in record["crashes"]
    )
    state = "quarantined" if held else "suspect"
    return f"{record['fingerprint']} {state}: {crashes}"


async def _list(entry: str) -> list[quarantine.Record]:
    async with remote.open_client() as client:
        return await client.call(
            f"http://{entry}/peer/quarantine/list",
            {},
            list[quarantine.Record],
            TIMEOUT_S,
        )


async def _lift(args: argparse.Namespace) -> bool:
    asked = {
        "fingerprint": args.fingerprint,
        "author": args.author,
        "origin": remote.find_origin(),
    }
    async with remote.open_client() as client:
        # The entry records the act in the audit trail.
        reply = await client.call(
            f"http://{args.entry[0]}/peer/quarantine/lift",
            asked,
            LiftReply,
            TIMEOUT_S,
        )
    return reply["lifted"]


__all__ = (
    "LiftReply",
    "QuarantineCommand",
    "describe",
    "run_lift",
    "run_list",
)
