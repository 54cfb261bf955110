from __future__ import annotations

import pathlib
import shlex
import socket

import pytest

from cyclamenwing.cli import epilogs
from cyclamenwing.cli import main
from cyclamenwing.cli import protocol

SERVICE = '{"service": "s", "budgets": [{"name": "b", "unit": "tokens"}]}'

# Each row: arguments, exit code and a text that standard error contains.
# {dir} is a folder with a valid file and one that is not JSON, {used} an
# address that is already bound.
CASES: list[tuple[str, int, str]] = [
    ("", protocol.EXIT_USAGE, "required: command"),
    ("fly", protocol.EXIT_USAGE, "invalid choice"),
    ("entry", protocol.EXIT_USAGE, "required: settings"),
    ("standin bird 127.0.0.1:0", protocol.EXIT_USAGE, "invalid choice"),
    ("top-up b ten --store x", protocol.EXIT_USAGE, "invalid int"),
    ("check {dir}/good.cyclamenwing.json", protocol.EXIT_OK, ""),
    ("check {dir}", protocol.EXIT_INVALID, ""),
    ("check {dir}/none", protocol.EXIT_INVALID, ""),
    ("entry {dir}/none.json", protocol.EXIT_INVALID, "settings_syntax"),
    ("entry {dir}/bad.cyclamenwing.json", protocol.EXIT_INVALID, ":1: "),
    ("gateway {dir}/none.json", protocol.EXIT_INVALID, "settings_syntax"),
    ("gateway {dir}/good.cyclamenwing.json", protocol.EXIT_INVALID, "schema"),
    ("sidecar {dir}/good.cyclamenwing.json", protocol.EXIT_INVALID, "schema"),
    ("standin store {used}", protocol.EXIT_INVALID, "bind_failed"),
    (
        "standin store 127.0.0.1:0 --faults {dir}/good.cyclamenwing.json",
        protocol.EXIT_INVALID,
        "settings_schema",
    ),
    ("demo --example none --once", protocol.EXIT_INVALID, "settings_error"),
    ("replay {dir}/none.json", protocol.EXIT_INVALID, "settings_syntax"),
    (
        "publish {dir}/good.cyclamenwing.json --store 127.0.0.1:1",
        protocol.EXIT_UNAVAILABLE,
        "store_unavailable",
    ),
    (
        "top-up b 5 --store 127.0.0.1:1",
        protocol.EXIT_UNAVAILABLE,
        "store_unavailable",
    ),
]


@pytest.mark.parametrize(("line", "code", "text"), CASES)
def test_exit_codes(
    line: str,
    code: int,
    text: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    (tmp_path / "good.cyclamenwing.json").write_text(SERVICE)
    (tmp_path / "bad.cyclamenwing.json").write_text("{")
    with socket.create_server(("127.0.0.1", 0)) as used:
        address = f"127.0.0.1:{used.getsockname()[1]}"
        arguments = shlex.split(line.format(dir=tmp_path, used=address))
        try:
            exit_code = main.run(arguments)
        except SystemExit as err:
            exit_code = int(str(err.code))
    error_output = capsys.readouterr().err
    assert exit_code == code
    assert text in error_output
    assert "Traceback" not in error_output


def list_examples() -> list[str]:
    lines: list[str] = []
    for text in (epilogs.PROGRAM, *epilogs.COMMANDS.values()):
        for line in text.replace("\\\n      ", "").splitlines():
            if line.startswith("  cyclamenwing "):
                lines.append(line.partition("     ")[0].strip())
    return lines


@pytest.mark.parametrize("line", list_examples())
def test_help_examples_are_valid_command_lines(line: str) -> None:
    args = main.make_parser().parse_args(shlex.split(line)[1:])
    assert args.run is not None


def test_every_subcommand_has_examples() -> None:
    assert {command.NAME for command in main.COMMANDS} <= set(epilogs.COMMANDS)
