"""Subcommand `status`: show the state of the fleet."""

from __future__ import annotations

import argparse
import json

from cyclamenwing.cli import protocol
from cyclamenwing.cli import remote
from cyclamenwing.cli import survey


class StatusCommand:
    """Show the state of the fleet's processes."""

    NAME = "status"
    HELP = "show each process and its revision; exit 1 if any is missing"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        remote.add_entry_argument(parser)
        parser.add_argument("--json", action="store_true")

    def run(self, args: argparse.Namespace) -> int:
        """Print the processes and the unreachable hosts.

        Return 1 if a host is unreachable or follows an older revision.
        """
        fleet_survey = remote.run_async(_survey(args.entry))
        if args.json:
            print(json.dumps(fleet_survey._asdict()))
        else:
            for line in describe(fleet_survey):
                print(line)
        highest = find_highest(fleet_survey)
        is_complete = (
            not fleet_survey.unreachable
            and not fleet_survey.list_outdated(highest)
        )
        return protocol.EXIT_OK if is_complete else protocol.EXIT_FAILED


def find_highest(fleet_survey: survey.Survey) -> int:
    """Return the highest revision that any process follows."""
    states = fleet_survey.processes.values()
    return max((state["revision"] for state in states), default=0)


def describe(fleet_survey: survey.Survey) -> list[str]:
    """Return human-readable lines."""
    lines = [
        f"{state['host']} {state['role']} {state['zone']}"
        f" {state['address']} revision {state['revision']}"
        f" {state['standing'] or state['route']} load {state['load']}"
        + (" leaving" if state["leaving"] else "")
        for _, state in sorted(fleet_survey.processes.items())
    ]
    lines += [
        f"{host} out of reach: {reason}"
        for host, reason in sorted(fleet_survey.unreachable.items())
    ]
    highest = find_highest(fleet_survey)
    outdated = fleet_survey.list_outdated(highest)
    lines.append(
        f"{len(fleet_survey.processes)} processes, highest revision {highest},"
        f" {len(outdated)} behind,"
        f" {len(fleet_survey.unreachable)} out of reach"
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
