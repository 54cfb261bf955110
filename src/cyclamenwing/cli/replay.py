"""Subcommand `replay`."""

from __future__ import annotations

import argparse
import pathlib

import msgspec

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
    """Replay traces against their stated outcomes."""

    NAME = "replay"
    HELP = "replay traces; exit 1 if an outcome differs"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("traces", nargs="+", type=pathlib.Path)

    def run(self, args: argparse.Namespace) -> int:
        """Replay each trace and print what differs."""
        differing = 0
        for path in args.traces:
            found = replay_file(path)
            differing += len(found)
            print(f"{path}: {'; '.join(found) or 'as stated'}")
        return protocol.EXIT_FAILED if differing else protocol.EXIT_OK


def replay_file(path: pathlib.Path) -> list[str]:
    """Replay one trace file; raise a coded error if it can't be read."""
    try:
        trace = msgspec.json.decode(
            path.read_bytes(), type=replay_protocol.Trace
        )
    except (OSError, msgspec.ValidationError, msgspec.DecodeError) as err:
        raise errors.SettingsSyntaxError(str(err), str(path)) from err
    for replayer in REPLAYERS:
        if trace["kind"] == replayer.KIND:
            return replayer.replay(trace)
    raise errors.SettingsSchemaError(
        f"unknown kind {trace['kind']!r}", str(path)
    )


__all__ = (
    "ReplayCommand",
    "replay_file",
)
