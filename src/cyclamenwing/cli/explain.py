"""Subcommand `explain`."""

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
    """Hold what `explain` needs of an entry's status."""

    members: list[membership_types.Member]


class ExplainCommand:
    """Show what became of one request."""

    NAME = "explain"
    HELP = "show the course of one request by its id"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("request", help="the X-Request-Id of the answer")
        parser.add_argument("--json", action="store_true")
        remote.add_entries(parser)

    def run(self, args: argparse.Namespace) -> int:
        """Print the request's steps at each process that knows it."""
        courses = remote.run_async(_collect(args))
        if args.json:
            print(json.dumps(courses))
        else:
            print("\n".join(list_steps(courses)))
        known = any(course["steps"] for course in courses)
        return protocol.EXIT_OK if known else protocol.EXIT_FAILED


def list_steps(courses: list[journal.Timeline]) -> list[str]:
    """Return one line a step of all processes, in order of time."""
    steps = [
        (step["at"], course["host"], step)
        for course in courses
        for step in course["steps"]
    ]
    return [
        f"{at:.3f} {host} {step['step']} {json.dumps(step['detail'])}"
        for at, host, step in sorted(steps, key=lambda item: item[:2])
    ]


async def _collect(args: argparse.Namespace) -> list[journal.Timeline]:
    async with remote.open_client() as client:
        sidecars = await asyncio.gather(
            *(_list_sidecars(client, entry) for entry in args.entry)
        )
        urls = [f"http://{entry}/peer/explain" for entry in args.entry]
        urls.extend(
            f"http://{address}/v1/explain"
            for address in sorted(set().union(*sidecars))
        )
        courses = await asyncio.gather(
            *(_ask(client, url, args.request) for url in urls)
        )
        return [course for course in courses if course["steps"]]


async def _list_sidecars(
    client: transport_client.CurlClient, entry: str
) -> set[str]:
    try:
        status = await client.call(
            f"http://{entry}/peer/status", {}, StatusReply, TIMEOUT_S
        )
    except base_errors.CodedError as err:
        eliot.log_message("explain:unreachable", url=entry, code=err.code)
        return set()
    beats = [member["beat"] for member in status["members"]]
    return {beat["address"] for beat in beats if beat["role"] == "sidecar"}


async def _ask(
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
