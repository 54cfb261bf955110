"""Subcommand `bills`."""

from __future__ import annotations

import argparse
import datetime
import json

from cyclamenwing.budget import layout
from cyclamenwing.budget import segments
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import types
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.store import protocol as store_protocol


class BillsCommand:
    """Print billing records as JSON lines."""

    NAME = "bills"
    HELP = "print bills; exit 1 if they don't add up to the ledger"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("--workspace", help="of this workspace only")
        parser.add_argument("--since", type=parse_time, default=0.0)
        parser.add_argument("--until", type=parse_time, default=float("inf"))
        remote.add_store(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Print the bills, then the sums by budget, Reviewer and kind."""
        bills, faults = remote.run_async(_read(args.store))
        selected = [
            bill
            for bill in bills
            if args.since <= bill["at"] < args.until
            and args.workspace in {None, bill["workspace"]}
        ]
        for bill in selected:
            print(json.dumps(bill))
        for line in sum_bills(selected):
            print(json.dumps(line))
        for fault in faults:
            print(json.dumps({"fault": fault}))
        return protocol.EXIT_FAILED if faults else protocol.EXIT_OK


def parse_time(text: str) -> float:
    """Read a time in ISO 8601, UTC unless it says otherwise."""
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()


def sum_bills(bills: list[types.Bill]) -> list[dict[str, object]]:
    """Return requests and units by budget, Reviewer and kind."""
    sums: dict[tuple[str, str, str], list[int]] = {}
    for bill in bills:
        name = bill["budget"], bill["reviewer"], bill["kind"]
        counted = sums.setdefault(name, [0, 0])
        counted[0] += 1
        counted[1] += bill["units"]
    return [
        {
            "budget": budget,
            "reviewer": reviewer,
            "kind": kind,
            "requests": requests,
            "units": units,
        }
        for (budget, reviewer, kind), (requests, units) in sorted(sums.items())
    ]


def find_differences(
    document: types.LedgerShard, bills: list[types.Bill]
) -> list[str]:
    """Return the budgets whose bills differ from the ledger."""
    billed: dict[str, int] = {}
    for bill in bills:
        billed[bill["budget"]] = billed.get(bill["budget"], 0) + bill["units"]
    return [
        f"budget {name!r}: billed {billed.get(name, 0)},"
        f" ledger {shards.count_settled(budget)}"
        for name, budget in document["budgets"].items()
        if billed.get(name, 0) != shards.count_settled(budget)
    ]


async def read_bills(
    store: store_protocol.Store,
) -> tuple[list[types.Bill], list[str]]:
    """Return all bills and where they differ from the ledger."""
    fixed = await layout.load_layout(store, layout.DEFAULT_SHARDS)
    bills: list[types.Bill] = []
    faults: list[str] = []
    for number in range(fixed["shards"]):
        document, found = await segments.read_bills(store, number)
        bills.extend(found)
        faults.extend(find_differences(document, found))
    bills.sort(key=lambda bill: bill["at"])
    return bills, faults


async def _read(address: str) -> tuple[list[types.Bill], list[str]]:
    async with remote.open_store(address) as store:
        return await read_bills(store)


__all__ = (
    "BillsCommand",
    "find_differences",
    "parse_time",
    "read_bills",
    "sum_bills",
)
