from __future__ import annotations

import copy
import json
import pathlib
from typing import Any

import pytest

from cyclamenwing.catalog import difference
from cyclamenwing.cli import check
from cyclamenwing.cli import main
from cyclamenwing.cli import protocol

KEY_A, KEY_B = "a" * 64, "b" * 64
PANELS: dict[str, Any] = {
    "service": "panels",
    "workspaces": [{"name": "p", "keys": [KEY_A], "budgets": ["pt"]}],
    "budgets": [{"name": "pt", "unit": "tokens"}],
    "routes": [
        {
            "name": "chat",
            "protocol": "chat",
            "model": "m",
            "workspaces": ["p"],
        },
    ],
}
GUIDES: dict[str, Any] = {
    "service": "guides",
    "workspaces": [{"name": "g", "keys": [KEY_B], "budgets": ["gt"]}],
    "budgets": [{"name": "gt", "unit": "tokens"}],
    "routes": [
        {
            "name": "records",
            "protocol": "plain",
            "workspaces": ["g"],
            "calls": [{"method": "GET", "path": "/", "idempotent": True}],
        },
    ],
}
# Each row: path in the guides' file, its new value, the code of the expected
# finding (empty for none) and the path whose line it names.
FAULTS = (
    (("service",), "panels", "duplicate_service", "service"),
    (("workspaces", 0, "name"), "p", "duplicate_workspace", "workspaces/0"),
    (("budgets", 0, "name"), "pt", "duplicate_budget", "budgets/0"),
    (("routes", 0, "name"), "chat", "duplicate_route", "routes/0"),
    (
        ("workspaces", 0, "keys", 0),
        KEY_A,
        "duplicate_key",
        "workspaces/0/keys/0",
    ),
    (
        ("workspaces", 0, "budgets"),
        ["gt", "none"],
        "dangling_budget",
        "workspaces/0/budgets/1",
    ),
    (
        ("workspaces", 0, "budgets"),
        ["gt", "gt"],
        "contradictory_budgets",
        "workspaces/0/budgets/1",
    ),
    (
        ("routes", 0, "workspaces"),
        ["g", "none"],
        "dangling_workspace",
        "routes/0/workspaces/1",
    ),
    (
        ("routes", 0, "workspaces"),
        ["*", "g"],
        "shadowed_workspace",
        "routes/0/workspaces/1",
    ),
    (
        ("routes", 0),
        {"name": "x", "protocol": "chat", "model": "m", "workspaces": ["*"]},
        "shadowed_route",
        "routes/0/model",
    ),
    (
        ("routes", 0),
        {"name": "x", "protocol": "chat", "workspaces": ["g"]},
        "contradictory_route",
        "routes/0",
    ),
    (("routes", 0, "model"), "m", "contradictory_route", "routes/0/model"),
    (
        ("routes", 0, "calls"),
        [{"method": "GET", "path": "/"}, {"method": "GET", "path": "/"}],
        "duplicate_call",
        "routes/0/calls/1",
    ),
    (
        ("routes", 0, "calls"),
        [
            {"method": "POST", "path": "/"},
            {"method": "POST", "path": "/", "idempotent": True},
        ],
        "contradictory_call",
        "routes/0/calls/1",
    ),
    (
        ("routes", 0),
        {
            "name": "x",
            "protocol": "chat",
            "model": "n",
            "kind": "draft",
            "workspaces": ["g", "p"],
        },
        "",
        "",
    ),
    (
        ("budgets", 0),
        {"name": "gt", "unit": "tokens", "kind": "x"},
        "",
        "",
    ),
    (
        ("workspaces", 0),
        {"name": "p2", "keys": [], "budgets": []},
        "dangling_workspace",
        "routes/0/workspaces/0",
    ),
    (("workspaces", 0, "weight"), 0, "schema", "workspaces/0/weight"),
)


def change_guides(path: tuple[str | int, ...], value: Any) -> dict[str, Any]:
    changed_file = copy.deepcopy(GUIDES)
    target: Any = changed_file
    for part in path[:-1]:
        target = target[part]
    target[path[-1]] = value
    return changed_file


