"""Plots of each subject's kept data."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cyclamenwing.bench import plots
from cyclamenwing.bench import slopes


def make_plots(subject: str, data: dict[str, Any]) -> list[plots.Plot]:
    """Return the plots of a subject; one without any has none."""
    make = _MAKERS.get(subject)
    return make(data) if make else []


def _plot_slopes(data: dict[str, Any]) -> list[plots.Plot]:
    found: list[slopes.Slope] = data["slopes"]
    return [
        {
            "name": f"slope-{number:02d}",
            "title": f"{slope['role']}: {slope['name']}",
            "kind": "line",
            "x_label": slope["against"],
            "y_label": slope["unit"],
            "bound": None,
            "series": [
                {
                    "name": slope["name"],
                    "labels": [point[0] for point in slope["points"]],
                    "values": [point[1] for point in slope["points"]],
                }
            ],
        }
        for number, slope in enumerate(found)
    ]


_MAKERS: dict[str, Callable[[dict[str, Any]], list[plots.Plot]]] = {
    "capacity": _plot_slopes,
}

__all__ = ("make_plots",)
