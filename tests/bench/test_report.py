"""The report renders saved data and fails clearly without any."""

from __future__ import annotations

import argparse
import json
import pathlib

import pytest

from cyclamenwing.bench import errors
from cyclamenwing.bench import report
from cyclamenwing.bench import slopes
from cyclamenwing.bench import tables

SLOPE: slopes.Slope = {
    "name": "state",
    "role": "entry",
    "against": "budgets",
    "unit": "B",
    "points": [[1.0, 2.0], [2.0, 4.0]],
    "slope": 2.0,
    "intercept": 0.0,
    "fit": 1.0,
}
TABLE: tables.Table = {
    "title": "A <title>",
    "columns": ["role"],
    "rows": [["entry & sidecar"]],
}


def test_report_renders_escaped_tables_and_plots(
    tmp_path: pathlib.Path,
) -> None:
    data = {"slopes": [SLOPE], "tables": [TABLE]}
    (tmp_path / "capacity.json").write_text(json.dumps(data))
    out = tmp_path / "out"
    args = argparse.Namespace(data=tmp_path, out=out)
    report.ReportBench().run(args)
    page = (out / "index.html").read_text()
    assert "A &lt;title&gt;" in page
    assert "entry &amp; sidecar" in page
    assert 'src="slope-00.png"' in page
    assert (out / "slope-00.png").read_bytes().startswith(b"\x89PNG")


def test_folder_without_data_raises_missing_data_error(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(errors.MissingDataError):
        report.read_sections(tmp_path)
