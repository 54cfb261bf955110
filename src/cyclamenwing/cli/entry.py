"""Subcommand `entry`: run an entry."""

from __future__ import annotations

import argparse
import pathlib

from cyclamenwing.cli import process
from cyclamenwing.entry import app
from cyclamenwing.settings import loader


class EntryCommand:
    """Run an entry, which admits callers' requests and routes them."""

    NAME = "entry"
    HELP = "run an entry from its settings file"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("settings", type=pathlib.Path)

    def run(self, args: argparse.Namespace) -> int:
        """Run an entry until SIGTERM or SIGINT."""
        file = loader.load_entry(args.settings)
        return process.run_app(
            lambda: loader.start_role(
                file.document,
                lambda: app.EntryApp.from_config(file.settings),
            ),
            file.settings.get("log_file"),
        )


__all__ = ("EntryCommand",)
