"""JSON documents with comments, checked against a schema by line."""

from __future__ import annotations

import json
import pathlib
import re
from typing import Any
from typing import NamedTuple

import json_source_map
import jsonschema
import jstyleson

from cyclamenwing.settings import errors

_STRING_OR_COMMENT = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/', re.DOTALL
)


class Finding(NamedTuple):
    """Describe one fault of a document."""

    file: str
    line: int
    code: str
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.code}: {self.message}"


class Document(NamedTuple):
    """Hold a parsed document and the line of each JSON pointer."""

    file: str
    data: Any
    lines: dict[str, int]

    def find_line(self, path: list[str | int]) -> int:
        """Return the line of the deepest known part of a path."""
        for end in range(len(path), -1, -1):
            pointer = "".join(f"/{part}" for part in path[:end])
            if pointer in self.lines:
                return self.lines[pointer]
        return 1


def read_document(path: pathlib.Path) -> Document:
    """Read a file; raise `SettingsSyntaxError` with its line."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise errors.SettingsSyntaxError(f"{path}:1: {err}") from err
    return parse_document(str(path), text)


def parse_document(file: str, text: str) -> Document:
    """Parse a text; raise `SettingsSyntaxError` with its line."""
    plain = jstyleson.dispose(_STRING_OR_COMMENT.sub(_blank_comment, text))
    try:
        data = json.loads(plain, object_pairs_hook=_reject_duplicates)
    except json.JSONDecodeError as err:
        raise errors.SettingsSyntaxError(
            f"{file}:{err.lineno}: {err.msg}"
        ) from err
    except ValueError as err:
        raise errors.SettingsSyntaxError(f"{file}:1: {err}") from err
    marks = json_source_map.calculate(plain)
    lines = {
        pointer: (mark.key_start or mark.value_start).line + 1
        for pointer, mark in marks.items()
    }
    return Document(file, data, lines)


def check_document(
    document: Document, schema: dict[str, Any], code: str
) -> list[Finding]:
    """Return where a document breaks a schema, in order of lines."""
    validator = jsonschema.Draft202012Validator(schema)
    found = [
        Finding(
            document.file,
            document.find_line(list(error.absolute_path)),
            code,
            f"{error.json_path}: {error.message}",
        )
        for error in validator.iter_errors(document.data)
    ]
    return sorted(found)


def _blank_comment(match: re.Match[str]) -> str:
    # The library drops a comment's line ends, which would shift all lines.
    found = match.group()
    return found if found.startswith('"') else "\n" * found.count("\n")


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    made = dict(pairs)
    if len(made) != len(pairs):
        names = [name for name, _ in pairs]
        twice = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"duplicate keys {twice}")
    return made


__all__ = (
    "Document",
    "Finding",
    "check_document",
    "parse_document",
    "read_document",
)
