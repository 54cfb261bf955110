"""Measurement `capacity`: the slopes behind the capacity page."""

from __future__ import annotations

import argparse
from typing import Any

from cyclamenwing.bench import budgetprobes
from cyclamenwing.bench import catalogprobes
from cyclamenwing.bench import memberprobes
from cyclamenwing.bench import requestprobes
from cyclamenwing.bench import scale
from cyclamenwing.bench import slopes
from cyclamenwing.bench import tables

PROBES: tuple[slopes.Probe, ...] = (
    *budgetprobes.PROBES,
    *catalogprobes.PROBES,
    *memberprobes.PROBES,
    *requestprobes.PROBES,
)


class CapacityBench:
    """Run all probes and fit their slopes."""

    NAME = "capacity"
    HELP = "measure how state and processor time grow with size"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments: the sizes belong to the probes."""

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Measure every slope."""
        found = [slopes.run_probe(probe) for probe in PROBES]
        shown = [make_table(found), scale.estimate_all(found)]
        return {"slopes": found, "tables": shown}


def make_table(found: list[slopes.Slope]) -> tables.Table:
    """Return the slopes as a table."""
    return {
        "title": "Slopes",
        "columns": ["role", "measure", "against", "slope", "at 0", "fit"],
        "rows": [
            [
                slope["role"],
                slope["name"],
                slope["against"],
                f"{slope['slope']:.3g} {slope['unit']}",
                f"{slope['intercept']:.3g} {slope['unit']}",
                f"{slope['fit']:.3f}",
            ]
            for slope in found
        ],
    }


__all__ = (
    "CapacityBench",
    "make_table",
)
