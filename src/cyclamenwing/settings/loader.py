"""Settings files of the roles, read and checked."""

from __future__ import annotations

import pathlib
from typing import Any
from typing import cast

from cyclamenwing.settings import documents
from cyclamenwing.settings import errors
from cyclamenwing.settings import types


def load_entry(path: pathlib.Path) -> types.EntrySettings:
    """Read an entry's settings; raise a coded error by line."""
    return cast(types.EntrySettings, _load(path, types.ENTRY_SCHEMA))


def load_sidecar(path: pathlib.Path) -> types.SidecarSettings:
    """Read a sidecar's settings; raise a coded error by line."""
    return cast(types.SidecarSettings, _load(path, types.SIDECAR_SCHEMA))


def _load(path: pathlib.Path, schema: dict[str, Any]) -> Any:
    document = documents.read_document(path)
    found = documents.check_document(document, schema, "settings_schema")
    if found:
        text = "\n".join(str(finding) for finding in found)
        raise errors.SettingsSchemaError(text)
    return document.data


__all__ = (
    "load_entry",
    "load_sidecar",
)
