"""Subcommand `replay`: replay recorded traces."""

from __future__ import annotations

import argparse
import pathlib

import msgspec

from cyclamenwing import decoding
from cyclamenwing.cli import protocol
from cyclamenwing.replay import budget
from cyclamenwing.replay import protocol as replay_protocol
from cyclamenwing.replay import routing
from cyclamenwing.settings import errors

REPLAYERS: tuple[replay_protocol.Replayer, ...] = (
    budget.BudgetReplayer(),
    routing.RoutingReplayer(),
)


class ReplayCommand:
    """Replay traces and compare the outcomes with the expected ones."""

    NAME = "replay"
    HELP = "replay traces; exit 1 if an outcome differs"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("traces", nargs="+", type=pathlib.Path)

    def run(self, args: argparse.Namespace) -> int:
        """Replay each trace and print the differences."""
        difference_count = 0
        for path in args.traces:
            differences = replay_file(path)
            difference_count += len(differences)
            print(f"{path}: {'; '.join(differences) or 'as stated'}")
        return protocol.EXIT_FAILED if difference_count else protocol.EXIT_OK


def replay_file(path: pathlib.Path) -> list[str]:
    """Replay one trace file and return the differences.

    :raises SettingsError: if the file can't be read or its kind is unknown
    """
    try:
        trace = decoding.decode(path.read_bytes(), replay_protocol.Trace)
    except (OSError, msgspec.DecodeError) as err:
        raise errors.SettingsSyntaxError(str(err), str(path)) from err
    for replayer in REPLAYERS:
        if trace["kind"] == replayer.KIND:
            return replayer.replay(trace)
    raise errors.SettingsSchemaError(
        f"unknown trace kind {trace['kind']!r}", str(path)
    )


__all__ = (
    "ReplayCommand",
    "replay_file",
)
