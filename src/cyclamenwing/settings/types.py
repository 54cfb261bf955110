"""Types and JSON schemas of the roles' settings files."""

from __future__ import annotations

from typing import Any
from typing import NotRequired
from typing import TypedDict

# Upper limit of the setting `max_body_bytes`.
MAX_BODY_BYTES = 64 * 1024 * 1024


class CommonSettings(TypedDict):
    """Hold the settings that all roles share; addresses are ``ip:port``."""

    host: str
    zone: str
    listen: str
    operators: NotRequired[str]
    store: str
    hosts: NotRequired[str]
    fleet_keys: list[str]
    entries: list[str]
    log_file: NotRequired[str]


class EntrySettings(CommonSettings):
    """Hold the settings of an entry.

    `peers` is the address that other processes of the fleet connect to.
    """

    peers: str
    ledger_shards: NotRequired[int]
    commit_interval_ms: NotRequired[int]
    budget_weight: NotRequired[float]
    max_body_bytes: NotRequired[int]
    body_timeout_s: NotRequired[float]


class SidecarSettings(CommonSettings):
    """Hold the settings of a sidecar.

    `endpoint` is the address of the endpoint beside it.
    """

    endpoint: str
    route: str
    orders_checked: NotRequired[bool]


_ADDRESS = {
    "type": "string",
    "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
}
_COMMON: dict[str, Any] = {
    "host": {"type": "string", "minLength": 1},
    "zone": {"type": "string", "minLength": 1},
    "listen": _ADDRESS,
    "operators": _ADDRESS,
    "store": _ADDRESS,
    "hosts": _ADDRESS,
    "fleet_keys": {
        "type": "array",
        "items": {"type": "string", "minLength": 16},
        "minItems": 1,
        "uniqueItems": True,
    },
    "entries": {"type": "array", "items": _ADDRESS, "uniqueItems": True},
    "log_file": {"type": "string"},
}
_COMMON_REQUIRED = [
    "host",
    "zone",
    "listen",
    "store",
    "fleet_keys",
    "entries",
]

ENTRY_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": [*_COMMON_REQUIRED, "peers"],
    "properties": {
        **_COMMON,
        "peers": _ADDRESS,
        "ledger_shards": {"type": "integer", "minimum": 1, "maximum": 4096},
        "commit_interval_ms": {"type": "integer", "minimum": 1},
        "budget_weight": {"type": "number", "minimum": 0, "maximum": 1},
        "max_body_bytes": {
            "type": "integer",
            "minimum": 1024,
            "maximum": MAX_BODY_BYTES,
        },
        "body_timeout_s": {"type": "number", "exclusiveMinimum": 0},
    },
}
SIDECAR_SCHEMA: dict[str, Any] = {
    "type": "object",
    "additionalProperties": False,
    "required": [*_COMMON_REQUIRED, "endpoint", "route"],
    "properties": {
        **_COMMON,
        "endpoint": _ADDRESS,
        "route": {"type": "string", "minLength": 1},
        "orders_checked": {"type": "boolean"},
    },
}

__all__ = (
    "ENTRY_SCHEMA",
    "MAX_BODY_BYTES",
    "SIDECAR_SCHEMA",
    "CommonSettings",
    "EntrySettings",
    "SidecarSettings",
)
