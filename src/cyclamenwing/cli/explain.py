"""Subcommand `explain`: show the timeline of a request."""

from __future__ import annotations

import argparse
import asyncio
import json
from typing import TypedDict

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.membership import types as membership_types
from cyclamenwing.request import journal
from cyclamenwing.transport import client as transport_client

TIMEOUT_S = 3.0


class StatusReply(TypedDict):
    """Hold the part of an entry's status that lists the members."""

    members: list[membership_types.Member]


class ExplainCommand:
    """Show the timeline of one request."""

    NAME = "explain"
    HELP = "show the timeline of one request by its id"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("request", help="the X-Request-Id of the answer")
        parser.add_argument("--json", action="store_true")
        remote.add_entry_argument(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Print the request's steps at each process that recorded it."""
        timelines = remote.run_async(_collect_timelines(args))
        if args.json:
            print(json.dumps(timelines))
        else:
            print("\n".join(list_steps(timelines)))
        recorded = any(timeline["steps"] for timeline in timelines)
        return protocol.EXIT_OK if recorded else protocol.EXIT_FAILED


def list_steps(timelines: list[journal.Timeline]) -> list[str]:
    """Return one line for each step at any process, by time."""
    steps = [
        (step["at"], timeline["host"], step)
        for timeline in timelines
        for step in timeline["steps"]
    ]
    return [
        f"{at:.3f} {host} {step['step']} {json.dumps(step['detail'])}"
        for at, host, step in sorted(steps, key=lambda item: item[:2])
    ]


async def _collect_timelines(
    args: argparse.Namespace,
) -> list[journal.Timeline]:
    async with remote.open_client() as client:
        sidecars = await asyncio.gather(
            *(_fetch_sidecars(client, entry) for entry in args.entry)
        )
        urls = [f"http://{entry}/peer/explain" for entry in args.entry]
        urls.extend(
            f"http://{address}/v1/explain"
            for address in sorted(set().union(*sidecars))
        )
        timelines = await asyncio.gather(
            *(_fetch_timeline(client, url, args.request) for url in urls)
        )
        return [timeline for timeline in timelines if timeline["steps"]]


async def _fetch_sidecars(
    client: transport_client.CurlClient, entry: str
) -> set[str]:
    try:
        status = await client.call(
            f"http://{entry}/peer/status", {}, StatusReply, TIMEOUT_S
        )
    except base_errors.CodedError as err:
        eliot.log_message("explain:unreachable", url=entry, code=err.code)
        return set()
    heartbeats = [member["beat"] for member in status["members"]]
    return {
        heartbeat["address"]
        for heartbeat in heartbeats
        if heartbeat["role"] == "sidecar"
    }


async def _fetch_timeline(
    client: transport_client.CurlClient, url: str, request: str
) -> journal.Timeline:
    try:
        return await client.call(
            url, {"request": request}, journal.Timeline, TIMEOUT_S
        )
    except base_errors.CodedError as err:
        eliot.log_message("explain:unreachable", url=url, code=err.code)
        return {"request": request, "host": url, "steps": []}


__all__ = (
    "ExplainCommand",
    "list_steps",
)
