"""Settings files of the roles, read and checked."""

from __future__ import annotations

import ipaddress
import pathlib
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import TypeVar
from typing import cast

from cyclamenwing.settings import documents
from cyclamenwing.settings import errors
from cyclamenwing.settings import types
from cyclamenwing.transport import errors as transport_errors

BOUND_KEYS = ("listen", "peers", "operators")
ADDRESS_KEYS = (*BOUND_KEYS, "store", "hosts", "endpoint")
MAX_PORT = 65_535

T = TypeVar("T")


class EntryFile(NamedTuple):
    """Hold an entry's settings and where they stand."""

    settings: types.EntrySettings
    document: documents.Document


class SidecarFile(NamedTuple):
    """Hold a sidecar's settings and where they stand."""

    settings: types.SidecarSettings
    document: documents.Document


def load_entry(path: pathlib.Path) -> EntryFile:
    """Read an entry's settings; raise a coded error by line."""
    document = _load(path, types.ENTRY_SCHEMA)
    return EntryFile(cast(types.EntrySettings, document.data), document)


def load_sidecar(path: pathlib.Path) -> SidecarFile:
    """Read a sidecar's settings; raise a coded error by line."""
    document = _load(path, types.SIDECAR_SCHEMA)
    return SidecarFile(cast(types.SidecarSettings, document.data), document)


def bind_role(document: documents.Document, make: Callable[[], T]) -> T:
    """Start a role; blame the line of an address that can't be bound."""
    try:
        return make()
    except transport_errors.BindFailedError as err:
        name = _find_key(document.data, err.address)
        raise errors.SettingsAddressError(
            f"$.{name}: {err.message}",
            document.file,
            document.find_line([name]),
        ) from err


def raise_findings(found: Sequence[documents.Finding]) -> None:
    """Raise the first finding's error, with the others below it."""
    if not found:
        return
    first = found[0]
    kind = _FAULTS.get(first.code, errors.SettingsSchemaError)
    text = "\n".join([first.message, *(str(item) for item in found[1:])])
    raise kind(text, first.file, first.line)


def _load(path: pathlib.Path, schema: dict[str, Any]) -> documents.Document:
    document = documents.read_document(path)
    found = documents.check_document(document, schema, "settings_schema")
    if not found:
        found = sorted(_check_addresses(document))
    raise_findings(found)
    return document


def _check_addresses(
    document: documents.Document,
) -> Iterator[documents.Finding]:
    paths: list[list[str | int]] = [
        [name] for name in ADDRESS_KEYS if name in document.data
    ]
    paths += [["entries", i] for i in range(len(document.data["entries"]))]
    bound: dict[str, str | int] = {}
    for path in paths:
        address = document.data[path[0]]
        if len(path) > 1:
            address = address[path[1]]
        fault = _check_address(address, path[0] in BOUND_KEYS)
        if path[0] in BOUND_KEYS and not address.endswith(":0"):
            other = bound.setdefault(address, path[0])
            if other != path[0]:
                fault = f"{address} is bound by {other!r} already"
        if fault:
            text = f"$.{path[0]}: {fault}"
            line = document.find_line(path)
            yield documents.Finding(
                document.file, line, "settings_address", text
            )


def _check_address(address: str, bound: bool) -> str:
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as err:
        return str(err)
    if int(port) > MAX_PORT:
        return f"port {port} is above {MAX_PORT}"
    if int(port) == 0 and not bound:
        return "port 0 names no process"
    return ""


def _find_key(data: dict[str, Any], address: str) -> str:
    return next(
        (name for name in BOUND_KEYS if data.get(name) == address),
        BOUND_KEYS[0],
    )


_FAULTS: dict[str, type[errors.SettingsError]] = {
    "settings_schema": errors.SettingsSchemaError,
    "settings_address": errors.SettingsAddressError,
}

__all__ = (
    "EntryFile",
    "SidecarFile",
    "bind_role",
    "load_entry",
    "load_sidecar",
    "raise_findings",
)
