"""Subcommand `quarantine`: list and lift quarantined requests."""

from __future__ import annotations

import argparse
import json
from typing import TypedDict

from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.routing import quarantine

TIMEOUT_S = 3.0


class LiftReply(TypedDict):
    """Hold whether a quarantine was lifted."""

    lifted: bool


class QuarantineCommand:
    """List poison requests or lift the quarantine of one."""

    NAME = "quarantine"
    HELP = "list requests that crashed endpoints, or let one run again"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        actions = parser.add_subparsers(dest="action", required=True)
        list_parser = actions.add_parser(
            "list", help="print suspect and quarantined requests"
        )
        remote.add_entry_argument(list_parser)
        list_parser.add_argument("--json", action="store_true")
        list_parser.set_defaults(handler=run_list)
        lift_parser = actions.add_parser(
            "lift", help="let a request run again"
        )
        lift_parser.add_argument("fingerprint", help="as `list` prints it")
        remote.add_entry_argument(lift_parser)
        remote.add_author_argument(lift_parser)
        lift_parser.set_defaults(handler=run_lift)

    def run(self, args: argparse.Namespace) -> int:
        """Run the chosen action."""
        return int(args.handler(args))


def run_list(args: argparse.Namespace) -> int:
    """Print the suspect and quarantined requests of the first entry."""
    records = remote.run_async(_fetch_records(args.entry[0]))
    if args.json:
        print(json.dumps(records))
        return protocol.EXIT_OK
    for record in records:
        print(describe(record))
    print(f"{len(records)} requests")
    return protocol.EXIT_OK


def run_lift(args: argparse.Namespace) -> int:
    """Lift a quarantine; return 1 if the request was not quarantined."""
    lifted = remote.run_async(_send_lift(args))
    print("lifted" if lifted else "not quarantined")
    return protocol.EXIT_OK if lifted else protocol.EXIT_FAILED


def describe(record: quarantine.CrashRecord) -> str:
    """Return one human-readable line."""
    quarantined = len(record["crashes"]) >= quarantine.CRASHES_TO_QUARANTINE
    crashes = ", ".join(
        f"{host} at {at_ms / 1000:.0f}" for host, at_ms in record["crashes"]
    )
    state = "quarantined" if quarantined else "suspect"
    return f"{record['fingerprint']} {state}: {crashes}"


async def _fetch_records(entry: str) -> list[quarantine.CrashRecord]:
    async with remote.open_client() as client:
        return await client.call(
            f"http://{entry}/peer/quarantine/list",
            {},
            list[quarantine.CrashRecord],
            TIMEOUT_S,
        )


async def _send_lift(args: argparse.Namespace) -> bool:
    request = {
        "fingerprint": args.fingerprint,
        "author": args.author,
        "origin": remote.find_origin(),
    }
    async with remote.open_client() as client:
        # The entry records the operation in the audit trail.
        reply = await client.call(
            f"http://{args.entry[0]}/peer/quarantine/lift",
            request,
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
