"""Interface and exit codes of subcommands."""

from __future__ import annotations

import argparse
from typing import Protocol

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_INVALID = 3
EXIT_UNAVAILABLE = 4
EXIT_INTERRUPTED = 130


class Command(Protocol):
    """Define a subcommand: its name, help, arguments and action."""

    NAME: str
    HELP: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""

    def run(self, args: argparse.Namespace) -> int:
        """Run the subcommand and return the exit code."""


__all__ = (
    "EXIT_FAILED",
    "EXIT_INTERRUPTED",
    "EXIT_INVALID",
    "EXIT_OK",
    "EXIT_UNAVAILABLE",
    "EXIT_USAGE",
    "Command",
)
