from __future__ import annotations

import json
import pathlib
import socket
from typing import Any

import pytest

from cyclamenwing.settings import errors
from cyclamenwing.settings import loader
from cyclamenwing.settings import types
from cyclamenwing.transport import server

DOCS = pathlib.Path(__file__).parents[2] / "docs/operations/settings.md"
ENTRY = """{
  // An entry of the first zone.
  "host": "entry-1", /* two
  lines */ "zone": "zone-a",
  "listen": "127.0.0.1:8080",
  "peers": "127.0.0.1:8081",
  "operators": "127.0.0.1:8082",
  "store": "127.0.0.1:2379",
  "fleet_keys": ["key-of-sixteen-bytes", "next-key-of-sixteen"],
  "entries": ["127.0.0.1:8081"],
  "commit_interval_ms": 20, // trailing comma
}
"""
SCHEMA = errors.SettingsSchemaError
SYNTAX = errors.SettingsSyntaxError
ADDRESS = errors.SettingsAddressError

FAULTS: list[tuple[str, str, type[errors.SettingsError], int, str]] = [
    ('"zone":', '"zones":', SCHEMA, 4, "did you mean 'zone'?"),
    ("interval_ms", "interval_s", SCHEMA, 11, "'commit_interval_ms'?"),
    ('_ms": 20,', '_ms": "20ms",', SCHEMA, 11, "not of type 'integer'"),
    ('_ms": 20,', '_ms": 0,', SCHEMA, 11, "less than the minimum"),
    ('_ms": 20,', '_ms": true,', SCHEMA, 11, "not of type 'integer'"),
    ('_ms": 20,', '_ms": NaN,', SYNTAX, 1, "NaN is not JSON"),
    ('"host": "entry-1",', "", SCHEMA, 1, "'host' is a required"),
    ('"key-of-sixteen-bytes"', '"short"', SCHEMA, 9, "is too short"),
    ('"next-key-of-sixteen"', '"key-of-sixteen-bytes"', SCHEMA, 9, "unique"),
    ('"next-key-of-sixteen"', "17", SCHEMA, 9, "not of type 'string'"),
    ('"127.0.0.1:8080"', '"localhost:8080"', SCHEMA, 5, "does not match"),
    ('"127.0.0.1:8080"', '"127.0.0.1:80800"', ADDRESS, 5, "above 65535"),
    ('"127.0.0.1:8080"', '"127.0.0.256:80"', ADDRESS, 5, "256"),
    ('"127.0.0.1:8080"', '"127.0.0.1:8081"', ADDRESS, 6, "by 'listen'"),
    ('"127.0.0.1:2379"', '"127.0.0.1:0"', ADDRESS, 8, "port 0"),
    ('["127.0.0.1:8081"]', '["127.0.0.1:0"]', ADDRESS, 10, "port 0"),
    ('"zone": "zone-a",', '"zone": "zone-a"', SYNTAX, 5, "','"),
    ('"peers":', '"listen":', SYNTAX, 6, "duplicate key 'listen'"),
    (ENTRY, "[" * 100_000, SYNTAX, 1, "nested too deeply"),
    (ENTRY, "[]", SCHEMA, 1, "not of type 'object'"),
    (ENTRY, "", SYNTAX, 1, "Expecting value"),
]


@pytest.mark.parametrize(("old", "new", "kind", "line", "text"), FAULTS)
def test_fault_is_reported_with_file_line_and_code(
    tmp_path: pathlib.Path,
    old: str,
    new: str,
    kind: type[errors.SettingsError],
    line: int,
    text: str,
) -> None:
    assert old in ENTRY
    path = tmp_path / "entry.json"
    path.write_text(ENTRY.replace(old, new, 1))
    with pytest.raises(kind) as caught:
        loader.load_entry(path)
    assert f"{path}:{line}: {kind.code}: " in caught.value.message
    assert text in caught.value.message


@pytest.mark.parametrize("data", [None, b"\xff\xfe{}", b'{"host": "\xc3"}'])
def test_unreadable_file_is_a_syntax_error(
    tmp_path: pathlib.Path, data: bytes | None
) -> None:
    path = tmp_path / "entry.json"
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(SYNTAX, match=f"{path}:1: settings_syntax: "):
        loader.load_entry(path)


def test_comment_markers_in_strings_are_kept(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "entry.json"
    path.write_text(ENTRY.replace("zone-a", r"a//b/*c*/,]\"//"))
    assert loader.load_entry(path).settings["zone"] == 'a//b/*c*/,]"//'


def test_address_in_use_is_reported_with_its_line(
    tmp_path: pathlib.Path,
) -> None:
    with socket.create_server(("127.0.0.1", 0)) as used:
        address = f"127.0.0.1:{used.getsockname()[1]}"
        path = tmp_path / "entry.json"
        path.write_text(ENTRY.replace("127.0.0.1:8082", address))
        document = loader.load_entry(path).document

        def bind() -> None:
            server.Listener(server.make_application([]), address)

        with pytest.raises(ADDRESS) as caught:
            loader.start_role(document, bind)
    place = f"{path}:7: settings_address: $.operators: can't bind {address}"
    assert caught.value.message.startswith(place)


def test_sidecar_settings_are_checked(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "sidecar.json"
    data: dict[str, Any] = {
        "host": "endpoint-1",
        "zone": "zone-a",
        "listen": "127.0.0.1:0",
        "store": "127.0.0.1:2379",
        "fleet_keys": ["key-of-sixteen-bytes"],
        "entries": ["127.0.0.1:8081"],
        "endpoint": "127.0.0.1:9000",
        "route": "assistant",
    }
    path.write_text(json.dumps(data))
    assert loader.load_sidecar(path).settings == data
    path.write_text(json.dumps(data | {"peers": "127.0.0.1:1"}, indent=1))
    with pytest.raises(SCHEMA, match=r":14: .*unknown key 'peers'"):
        loader.load_sidecar(path)


@pytest.mark.parametrize("schema", [types.ENTRY_SCHEMA, types.SIDECAR_SCHEMA])
def test_every_key_is_documented(schema: dict[str, Any]) -> None:
    text = DOCS.read_text()
    missing = [key for key in schema["properties"] if f"`{key}`" not in text]
    assert missing == []
