"""Subcommand `bills`: print billing records."""

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
    HELP = "print bills; exit 1 if their sums differ from the ledger"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument(
            "--workspace", help="print only the bills of this workspace"
        )
        parser.add_argument("--since", type=parse_time, default=0.0)
        parser.add_argument("--until", type=parse_time, default=float("inf"))
        remote.add_store_argument(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Print the bills, then the sums by budget, reviewer and kind."""
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
    """Parse an ISO 8601 time, UTC unless it names a zone."""
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()


def sum_bills(bills: list[types.Bill]) -> list[dict[str, object]]:
    """Return the number of requests and units by budget, reviewer and kind."""
    sums: dict[tuple[str, str, str], list[int]] = {}
    for bill in bills:
        key = bill["budget"], bill["reviewer"], bill["kind"]
        totals = sums.setdefault(key, [0, 0])
        totals[0] += 1
        totals[1] += bill["units"]
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
    """Return the budgets whose billed units differ from the ledger's."""
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
    """Return all bills by time and their differences from the ledger."""
    ledger_layout = await layout.load_layout(store, layout.DEFAULT_SHARDS)
    bills: list[types.Bill] = []
    faults: list[str] = []
    for number in range(ledger_layout["shards"]):
        document, shard_bills = await segments.read_bills(store, number)
        bills.extend(shard_bills)
        faults.extend(find_differences(document, shard_bills))
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
