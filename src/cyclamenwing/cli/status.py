"""Subcommand `status`."""

from __future__ import annotations

import argparse
import json

from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.cli import survey


class StatusCommand:
    """Show the fleet's state."""

    NAME = "status"
    HELP = "show each process and its revision; exit 1 if any is missing"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        remote.add_entries(parser)
        parser.add_argument("--json", action="store_true")

    def run(self, args: argparse.Namespace) -> int:
        """Print the processes and those out of reach or behind."""
        found = remote.run_async(_survey(args.entry))
        if args.json:
            print(json.dumps(found._asdict()))
        else:
            for line in describe(found):
                print(line)
        highest = find_highest(found)
        whole = not found.unreachable and not found.list_outdated(highest)
        return protocol.EXIT_OK if whole else protocol.EXIT_FAILED


def find_highest(found: survey.Survey) -> int:
    """Return the highest revision that any process follows."""
    states = found.processes.values()
    return max((state["revision"] for state in states), default=0)


def describe(found: survey.Survey) -> list[str]:
    """Return lines for a person."""
    lines = [
        f"{state['host']} {state['role']} {state['zone']}"
        f" {state['address']} revision {state['revision']}"
        f" {state['standing'] or state['route']} load {state['load']}"
        + (" leaving" if state["leaving"] else "")
        for _, state in sorted(found.processes.items())
    ]
    lines += [
        f"{host} out of reach: {why}"
        for host, why in sorted(found.unreachable.items())
    ]
    highest = find_highest(found)
    behind = found.list_outdated(highest)
    lines.append(
        f"{len(found.processes)} processes, highest revision {highest},"
        f" {len(behind)} behind, {len(found.unreachable)} out of reach"
    )
    return lines


async def _survey(entries: list[str]) -> survey.Survey:
    async with remote.open_client() as client:
        return await survey.survey_fleet(client, entries)


__all__ = (
    "StatusCommand",
    "describe",
    "find_highest",
)
