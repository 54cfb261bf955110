"""Loading and checking of the roles' settings files."""

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

# Settings of addresses that the process binds.
LISTEN_KEYS = ("listen", "peers", "operators")
ADDRESS_KEYS = (*LISTEN_KEYS, "store", "hosts", "endpoint")
MAX_PORT = 65_535

T = TypeVar("T")


class EntryFile(NamedTuple):
    """Hold an entry's settings and their document for line numbers."""

    settings: types.EntrySettings
    document: documents.Document


class SidecarFile(NamedTuple):
    """Hold a sidecar's settings and their document for line numbers."""

    settings: types.SidecarSettings
    document: documents.Document


def load_entry(path: pathlib.Path) -> EntryFile:
    """Read and check an entry's settings.

    :raises SettingsError: with the line of the first fault
    """
    document = _load(path, types.ENTRY_SCHEMA)
    return EntryFile(cast(types.EntrySettings, document.data), document)


def load_sidecar(path: pathlib.Path) -> SidecarFile:
    """Read and check a sidecar's settings.

    :raises SettingsError: with the line of the first fault
    """
    document = _load(path, types.SIDECAR_SCHEMA)
    return SidecarFile(cast(types.SidecarSettings, document.data), document)


def start_role(document: documents.Document, make: Callable[[], T]) -> T:
    """Create a role that binds addresses of a settings document.

    :param make: creates the role
    :raises SettingsAddressError: with the line of an address that can't be
        bound
    """
    try:
        return make()
    except transport_errors.BindFailedError as err:
        name = _find_key(document.data, err.address)
        raise errors.SettingsAddressError(
            f"$.{name}: {err.message}",
            document.file,
            document.find_line([name]),
        ) from err


def raise_findings(findings: Sequence[documents.Finding]) -> None:
    """Raise an error for the first finding; its text lists the others."""
    if not findings:
        return
    first = findings[0]
    kind = _ERRORS_BY_CODE.get(first.code, errors.SettingsSchemaError)
    text = "\n".join([first.message, *(str(item) for item in findings[1:])])
    raise kind(text, first.file, first.line)


def _load(path: pathlib.Path, schema: dict[str, Any]) -> documents.Document:
    document = documents.read_document(path)
    findings = documents.check_document(document, schema, "settings_schema")
    if not findings:
        findings = sorted(_check_addresses(document))
    raise_findings(findings)
    return document


def _check_addresses(
    document: documents.Document,
) -> Iterator[documents.Finding]:
    paths: list[list[str | int]] = [
        [name] for name in ADDRESS_KEYS if name in document.data
    ]
    paths += [["entries", i] for i in range(len(document.data["entries"]))]
    keys_by_address: dict[str, str | int] = {}
    for path in paths:
        address = document.data[path[0]]
        if len(path) > 1:
            address = address[path[1]]
        problem = _check_address(address, path[0] in LISTEN_KEYS)
        if path[0] in LISTEN_KEYS and not address.endswith(":0"):
            other = keys_by_address.setdefault(address, path[0])
            if other != path[0]:
                problem = f"{address} is bound by {other!r} already"
        if problem:
            text = f"$.{path[0]}: {problem}"
            line = document.find_line(path)
            yield documents.Finding(
                document.file, line, "settings_address", text
            )


def _check_address(address: str, is_listen_address: bool) -> str:
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as err:
        return str(err)
    if int(port) > MAX_PORT:
        return f"port {port} is above {MAX_PORT}"
    if int(port) == 0 and not is_listen_address:
        return "port 0 can't be connected to"
    return ""


def _find_key(data: dict[str, Any], address: str) -> str:
    return next(
        (name for name in LISTEN_KEYS if data.get(name) == address),
        LISTEN_KEYS[0],
    )


_ERRORS_BY_CODE: dict[str, type[errors.SettingsError]] = {
    "settings_schema": errors.SettingsSchemaError,
    "settings_address": errors.SettingsAddressError,
}

__all__ = (
    "EntryFile",
    "SidecarFile",
    "start_role",
    "load_entry",
    "load_sidecar",
    "raise_findings",
)
