"""Subcommand `check`."""

from __future__ import annotations

import argparse
import json
import pathlib

from cyclamenwing.catalog import collection
from cyclamenwing.cli import protocol


class CheckCommand:
    """Check the operators' files."""

    NAME = "check"
    HELP = "check operators' files; exit 3 if any has a fault"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("paths", nargs="+", type=pathlib.Path)
        parser.add_argument("--json", action="store_true")

    def run(self, args: argparse.Namespace) -> int:
        """Print each fault with its file and line."""
        collected = collection.collect_files(args.paths)
        if args.json:
            found = [finding._asdict() for finding in collected.findings]
            print(json.dumps(found))
        else:
            for finding in collected.findings:
                print(finding)
            print(
                f"{len(collected.files)} files,"
                f" {len(collected.findings)} faults"
            )
        if collected.findings or not collected.files:
            return protocol.EXIT_INVALID
        return protocol.EXIT_OK


__all__ = ("CheckCommand",)
