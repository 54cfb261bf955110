"""Write the tables of kept measurements into the capacity page."""

from __future__ import annotations

import json
import pathlib
import re
import sys

from cyclamenwing.bench import tables

DATA = pathlib.Path("docs/data")
PAGE = pathlib.Path("docs/CAPACITY.md")
MARKED = re.compile(
    r"<!-- table (\w+) (\d+) -->\n.*?<!-- end -->\n", re.DOTALL
)


def fill_page(text: str, data: pathlib.Path) -> str:
    """Return a page with each marked table taken from the data."""

    def fill(match: re.Match[str]) -> str:
        subject, number = match.group(1), int(match.group(2))
        kept = json.loads((data / f"{subject}.json").read_text())
        table = tables.format_table(kept["tables"][number])
        mark = f"<!-- table {subject} {number} -->"
        return f"{mark}\n{table}<!-- end -->\n"

    return MARKED.sub(fill, text)


def main() -> int:
    """Fill the page; return the exit code."""
    PAGE.write_text(fill_page(PAGE.read_text(), DATA))
    return 0


if __name__ == "__main__":
    sys.exit(main())

__all__ = (
    "fill_page",
    "main",
)
