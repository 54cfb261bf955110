"""Plots of saved benchmark figures."""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from typing import Any
from typing import Literal
from typing import TypedDict

from cyclamenwing.bench import errors

PlotKind = Literal["bars", "line"]
DOTS_PER_INCH = 110
WIDTH_IN = 11.0
HEIGHT_IN = 4.8


class Series(TypedDict):
    """Hold one named series.

    `labels` holds the names of bars, or the x values of a line.
    """

    name: str
    labels: list[str] | list[float]
    values: list[float]


class Plot(TypedDict):
    """Describe one plot; a horizontal line marks the target `bound`."""

    name: str
    title: str
    kind: PlotKind
    x_label: str
    y_label: str
    bound: float | None
    series: list[Series]


def draw_plot(plot: Plot, path: pathlib.Path) -> None:
    """Draw a plot to a PNG file.

    :raises MissingLibraryError: when matplotlib is not installed
    """
    figure, axes = _open_figure()
    _DRAWERS[plot["kind"]](plot, axes)
    axes.set_title(plot["title"])
    axes.set_xlabel(plot["x_label"])
    axes.set_ylabel(plot["y_label"])
    if plot["bound"] is not None:
        axes.axhline(plot["bound"], color="crimson", linestyle="--")
        axes.annotate(
            "target",
            (1.0, plot["bound"]),
            xycoords=("axes fraction", "data"),
            ha="right",
            va="bottom",
            color="crimson",
        )
    if len(plot["series"]) > 1:
        axes.legend(fontsize="small")
    figure.savefig(path)


def _open_figure() -> tuple[Any, Any]:
    try:
        from matplotlib import figure as mpl_figure  # noqa: PLC0415
    except ImportError as err:
        raise errors.MissingLibraryError(str(err)) from err
    figure = mpl_figure.Figure(
        figsize=(WIDTH_IN, HEIGHT_IN),
        dpi=DOTS_PER_INCH,
        layout="constrained",
    )
    return figure, figure.add_subplot()


def _draw_bars(plot: Plot, axes: Any) -> None:
    series = plot["series"]
    width = 0.8 / len(series)
    labels = series[0]["labels"]
    for number, one_series in enumerate(series):
        positions = [
            position + (number - (len(series) - 1) / 2) * width
            for position in range(len(labels))
        ]
        axes.bar(
            positions, one_series["values"], width, label=one_series["name"]
        )
    axes.set_xticks(
        range(len(labels)), labels, rotation=30, ha="right", fontsize="small"
    )


def _draw_line(plot: Plot, axes: Any) -> None:
    for one_series in plot["series"]:
        axes.plot(
            one_series["labels"],
            one_series["values"],
            marker="o",
            label=one_series["name"],
        )
    axes.set_ylim(bottom=0)


_DRAWERS: dict[str, Callable[[Plot, Any], None]] = {
    "bars": _draw_bars,
    "line": _draw_line,
}

__all__ = (
    "Plot",
    "PlotKind",
    "Series",
    "draw_plot",
)
