"""Subcommand `settle`."""

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
from cyclamenwing.catalog import trail
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.store import keys
from cyclamenwing.store import protocol as store_protocol


class Doubt(TypedDict):
    """Describe what a closing session may have spent of a budget."""

    budget: str
    session: str
    units: int
    reason: str
    age_s: float


class SettleCommand:
    """List what is in doubt, or settle one doubt."""

    NAME = "settle"
    HELP = "list units in doubt; with a session, bill and return them"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("budget", nargs="?")
        parser.add_argument("session", nargs="?")
        parser.add_argument(
            "--spent", type=int, help="units to bill (default: all in doubt)"
        )
        parser.add_argument("--workspace", default="", help="to be billed")
        remote.add_store(parser)
        remote.add_author(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Print the doubts, or the budget after one is settled."""
        doubts = remote.run_async(_list(args.store))
        if args.session is None:
            for doubt in doubts:
                print(json.dumps(doubt))
            return protocol.EXIT_OK
        chosen = [
            doubt
            for doubt in doubts
            if (doubt["budget"], doubt["session"])
            == (args.budget, args.session)
        ]
        if not chosen:
            print(json.dumps({"error": "stale_session"}))
            return protocol.EXIT_FAILED
        result = remote.run_async(_settle(args, chosen[0]))
        print(json.dumps(result))
        return protocol.EXIT_FAILED if result["error"] else protocol.EXIT_OK


async def list_doubts(store: store_protocol.Store, now: float) -> list[Doubt]:
    """Return the units in doubt by budget and session."""
    fixed = await layout.load_layout(store, layout.DEFAULT_SHARDS)
    doubts: list[Doubt] = []
    for number in range(fixed["shards"]):
        found = await store.get(keys.name_ledger(number))
        document = shards.ShardCodec().decode(found.value if found else None)
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


async def _list(address: str) -> list[Doubt]:
    async with remote.open_store(address) as store:
        return await list_doubts(store, time.time())


async def _settle(args: argparse.Namespace, doubt: Doubt) -> messages.OpResult:
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

        async def carry_out() -> trail.Outcome:
            results.append(
                await admin.apply_operation(store, op, op["budget"])
            )
            return trail.Outcome(None, dict(results[0]))

        act = trail.Act(uuid.uuid4().hex, change)
        await trail.record_act(store, act, carry_out)
    return results[0]


__all__ = (
    "Doubt",
    "SettleCommand",
    "list_doubts",
)
