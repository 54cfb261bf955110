"""Reading of operators' files from files and folders."""

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


class CollectedFile(NamedTuple):
    """Hold one service's file and its document, which has line numbers."""

    document: documents.Document
    file: types.ServiceFile


class Collection(NamedTuple):
    """Hold the valid files and the findings of all files."""

    files: list[CollectedFile]
    findings: list[documents.Finding]


def find_files(paths: Iterable[pathlib.Path]) -> list[pathlib.Path]:
    """Return the given files and the operators' files below folders."""
    files: set[pathlib.Path] = set()
    for path in paths:
        files.update(path.rglob(FILE_PATTERN) if path.is_dir() else [path])
    return sorted(files)


def collect_files(paths: Iterable[pathlib.Path]) -> Collection:
    """Read the operators' files and check each against the schema."""
    files: list[CollectedFile] = []
    findings: list[documents.Finding] = []
    for path in find_files(paths):
        try:
            document = documents.read_document(path)
        except settings_errors.SettingsError as err:
            findings.append(
                documents.Finding(str(path), 1, err.code, err.message)
            )
            continue
        file_findings = documents.check_document(
            document, schema.SERVICE_SCHEMA, "schema"
        )
        findings.extend(file_findings)
        if not file_findings:
            data = cast(types.ServiceFile, document.data)
            files.append(CollectedFile(document, data))
    return Collection(files, findings)


__all__ = (
    "FILE_PATTERN",
    "CollectedFile",
    "Collection",
    "collect_files",
    "find_files",
)
