"""JSON documents with comments, and schema findings with line numbers."""

from __future__ import annotations

import collections
import difflib
import json
import pathlib
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple
from typing import cast

import json_source_map
import jsonschema

from cyclamenwing.settings import comments
from cyclamenwing.settings import errors


class Finding(NamedTuple):
    """Describe one fault of a document and its location."""

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
        """Return the line of a path, or of its deepest existing parent."""
        for end in range(len(path), -1, -1):
            pointer = "".join(f"/{_escape(part)}" for part in path[:end])
            if pointer in self.lines:
                return self.lines[pointer]
        return 1


def _escape(part: str | int) -> str:
    return str(part).replace("~", "~0").replace("/", "~1")


def read_document(path: pathlib.Path) -> Document:
    """Read and parse a file.

    :raises SettingsSyntaxError: if it can't be read or parsed
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise errors.SettingsSyntaxError(str(err), str(path)) from err
    return parse_document(str(path), text)


def parse_document(file: str, text: str) -> Document:
    """Parse a text.

    :param file: file name for error messages
    :raises SettingsSyntaxError: if the text is malformed or an object has
        duplicate keys
    """
    plain = comments.blank_comments(text)
    try:
        data = json.loads(
            plain,
            object_pairs_hook=_DuplicateKeyObject.from_pairs,
            parse_constant=_reject_constant,
        )
        lines = _find_lines(plain)
    except json.JSONDecodeError as err:
        raise errors.SettingsSyntaxError(err.msg, file, err.lineno) from err
    except ValueError as err:
        raise errors.SettingsSyntaxError(str(err), file) from err
    except RecursionError as err:
        raise errors.SettingsSyntaxError("nested too deeply", file) from err
    document = Document(file, data, lines)
    _reject_duplicates(document, data, [])
    return document


def check_document(
    document: Document, schema: dict[str, Any], code: str
) -> list[Finding]:
    """Return the schema violations of a document, sorted by line.

    :param code: code of the findings
    """
    validator = jsonschema.Draft202012Validator(schema)
    return sorted(
        finding
        for error in validator.iter_errors(document.data)
        for finding in _describe_error(document, error, code)
    )


def _describe_error(
    document: Document, error: jsonschema.ValidationError, code: str
) -> Iterator[Finding]:
    path = list(error.absolute_path)
    if error.validator != "additionalProperties":
        line = document.find_line(path)
        text = f"{error.json_path}: {error.message}"
        yield Finding(document.file, line, code, text)
        return
    # "additionalProperties" only applies to objects, with a schema object.
    known: dict[str, Any] = cast(Any, error.schema)["properties"]
    instance: dict[str, Any] = cast(Any, error.instance)
    for name in instance.keys() - known.keys():
        line = document.find_line([*path, name])
        text = (
            f"{error.json_path}: unknown key {name!r}"
            f"{_suggest_name(name, known)}"
        )
        yield Finding(document.file, line, code, text)


def _suggest_name(name: str, known: Iterable[str]) -> str:
    matches = difflib.get_close_matches(name, known, 1)
    return f", did you mean {matches[0]!r}?" if matches else ""


def _find_lines(plain: str) -> dict[str, int]:
    marks = json_source_map.calculate(plain)
    return {
        pointer: (mark.key_start or mark.value_start).line + 1
        for pointer, mark in marks.items()
    }


class _DuplicateKeyObject(dict[str, Any]):
    """Hold a JSON object and its duplicate keys."""

    duplicate_keys: tuple[str, ...] = ()

    @classmethod
    def from_pairs(cls, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        obj = cls(pairs)
        if len(obj) == len(pairs):
            return dict(obj)
        counts = collections.Counter(name for name, _ in pairs)
        obj.duplicate_keys = tuple(
            n for n, count in counts.items() if count > 1
        )
        return obj


def _reject_duplicates(
    document: Document, data: object, path: list[str | int]
) -> None:
    if isinstance(data, _DuplicateKeyObject):
        name = data.duplicate_keys[0]
        line = document.find_line([*path, name])
        raise errors.SettingsSyntaxError(
            f"duplicate key {name!r}", document.file, line
        )
    inner: Iterable[tuple[str | int, object]] = ()
    if isinstance(data, dict):
        inner = data.items()
    elif isinstance(data, list):
        inner = enumerate(data)
    for part, value in inner:
        _reject_duplicates(document, value, [*path, part])


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


__all__ = (
    "Document",
    "Finding",
    "check_document",
    "parse_document",
    "read_document",
)
