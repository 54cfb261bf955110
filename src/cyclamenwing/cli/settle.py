"""Subcommand `settle`: settle units in doubt."""

from __future__ import annotations

import argparse
import json
import time
import uuid
from typing import TypedDict

from cyclamenwing.budget import admin
from cyclamenwing.budget import layout
from cyclamenwing.budget import messages
from cyclamenwing.budget import shard as shards
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import audit_trail
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol


class Doubt(TypedDict):
    """Describe the units of a budget that a closing session may have spent."""

    budget: str
    session: str
    units: int
    reason: str
    age_s: float


class SettleCommand:
    """List the units in doubt, or settle those of one session."""

    NAME = "settle"
    HELP = "list units in doubt; with a session, bill them and return the rest"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("budget", nargs="?")
        parser.add_argument("session", nargs="?")
        parser.add_argument(
            "--spent", type=int, help="units to bill (default: all in doubt)"
        )
        parser.add_argument(
            "--workspace", default="", help="workspace to bill"
        )
        remote.add_store_argument(parser)
        remote.add_author_argument(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Print the units in doubt, or the budget after a settlement."""
        doubts = remote.run_async(_read_doubts(args.store))
        if args.session is None:
            for doubt in doubts:
                print(json.dumps(doubt))
            return protocol.EXIT_OK
        matching = [
            doubt
            for doubt in doubts
            if (doubt["budget"], doubt["session"])
            == (args.budget, args.session)
        ]
        if not matching:
            print(json.dumps({"error": "stale_session"}))
            return protocol.EXIT_FAILED
        result = remote.run_async(_settle_doubt(args, matching[0]))
        print(json.dumps(result))
        return protocol.EXIT_FAILED if result["error"] else protocol.EXIT_OK


async def list_doubts(store: store_protocol.Store, now: float) -> list[Doubt]:
    """Return the units in doubt by budget and session.

    :param now: Unix time, for the age of each doubt
    """
    ledger_layout = await layout.load_layout(store, layout.DEFAULT_SHARDS)
    doubts: list[Doubt] = []
    for number in range(ledger_layout["shards"]):
        stored = await store.get(keys.name_ledger(number))
        document = shards.ShardCodec().decode(stored.value if stored else None)
        doubts.extend(
            {
                "budget": name,
                "session": session,
                "units": shards.count_outstanding(grant),
                "reason": grant["reason"],
                "age_s": now - grant["closing"],
            }
            for name, budget in document["budgets"].items()
            for session, grant in budget["grants"].items()
            if grant["closing"] and shards.count_outstanding(grant)
        )
    return doubts


async def _read_doubts(address: str) -> list[Doubt]:
    async with remote.open_store(address) as store:
        return await list_doubts(store, time.time())


async def _settle_doubt(
    args: argparse.Namespace, doubt: Doubt
) -> messages.OpResult:
    op: messages.DoubtSettlement = {
        "op": "settle_doubt",
        "budget": doubt["budget"],
        "session": doubt["session"],
        "spent": doubt["units"] if args.spent is None else args.spent,
        "workspace": args.workspace,
    }
    change = audit.Change(
        time.time(),
        args.author,
        remote.find_origin(),
        "settle",
        doubt["budget"],
        args.workspace,
        dict(doubt),
        dict(op),
    )
    results: list[messages.OpResult] = []
    async with remote.open_store(args.store) as store:

        async def carry_out() -> audit_trail.Outcome:
            results.append(
                await admin.apply_operation(store, op, op["budget"])
            )
            return audit_trail.Outcome(None, dict(results[0]))

        operation = audit_trail.Operation(uuid.uuid4().hex, change)
        await audit_trail.record_operation(store, operation, carry_out)
    return results[0]


__all__ = (
    "Doubt",
    "SettleCommand",
    "list_doubts",
)
