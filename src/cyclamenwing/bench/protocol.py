"""Interface of a measurement."""

from __future__ import annotations

import argparse
from typing import Any
from typing import Protocol


class Bench(Protocol):
    """Measure one subject and return its figures as JSON data."""

    NAME: str
    HELP: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the measurement's arguments."""

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Measure; the result has a `tables` list to print."""


__all__ = ("Bench",)
