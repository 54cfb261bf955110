"""JSON schema of the operators' files."""

from __future__ import annotations

from typing import Any

NAME: dict[str, Any] = {
    "type": "string",
    "pattern": r"^[a-z0-9][a-z0-9-]{0,62}$",
}
_KEY = {"type": "string", "pattern": r"^[0-9a-f]{64}$"}
_POSITIVE = {"type": "integer", "minimum": 1}


def _make_object(
    required: list[str], properties: dict[str, Any]
) -> dict[str, Any]:
    return {
        "type": "object",
        "additionalProperties": False,
        "required": required,
        "properties": properties,
    }


def _make_list(items: dict[str, Any]) -> dict[str, Any]:
    return {"type": "array", "items": items}


_WORKSPACE = _make_object(
    ["name", "keys", "budgets"],
    {
        "name": NAME,
        "keys": _make_list(_KEY),
        "budgets": _make_list(NAME),
        "weight": _POSITIVE,
        "max_running": _POSITIVE,
        "max_queued": _POSITIVE,
    },
)
_BUDGET = _make_object(
    ["name", "unit"],
    {
        "name": NAME,
        "unit": {"enum": ["tokens", "requests"]},
        "kind": NAME,
        "reviewer": {"type": "string", "minLength": 1},
    },
)
_CALL = _make_object(
    ["method", "path"],
    {
        "method": {"enum": ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]},
        "path": {"type": "string", "pattern": "^/"},
        "idempotent": {"type": "boolean"},
        "kind": NAME,
    },
)
_ROUTE = _make_object(
    ["name", "protocol", "workspaces"],
    {
        "name": NAME,
        "protocol": {"enum": ["chat", "plain"]},
        "model": {"type": "string", "minLength": 1},
        "workspaces": _make_list({"type": "string", "minLength": 1}),
        "kind": NAME,
        "priority": {"enum": ["interactive", "batch"]},
        "max_tokens": _POSITIVE,
        "timeout_s": {"type": "number", "exclusiveMinimum": 0},
        "max_body_bytes": _POSITIVE,
        "calls": _make_list(_CALL),
        "orders_checked": {"type": "boolean"},
    },
)
SERVICE_SCHEMA: dict[str, Any] = _make_object(
    ["service"],
    {
        "service": NAME,
        "workspaces": _make_list(_WORKSPACE),
        "budgets": _make_list(_BUDGET),
        "routes": _make_list(_ROUTE),
    },
)

__all__ = (
    "NAME",
    "SERVICE_SCHEMA",
)
