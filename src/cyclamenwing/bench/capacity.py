"""Benchmark `capacity`: slopes of state and processor time by size."""

from __future__ import annotations

import argparse
from typing import Any

from cyclamenwing.bench import budget_probes
from cyclamenwing.bench import catalog_probes
from cyclamenwing.bench import membership_probes
from cyclamenwing.bench import request_probes
from cyclamenwing.bench import scale
from cyclamenwing.bench import slopes
from cyclamenwing.bench import tables

PROBES: tuple[slopes.Probe, ...] = (
    *budget_probes.PROBES,
    *catalog_probes.PROBES,
    *membership_probes.PROBES,
    *request_probes.PROBES,
)


class CapacityBench:
    """Run all probes and fit a line through the points of each."""

    NAME = "capacity"
    HELP = "measure how state and processor time grow with size"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments; each probe has its own sizes."""

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Return all slopes and the estimates that are computed from them."""
        fitted = [slopes.run_probe(probe) for probe in PROBES]
        printed_tables = [make_table(fitted), scale.estimate_all(fitted)]
        return {"slopes": fitted, "tables": printed_tables}


def make_table(fitted: list[slopes.Slope]) -> tables.Table:
    """Return a table with one row for each slope."""
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
            for slope in fitted
        ],
    }


__all__ = (
    "CapacityBench",
    "make_table",
)
