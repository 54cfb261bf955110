"""What a demo fleet consists of: zones, endpoints, files and money."""

from __future__ import annotations

import pathlib
from typing import NamedTuple
from typing import TypedDict
from typing import cast

from cyclamenwing.catalog import collection
from cyclamenwing.catalog import index
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.settings import documents
from cyclamenwing.settings import errors
from cyclamenwing.settings import loader

PLAN_FILE = "demo.json"
CALLER_KEY = "demo-caller-key"
SMALL_KEY = f"{CALLER_KEY}-small"
MODEL = "assistant"
TOKENS_PAID = 50_000
SMALL_PAID = 400
EXAMPLES = pathlib.Path("examples")


class Endpoints(TypedDict):
    """Give a route's replicas, spread over the zones."""

    route: str
    replicas: int


class PlanFile(TypedDict):
    """Hold an example's plan; `keys` are callers' keys for trials."""

    zones: list[str]
    endpoints: list[Endpoints]
    keys: dict[str, str]
    paid: dict[str, int]


class Plan(NamedTuple):
    """Hold all that a demo fleet is started from."""

    zones: list[str]
    endpoints: list[Endpoints]
    keys: dict[str, str]
    paid: dict[str, int]
    files: list[catalog_types.ServiceFile]

    @classmethod
    def from_folder(cls, folder: pathlib.Path) -> Plan:
        """Read an example; raise a coded error by line."""
        document = documents.read_document(folder / PLAN_FILE)
        found = documents.check_document(document, _SCHEMA, "settings_schema")
        collected = collection.collect_files([folder])
        loader.raise_findings([*found, *collected.findings])
        file = cast(PlanFile, document.data)
        return cls(**file, files=[made.file for made in collected.files])

    def find_route(self, name: str) -> catalog_types.Route:
        """Return a route by name; raise a coded error."""
        for file in self.files:
            for route in file.get("routes", []):
                if route["name"] == name:
                    return route
        raise errors.SettingsSchemaError(f"no file defines route {name!r}")


def find_example(name: str) -> pathlib.Path:
    """Return the folder of an example by its name or path."""
    for folder in (EXAMPLES / name, pathlib.Path(name)):
        if (folder / PLAN_FILE).is_file():
            return folder
    raise errors.SettingsError(
        f"neither {EXAMPLES / name} nor {name} holds {PLAN_FILE}"
    )


_SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["zones", "endpoints", "keys", "paid"],
    "properties": {
        "zones": {
            "type": "array",
            "items": {"type": "string", "minLength": 1},
            "minItems": 1,
        },
        "endpoints": {
            "type": "array",
            "items": {
                "type": "object",
                "additionalProperties": False,
                "required": ["route", "replicas"],
                "properties": {
                    "route": {"type": "string"},
                    "replicas": {
                        "type": "integer",
                        "minimum": 1,
                        "maximum": 20,
                    },
                },
            },
        },
        "keys": {
            "type": "object",
            "additionalProperties": {"type": "string", "minLength": 8},
        },
        "paid": {
            "type": "object",
            "additionalProperties": {"type": "integer", "minimum": 1},
        },
    },
}
SMALL_PLAN = Plan(
    zones=["zone-0", "zone-1"],
    endpoints=[
        {"route": "assistant", "replicas": 2},
        {"route": "records", "replicas": 1},
    ],
    keys={"panels": CALLER_KEY, "guides": SMALL_KEY},
    paid={"panels-tokens": TOKENS_PAID, "guides-tokens": SMALL_PAID},
    files=[
        {
            "service": "demo",
            "workspaces": [
                {
                    "name": "panels",
                    "keys": [index.hash_key(CALLER_KEY)],
                    "budgets": ["panels-tokens"],
                },
                {
                    "name": "guides",
                    "keys": [index.hash_key(SMALL_KEY)],
                    "budgets": ["guides-tokens"],
                },
            ],
            "budgets": [
                {"name": "panels-tokens", "unit": "tokens"},
                {"name": "guides-tokens", "unit": "tokens"},
            ],
            "routes": [
                {
                    "name": "assistant",
                    "protocol": "chat",
                    "model": MODEL,
                    "workspaces": ["*"],
                    "kind": "summary",
                },
                {
                    "name": "records",
                    "protocol": "plain",
                    "workspaces": ["*"],
                    "calls": [
                        {"method": "GET", "path": "/", "idempotent": True},
                        {"method": "POST", "path": "/decisions"},
                        {"method": "POST", "path": "/captures"},
                    ],
                },
            ],
        },
    ],
)

__all__ = (
    "CALLER_KEY",
    "EXAMPLES",
    "MODEL",
    "PLAN_FILE",
    "SMALL_PLAN",
    "SMALL_KEY",
    "SMALL_PAID",
    "TOKENS_PAID",
    "Endpoints",
    "Plan",
    "PlanFile",
    "find_example",
)
