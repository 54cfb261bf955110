"""Difference of two revisions, entry by entry."""

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
    """Describe one entry that differs; values are None when absent."""

    action: Action
    service: str
    section: str
    name: str
    before: Any
    after: Any


def compare(before: Services, after: Services) -> list[Difference]:
    """Return what a step from one revision to another changes."""
    old = _list_entries(before)
    new = _list_entries(after)
    return [
        {
            "action": _name_action(old.get(place), new.get(place)),
            "service": place[0],
            "section": place[1],
            "name": place[2],
            "before": old.get(place),
            "after": new.get(place),
        }
        for place in sorted(old.keys() | new.keys())
        if old.get(place) != new.get(place)
    ]


def describe(difference: Difference) -> str:
    """Return one line for a person."""
    place = (
        f"{difference['service']}/{difference['section']}/{difference['name']}"
    )
    if difference["action"] != "change":
        return f"{difference['action']} {place}"
    before, after = difference["before"], difference["after"]
    fields = [
        f"{field}: {_write(before.get(field))} -> {_write(after.get(field))}"
        for field in sorted(before.keys() | after.keys())
        if before.get(field) != after.get(field)
    ]
    return f"change {place} " + "; ".join(fields)


def _list_entries(services: Services) -> dict[tuple[str, str, str], Any]:
    items = merge.list_items([], services)
    return {
        (item.service, item.section, item.name): item.data for item in items
    }


def _name_action(before: Any, after: Any) -> Action:
    if before is None:
        return "add"
    return "remove" if after is None else "change"


def _write(value: Any) -> str:
    return "-" if value is None else msgspec.json.encode(value).decode()


__all__ = (
    "Action",
    "Difference",
    "compare",
    "describe",
)
