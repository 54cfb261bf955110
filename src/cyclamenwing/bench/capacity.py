"""Measurement `capacity`: the slopes behind the capacity page."""

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
