"""Differences between two revisions, entry by entry."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from typing import Literal
from typing import TypedDict

import msgspec

from cyclamenwing.catalog import merge
from cyclamenwing.catalog import types

Action = Literal["add", "remove", "change"]
Services = Mapping[str, types.ServiceFile]


class Difference(TypedDict):
    """Describe one entry that differs.

    `before` is None for an added entry, `after` for a removed one.
    """

    action: Action
    service: str
    section: str
    name: str
    before: Any
    after: Any


def compare(
    old_services: Services, new_services: Services
) -> list[Difference]:
    """Return the entries that differ between two revisions."""
    old_entries = _list_entries(old_services)
    new_entries = _list_entries(new_services)
    return [
        {
            "action": _name_action(old_entries.get(key), new_entries.get(key)),
            "service": key[0],
            "section": key[1],
            "name": key[2],
            "before": old_entries.get(key),
            "after": new_entries.get(key),
        }
        for key in sorted(old_entries.keys() | new_entries.keys())
        if old_entries.get(key) != new_entries.get(key)
    ]


def describe(difference: Difference) -> str:
    """Return one human-readable line."""
    path = (
        f"{difference['service']}/{difference['section']}/{difference['name']}"
    )
    if difference["action"] != "change":
        return f"{difference['action']} {path}"
    before, after = difference["before"], difference["after"]
    fields = [
        f"{field}: {_format_value(before.get(field))}"
        f" -> {_format_value(after.get(field))}"
        for field in sorted(before.keys() | after.keys())
        if before.get(field) != after.get(field)
    ]
    return f"change {path} " + "; ".join(fields)


def _list_entries(services: Services) -> dict[tuple[str, str, str], Any]:
    items = merge.list_items([], services)
    return {
        (item.service, item.section, item.name): item.data for item in items
    }


def _name_action(before: Any, after: Any) -> Action:
    if before is None:
        return "add"
    return "remove" if after is None else "change"


def _format_value(value: Any) -> str:
    return "-" if value is None else msgspec.json.encode(value).decode()


__all__ = (
    "Action",
    "Difference",
    "compare",
    "describe",
)
