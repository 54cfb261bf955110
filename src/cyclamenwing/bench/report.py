"""Benchmark `report`: one HTML page and plots of the saved data."""

from __future__ import annotations

import argparse
import json
import pathlib
from typing import Any
from typing import TypedDict

from cyclamenwing.bench import errors
from cyclamenwing.bench import plots
from cyclamenwing.bench import subject_plots
from cyclamenwing.bench import tables

TEMPLATE = """<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>cyclamenwing: measurements</title>
<style>
body { font: 16px/1.5 sans-serif; max-width: 64rem; margin: 2rem auto;
       padding: 0 1rem; color: #222; }
table { border-collapse: collapse; margin: 1rem 0; font-size: 0.85rem; }
th, td { border: 1px solid #bbb; padding: 0.25rem 0.5rem;
         text-align: left; overflow-wrap: anywhere; }
th { background: #eee; }
td { font-variant-numeric: tabular-nums; }
img { max-width: 100%; }
nav a { margin-right: 1rem; }
</style>
</head>
<body>
<h1>Measurements</h1>
<nav>{% for section in sections %}
<a href="#{{ section.subject }}">{{ section.subject }}</a>
{% endfor %}</nav>
{% for section in sections %}
<h2 id="{{ section.subject }}">{{ section.subject }}</h2>
{% for plot in section.plots %}
<p><img src="{{ plot.name }}.png" alt="{{ plot.title }}"></p>
{% endfor %}
{% for table in section.tables %}
<h3>{{ table.title }}</h3>
<table>
<tr>{% for cell in table.columns %}<th>{{ cell }}</th>{% endfor %}</tr>
{% for row in table.rows %}
<tr>{% for cell in row %}<td>{{ cell }}</td>{% endfor %}</tr>
{% endfor %}
</table>
{% endfor %}
{% endfor %}
</body>
</html>
"""


class Section(TypedDict):
    """Hold the tables and plots of one subject."""

    subject: str
    tables: list[tables.Table]
    plots: list[plots.Plot]


class ReportBench:
    """Write the page and its plots from saved benchmark data."""

    NAME = "report"
    HELP = "write one HTML page and plots from the saved data"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the folders of the data and of the page."""
        parser.add_argument(
            "--data", type=pathlib.Path, default=pathlib.Path("docs/data")
        )
        parser.add_argument(
            "--out", type=pathlib.Path, default=pathlib.Path("docs/report")
        )

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Write the page and its plots.

        :raises MissingDataError: when the folder holds no data
        :raises MissingLibraryError: when a library is not installed
        """
        sections = read_sections(args.data)
        args.out.mkdir(parents=True, exist_ok=True)
        for section in sections:
            for plot in section["plots"]:
                plots.draw_plot(plot, args.out / f"{plot['name']}.png")
        page = args.out / "index.html"
        page.write_text(render_page(sections))
        plot_count = sum(len(section["plots"]) for section in sections)
        table: tables.Table = {
            "title": "Report",
            "columns": ["page", "subjects", "plots"],
            "rows": [[str(page), str(len(sections)), str(plot_count)]],
        }
        return {"tables": [table]}


def read_sections(folder: pathlib.Path) -> list[Section]:
    """Return a section for each JSON file of a folder.

    :raises MissingDataError: when the folder holds no JSON files
    """
    sections: list[Section] = []
    for path in sorted(folder.glob("*.json")):
        data = json.loads(path.read_text())
        sections.append({
            "subject": path.stem,
            "tables": data["tables"],
            "plots": subject_plots.make_plots(path.stem, data),
        })
    if not sections:
        raise errors.MissingDataError(f"no JSON files in {folder}")
    return sections


def render_page(sections: list[Section]) -> str:
    """Return the page as HTML.

    :raises MissingLibraryError: when Jinja is not installed
    """
    try:
        import jinja2  # noqa: PLC0415
    except ImportError as err:
        raise errors.MissingLibraryError(str(err)) from err
    environment = jinja2.Environment(autoescape=True)
    return environment.from_string(TEMPLATE).render(sections=sections)


__all__ = (
    "ReportBench",
    "Section",
    "read_sections",
    "render_page",
)
