"""Tables of benchmark figures."""

from __future__ import annotations

from typing import TypedDict


class Table(TypedDict):
    """Hold a titled table whose cells are formatted text."""

    title: str
    columns: list[str]
    rows: list[list[str]]


def format_table(table: Table) -> str:
    """Return a table as Markdown."""
    lines = [
        f"### {table['title']}",
        "",
        "| " + " | ".join(table["columns"]) + " |",
        "|" + " --- |" * len(table["columns"]),
    ]
    lines.extend("| " + " | ".join(row) + " |" for row in table["rows"])
    return "\n".join(lines) + "\n"


__all__ = (
    "Table",
    "format_table",
)
