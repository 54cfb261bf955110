"""Merged entries of several services' files, with their locations."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from cyclamenwing.catalog import collection
from cyclamenwing.catalog import types
from cyclamenwing.settings import documents

SECTIONS = ("workspaces", "budgets", "routes")


class Item(NamedTuple):
    """Hold one entry of a section and its location.

    `path` is the entry's location within the file. `document` is None for
    an entry of the active revision.
    """

    service: str
    section: str
    name: str
    data: Any
    path: tuple[str | int, ...]
    document: documents.Document | None

    def describe(self) -> str:
        """Return the entry's location for a message."""
        if self.document is None:
            return f"service {self.service!r} as published"
        line = self.document.find_line(list(self.path))
        return f"{self.document.file}:{line}"

    def make_finding(
        self, code: str, message: str, *path: str | int
    ) -> documents.Finding:
        """Return a finding at the entry, or at a `path` within it."""
        if self.document is None:
            return documents.Finding(
                f"service {self.service}", 0, code, message
            )
        line = self.document.find_line([*self.path, *path])
        return documents.Finding(self.document.file, line, code, message)


def list_items(
    collected: Iterable[collection.CollectedFile],
    active_services: Mapping[str, types.ServiceFile],
) -> list[Item]:
    """Return the entries of the files and of the other active services.

    A collected file replaces the active file of the same service.
    """
    items: list[Item] = []
    listed_services: set[str] = set()
    for collected_file in collected:
        listed_services.add(collected_file.file["service"])
        items.extend(_list_file(collected_file.file, collected_file.document))
    for service in sorted(active_services):
        if service not in listed_services:
            items.extend(_list_file(active_services[service], None))
    return items


def _list_file(
    file: types.ServiceFile, document: documents.Document | None
) -> Iterable[Item]:
    for section in SECTIONS:
        entries: Any = file.get(section, [])
        for number, data in enumerate(entries):
            yield Item(
                file["service"],
                section,
                data["name"],
                data,
                (section, number),
                document,
            )


__all__ = (
    "SECTIONS",
    "Item",
    "list_items",
)
