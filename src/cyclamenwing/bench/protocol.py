"""Interface of a benchmark."""

from __future__ import annotations

import argparse
from typing import Any
from typing import Protocol


class Bench(Protocol):
    """Measure one subject and return its figures as JSON data."""

    NAME: str
    HELP: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this benchmark."""

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Return the figures; `tables` holds the tables to print."""


__all__ = ("Bench",)