def write_files(folder: pathlib.Path, *files: Any) -> list[pathlib.Path]:
    for number, file in enumerate(files):
        text = "// operators' file\n" + json.dumps(file, indent=1)
        path = folder / f"{number}.cyclamenwing.json"
        path.write_text(text)
    return [folder]


def find_line(path: str, file: Any) -> int:
    """Return the line of a path in the text that `write_files` writes.

    That text has one comment line before the JSON document.
    """
    text = json.dumps(insert_mark(file, path.split("/")), indent=1)
    return text[: text.index("MARK")].count("\n") + 2


def insert_mark(data: Any, parts: list[str]) -> Any:
    if not parts:
        return "MARK"
    if isinstance(data, list):
        number = int(parts[0])
        return [*data[:number], insert_mark(data[number], parts[1:])]
    return {
        name: insert_mark(value, parts[1:]) if name == parts[0] else value
        for name, value in data.items()
    }


@pytest.mark.parametrize(("path", "value", "code", "target"), FAULTS)
@pytest.mark.parametrize("published", [False, True])
def test_fault_has_code_file_and_line(
    tmp_path: pathlib.Path,
    path: tuple[str | int, ...],
    value: Any,
    code: str,
    target: str,
    published: bool,
) -> None:
    file = change_guides(path, value)
    files = [file] if published else [PANELS, file]
    services = {"panels": PANELS} if published else {}
    report = check.make_report(
        write_files(tmp_path, *files),
        {"revision": 4, "services": services},  # type: ignore[typeddict-item]
    )
    if published and code == "duplicate_service":
        assert all("panels" not in str(item) for item in report.findings)
        return
    if not code:
        assert report.findings == []
        return
    name = str(tmp_path / f"{len(files) - 1}.cyclamenwing.json")
    line = find_line(target, file)
    locations = [(item.file, item.line, item.code) for item in report.findings]
    assert (name, line, code) in locations


def test_removed_workspace_that_another_service_names(
    tmp_path: pathlib.Path,
) -> None:
    referring_file = change_guides(("routes", 0, "workspaces"), ["p"])
    emptied_file = {"service": "panels"}
    report = check.make_report(
        write_files(tmp_path, emptied_file),
        {
            "revision": 4,
            "services": {"panels": PANELS, "guides": referring_file},  # type: ignore[dict-item]
        },
    )
    codes = [(item.file, item.code) for item in report.findings]
    assert codes == [("service guides", "dangling_workspace")]


def test_workspace_without_budget_for_a_chat_route(
    tmp_path: pathlib.Path,
) -> None:
    unfunded_file = change_guides(("budgets", 0, "kind"), "draft")
    unfunded_file["routes"] = [{**PANELS["routes"][0], "workspaces": ["g"]}]
    report = check.make_report(
        write_files(tmp_path, unfunded_file), {"revision": 0, "services": {}}
    )
    codes = [(item.line, item.code) for item in report.findings]
    assert codes == [(find_line("routes/0", unfunded_file), "unfunded_route")]


def test_differences_list_each_changed_item(tmp_path: pathlib.Path) -> None:
    changed = change_guides(("budgets", 0, "unit"), "requests")
    changed["workspaces"] = []
    changed["routes"].append({**changed["routes"][0], "name": "more"})
    report = check.make_report(
        write_files(tmp_path, changed),
        {"revision": 4, "services": {"guides": GUIDES}},  # type: ignore[dict-item]
    )
    assert [difference.describe(item) for item in report.differences] == [
        'change guides/budgets/gt unit: "tokens" -> "requests"',
        "add guides/routes/more",
        "remove guides/workspaces/g",
    ]


def test_check_exit_codes(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = str(write_files(tmp_path, PANELS, GUIDES)[0])
    assert main.run(["check", "--json", folder]) == protocol.EXIT_OK
    assert json.loads(capsys.readouterr().out)["findings"] == []
    assert main.run(["check", "--diff", folder]) == protocol.EXIT_USAGE
    write_files(tmp_path, PANELS, PANELS)
    assert main.run(["check", folder]) == protocol.EXIT_INVALID
