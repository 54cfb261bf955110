"""Configurations that the soak publishes, each with one route of its own."""

from __future__ import annotations

import msgspec

HOST = "api.example"
VERSIONED = "versioned"
# Kinds of requests with their methods.
KINDS = {
    "read": "GET",
    "write": "POST",
    "chat": "POST",
    "resume": "POST",
    VERSIONED: "GET",
}
STREAMS = ("chat", "resume")
# Requests that may run more than once.
REPEATABLE = ("read", "resume", VERSIONED)
# Workspaces with the prepaid tokens that each version adds; the second one
# is spent again and again.
WORKSPACES = {"ample": 1_000_000, "scarce": 3_000}
PROMPT_TOKENS = 100
STRIDE = 4

_ROUTES = {
    "read": {"kind": "idempotent", "service": "api", "attempts": 2},
    "write": {"kind": "unsafe", "service": "api", "attempts": 2},
    "chat": {"kind": "streaming", "service": "llm", "sticky": True},
    "resume": {
        "kind": "streaming",
        "service": "llm",
        "attempts": 2,
        "resumable": True,
    },
}


def make_path(kind: str, version: int) -> str:
    """Return the path of a request."""
    return f"/v{version}/x" if kind == VERSIONED else f"/{kind}/x"


def count_prepaid(workspace: str, version: int) -> int:
    """Return the prepaid tokens of a workspace in a version."""
    return WORKSPACES[workspace] * version


def make_configuration(version: int) -> bytes:
    """Return a configuration as JSON."""
    own = {f"v{version}": _ROUTES["read"]}
    return msgspec.json.encode({
        "version": version,
        "routes": [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "timeout_ms": 2000,
                "goal_ms": 200,
            }
            | route
            for name, route in (_ROUTES | own).items()
        ],
        "services": [
            {"name": "api"},
            {
                "name": "llm",
                "engine": {
                    "slots": 64,
                    "kv_capacity": 400_000,
                    "stride": STRIDE,
                },
            },
        ],
        "tenants": [
            {
                "name": name,
                "api_keys": [f"key-{name}"],
                "prepaid": count_prepaid(name, version),
            }
            for name in WORKSPACES
        ],
    })


__all__ = (
    "HOST",
    "KINDS",
    "PROMPT_TOKENS",
    "REPEATABLE",
    "STREAMS",
    "STRIDE",
    "VERSIONED",
    "WORKSPACES",
    "count_prepaid",
    "make_configuration",
    "make_path",
)
