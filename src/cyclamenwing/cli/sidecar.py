"""Subcommand `sidecar`: run a sidecar."""

from __future__ import annotations

import argparse
import pathlib

from cyclamenwing.cli import process
from cyclamenwing.settings import loader
from cyclamenwing.sidecar import app


class SidecarCommand:
    """Run a sidecar on the host of its endpoint."""

    NAME = "sidecar"
    HELP = "run a sidecar from its settings file"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument("settings", type=pathlib.Path)

    def run(self, args: argparse.Namespace) -> int:
        """Run a sidecar until SIGTERM or SIGINT."""
        file = loader.load_sidecar(args.settings)
        return process.run_app(
            lambda: loader.start_role(
                file.document,
                lambda: app.SidecarApp.from_config(file.settings),
            ),
            file.settings.get("log_file"),
        )


__all__ = ("SidecarCommand",)
