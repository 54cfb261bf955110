"""Write the tables of saved measurements into the capacity page."""

from __future__ import annotations

import json
import pathlib
import re
import sys

from cyclamenwing.bench import tables

DATA = pathlib.Path("docs/data")
PAGE = pathlib.Path("docs/CAPACITY.md")
TABLE_PATTERN = re.compile(
    r"<!-- table (\w+) (\d+) -->\n.*?<!-- end -->\n", re.DOTALL
)


def fill_page(text: str, data: pathlib.Path) -> str:
    """Return a page with each marked table filled from the data folder."""

    def fill(match: re.Match[str]) -> str:
        subject, number = match.group(1), int(match.group(2))
        saved = json.loads((data / f"{subject}.json").read_text())
        table = tables.format_table(saved["tables"][number])
        marker = f"<!-- table {subject} {number} -->"
        return f"{marker}\n{table}<!-- end -->\n"

    return TABLE_PATTERN.sub(fill, text)


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
