"""Collection of the operators' files from folders."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable
from typing import NamedTuple
from typing import cast

from cyclamenwing.catalog import schema
from cyclamenwing.catalog import types
from cyclamenwing.settings import documents
from cyclamenwing.settings import errors as settings_errors

FILE_PATTERN = "*.cyclamenwing.json"


class Collected(NamedTuple):
    """Hold one file that was read and its document for line numbers."""

    document: documents.Document
    file: types.ServiceFile


class Collection(NamedTuple):
    """Hold the files that can be read and the faults of all."""

    files: list[Collected]
    findings: list[documents.Finding]


def find_files(paths: Iterable[pathlib.Path]) -> list[pathlib.Path]:
    """Return the operators' files among files and below folders."""
    found: set[pathlib.Path] = set()
    for path in paths:
        found.update(path.rglob(FILE_PATTERN) if path.is_dir() else [path])
    return sorted(found)


def collect_files(paths: Iterable[pathlib.Path]) -> Collection:
    """Read the operators' files and check each against the schema."""
    files: list[Collected] = []
    findings: list[documents.Finding] = []
    for path in find_files(paths):
        try:
            document = documents.read_document(path)
        except settings_errors.SettingsError as err:
            findings.append(
                documents.Finding(str(path), 1, err.code, err.message)
            )
            continue
        found = documents.check_document(
            document, schema.SERVICE_SCHEMA, "schema"
        )
        findings.extend(found)
        if not found:
            data = cast(types.ServiceFile, document.data)
            files.append(Collected(document, data))
    return Collection(files, findings)


__all__ = (
    "FILE_PATTERN",
    "Collected",
    "Collection",
    "collect_files",
    "find_files",
)
