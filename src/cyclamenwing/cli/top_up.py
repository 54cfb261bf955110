"""Subcommand `top-up`: add units to a budget."""

from __future__ import annotations

import argparse
import json
import time
import uuid

from cyclamenwing.budget import admin
from cyclamenwing.budget import messages
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import audit_trail
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote


class TopUpCommand:
    """Add units to a budget, once for each payment id."""

    NAME = "top-up"
    HELP = "add units to a budget; a repeated id counts once"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("budget")
        parser.add_argument("amount", type=int)
        parser.add_argument("--id", default=None, help="id of the payment")
        remote.add_store_argument(parser)
        remote.add_author_argument(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Top up the budget and print its state."""
        op: messages.TopUp = {
            "op": "top_up",
            "id": args.id or uuid.uuid4().hex,
            "budget": args.budget,
            "amount": args.amount,
        }
        result = remote.run_async(_apply_top_up(args, op))
        print(json.dumps({"id": op["id"], **result}))
        return protocol.EXIT_FAILED if result["error"] else protocol.EXIT_OK


async def _apply_top_up(
    args: argparse.Namespace, op: messages.TopUp
) -> messages.OpResult:
    results: list[messages.OpResult] = []
    change = audit.Change(
        time.time(),
        args.author,
        remote.find_origin(),
        "top-up",
        op["budget"],
        "",
        None,
        dict(op),
    )
    async with remote.open_store(args.store) as store:

        async def carry_out() -> audit_trail.Outcome:
            results.append(await admin.apply_top_up(store, op))
            return audit_trail.Outcome(None, dict(results[0]))

        await audit_trail.record_operation(
            store, audit_trail.Operation(op["id"], change), carry_out
        )
    return results[0]


__all__ = ("TopUpCommand",)
