"""Subcommand `order`: send an order to endpoints."""

from __future__ import annotations

import argparse
import asyncio
import json
import uuid

from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.entry import orders as entry_orders
from cyclamenwing.membership import orders
from cyclamenwing.transport import protocol as transport

TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.2


class OrderCommand:
    """Order a route's endpoints to load a model or to change role."""

    NAME = "order"
    HELP = "order endpoints to load a model, adapter or version, or a role"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("kind", choices=orders.ORDER_KINDS)
        parser.add_argument(
            "value", help="model, adapter or version to load, or the role"
        )
        parser.add_argument("--route", required=True)
        parser.add_argument(
            "--host",
            action="append",
            default=[],
            help="host of an endpoint (default: all of the route)",
        )
        parser.add_argument(
            "--loads-a-minute",
            type=float,
            default=orders.LOADS_PER_MINUTE,
            help="loads a minute that the weight store allows the whole fleet",
        )
        parser.add_argument(
            "--id", default=None, help="id of an earlier attempt to repeat"
        )
        parser.add_argument("--json", action="store_true")
        remote.add_entry_argument(parser)
        remote.add_author_argument(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Send the order, wait until it ends and print each host's result."""
        job = remote.run_async(_send_order(args))
        if args.json:
            print(json.dumps(job))
        else:
            for line in describe(job):
                print(line)
        done = job["state"] == "done"
        return protocol.EXIT_OK if done else protocol.EXIT_FAILED


def describe(job: entry_orders.OrderStatus) -> list[str]:
    """Return human-readable lines."""
    lines = [
        f"{result['host']} {result['code'] or 'done'} {result['message']}"
        for result in job["results"]
    ]
    code = f" {job['code']}: {job['message']}" if job["code"] else ""
    state = f"{job['state']} under number {job['number']}{code}"
    return [line.rstrip() for line in [*lines, f"{job['id']} {state}"]]


async def _send_order(args: argparse.Namespace) -> entry_orders.OrderStatus:
    request: entry_orders.OrderRequest = {
        "id": args.id or uuid.uuid4().hex,
        "route": args.route,
        "kind": args.kind,
        "value": args.value,
        "hosts": args.host,
        "loads_a_minute": args.loads_a_minute,
        "author": args.author,
        "origin": remote.find_origin(),
    }
    async with remote.open_client() as client:
        url = f"http://{args.entry[0]}/peer/order"
        job = await client.call(
            url, request, entry_orders.OrderStatus, TIMEOUT_S
        )
        while job["state"] == "running":
            await asyncio.sleep(POLL_INTERVAL_S)
            job = await _query_job(client, url, request["id"])
    return job


async def _query_job(
    client: transport.Client, url: str, job_id: str
) -> entry_orders.OrderStatus:
    query: entry_orders.OrderStatusQuery = {"id": job_id}
    return await client.call(
        f"{url}/state", query, entry_orders.OrderStatus, TIMEOUT_S
    )


__all__ = (
    "OrderCommand",
    "describe",
)
