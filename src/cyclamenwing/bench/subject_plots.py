"""Plots of the saved data of each subject."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cyclamenwing.bench import plots
from cyclamenwing.bench import slopes

PERCENT = 100


def make_plots(subject: str, data: dict[str, Any]) -> list[plots.Plot]:
    """Return the plots of a subject; an empty list if none are defined."""
    make_subject_plots = _MAKERS.get(subject)
    return make_subject_plots(data) if make_subject_plots else []


def _plot_slopes(data: dict[str, Any]) -> list[plots.Plot]:
    fitted: list[slopes.Slope] = data["slopes"]
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
        for number, slope in enumerate(fitted)
    ]


def _plot_budget(data: dict[str, Any]) -> list[plots.Plot]:
    rows: list[dict[str, Any]] = data["figures"]
    return [
        _make_budget_plot(rows, "false_requests", "falsely refused", "%"),
        _make_budget_plot(rows, "overspend", "overspend", "tokens"),
    ]


def _make_budget_plot(
    rows: list[dict[str, Any]], field: str, title: str, unit: str
) -> plots.Plot:
    traces = list(dict.fromkeys(row["trace"] for row in rows))
    systems = list(dict.fromkeys(row["system"] for row in rows))
    factor = PERCENT if unit == "%" else 1
    values = {
        (row["system"], row["trace"]): row[field] * factor for row in rows
    }
    return {
        "name": f"budget-{field.replace('_', '-')}",
        "title": f"Budgets: {title} by trace",
        "kind": "bars",
        "x_label": "",
        "y_label": unit,
        "bound": None,
        "series": [
            {
                "name": system,
                "labels": traces,
                "values": [values[system, trace] for trace in traces],
            }
            for system in systems
        ],
    }


def _plot_routing(data: dict[str, Any]) -> list[plots.Plot]:
    matching_tables = [
        table for table in data["tables"] if table["columns"][0] == "policy"
    ]
    return [
        plot
        for table in matching_tables
        for plot in (
            _plot_column(table, "first p95, ms", "time to first token, p95"),
            _plot_column(table, "cache hits", "prefix-cache hits"),
        )
    ]


def _plot_column(table: Any, column: str, title: str) -> plots.Plot:
    column_index = table["columns"].index(column)
    trace = table["title"].split(",")[1].split()[-1]
    name = column.partition(",")[0].replace(" ", "-")
    return {
        "name": f"routing-{trace}-{name}",
        "title": f"Routing, {trace}: {title}",
        "kind": "bars",
        "x_label": "policy",
        "y_label": column,
        "bound": None,
        "series": [
            {
                "name": column,
                "labels": [row[0] for row in table["rows"]],
                "values": [float(row[column_index]) for row in table["rows"]],
            }
        ],
    }


_MAKERS: dict[str, Callable[[dict[str, Any]], list[plots.Plot]]] = {
    "budget": _plot_budget,
    "capacity": _plot_slopes,
    "routing": _plot_routing,
}

__all__ = ("make_plots",)
