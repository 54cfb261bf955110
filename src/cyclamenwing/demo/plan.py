"""Plan of a demo fleet: zones, endpoints, keys, budgets and files."""

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
SMALL_BUDGET_KEY = f"{CALLER_KEY}-small"
MODEL = "assistant"
LARGE_BUDGET_TOKENS = 50_000
SMALL_BUDGET_TOKENS = 400
EXAMPLES = pathlib.Path("examples")


class Endpoints(TypedDict):
    """Set the number of endpoints of a route; zones get them in turn."""

    route: str
    replicas: int


class PlanFile(TypedDict):
    """Hold the plan file of an example.

    `keys` maps workspaces to caller keys, `paid` budgets to their units.
    """

    zones: list[str]
    endpoints: list[Endpoints]
    keys: dict[str, str]
    paid: dict[str, int]


class Plan(NamedTuple):
    """Hold the plan and the service files of a demo fleet."""

    zones: list[str]
    endpoints: list[Endpoints]
    keys: dict[str, str]
    paid: dict[str, int]
    files: list[catalog_types.ServiceFile]

    @classmethod
    def from_folder(cls, folder: pathlib.Path) -> Plan:
        """Read an example's plan and service files.

        :raises SettingsError: if a file is unreadable or invalid
        """
        document = documents.read_document(folder / PLAN_FILE)
        schema_findings = documents.check_document(
            document, _SCHEMA, "settings_schema"
        )
        collection_result = collection.collect_files([folder])
        loader.raise_findings([*schema_findings, *collection_result.findings])
        file = cast(PlanFile, document.data)
        return cls(
            **file, files=[item.file for item in collection_result.files]
        )

    def find_route(self, name: str) -> catalog_types.Route:
        """Return a route by name.

        :raises SettingsSchemaError: if no service file defines the route
        """
        for file in self.files:
            for route in file.get("routes", []):
                if route["name"] == name:
                    return route
        raise errors.SettingsSchemaError(
            f"no service file defines route {name!r}"
        )


def find_example(name: str) -> pathlib.Path:
    """Return the folder of an example by its name or path.

    :raises SettingsError: if neither folder holds a plan file
    """
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
    keys={"panels": CALLER_KEY, "guides": SMALL_BUDGET_KEY},
    paid={
        "panels-tokens": LARGE_BUDGET_TOKENS,
        "guides-tokens": SMALL_BUDGET_TOKENS,
    },
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
                    "keys": [index.hash_key(SMALL_BUDGET_KEY)],
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
    "LARGE_BUDGET_TOKENS",
    "MODEL",
    "PLAN_FILE",
    "SMALL_BUDGET_KEY",
    "SMALL_BUDGET_TOKENS",
    "SMALL_PLAN",
    "Endpoints",
    "Plan",
    "PlanFile",
    "find_example",
)
