"""Subcommand `explain`."""

from __future__ import annotations

import argparse
import json

from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.entry import journal

TIMEOUT_S = 3.0


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
        """Print the request's steps at each entry that knows it."""
        courses = remote.run_async(_collect(args))
        if args.json:
            print(json.dumps(courses))
        else:
            for course in courses:
                for step in course["steps"]:
                    print(
                        f"{step['at']:.3f} {course['entry']}"
                        f" {step['step']} {json.dumps(step['detail'])}"
                    )
        known = any(course["steps"] for course in courses)
        return protocol.EXIT_OK if known else protocol.EXIT_FAILED


async def _collect(args: argparse.Namespace) -> list[journal.Course]:
    async with remote.open_client() as client:
        return [
            await client.call(
                f"http://{entry}/peer/explain",
                {"request": args.request},
                journal.Course,
                TIMEOUT_S,
            )
            for entry in args.entry
        ]


__all__ = ("ExplainCommand",)
