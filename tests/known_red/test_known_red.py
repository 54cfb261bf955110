"""The list of known failures excuses just its entries."""

from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

CONFTEST = pathlib.Path(__file__).parents[1] / "conftest.py"
TESTS = """
import pytest

@pytest.mark.parametrize("value", [1, 2])
def test_value(value):
    assert value == 2

def test_other():
    assert True
"""


@pytest.mark.parametrize(
    ("listed", "passes"),
    [
        # The case that fails is listed.
        ("tests/test_case.py::test_value[1]", True),
        # Nothing is listed, or a test that does not fail.
        (None, False),
        ("tests/test_case.py::test_other", False),
        # The whole function is listed, but one of its cases passes.
        ("tests/test_case.py::test_value", False),
    ],
)
def test_only_listed_failures_are_excused(
    tmp_path: pathlib.Path, listed: str | None, passes: bool
) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "conftest.py").write_text(CONFTEST.read_text())
    (tests / "test_case.py").write_text(TESTS)
    if listed:
        entry = f"{listed} | pytest, seed 1 | wrong value | issue 9\n"
        (tmp_path / "KNOWN-RED.txt").write_text(entry)
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "--rootdir", str(tmp_path), "tests"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert (result.returncode == 0) == passes, result.stdout
    assert ("known red: " in result.stdout) == bool(listed)


def test_line_that_is_no_entry_is_an_error(tmp_path: pathlib.Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "conftest.py").write_text(CONFTEST.read_text())
    (tmp_path / "tests" / "test_case.py").write_text(TESTS)
    (tmp_path / "KNOWN-RED.txt").write_text("test_value fails\n")
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "--rootdir", str(tmp_path), "tests"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode != 0
    assert "not an entry" in result.stdout + result.stderr
