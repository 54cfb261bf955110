"""Entries of several services' files, each with its place."""

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
    """Hold one entry of a section and where it stands.

    `document` is None for an entry of the revision in force.
    """

    service: str
    section: str
    name: str
    data: Any
    path: tuple[str | int, ...]
    document: documents.Document | None

    def describe(self) -> str:
        """Return the entry's place for a message."""
        if self.document is None:
            return f"service {self.service!r} in force"
        line = self.document.find_line(list(self.path))
        return f"{self.document.file}:{line}"

    def make_finding(
        self, code: str, message: str, *path: str | int
    ) -> documents.Finding:
        """Return a finding at the entry or a part of it."""
        if self.document is None:
            return documents.Finding(
                f"service {self.service}", 0, code, message
            )
        line = self.document.find_line([*self.path, *path])
        return documents.Finding(self.document.file, line, code, message)


def list_items(
    collected: Iterable[collection.Collected],
    in_force: Mapping[str, types.ServiceFile],
) -> list[Item]:
    """Return the entries of the files, then those of other services."""
    items: list[Item] = []
    given: set[str] = set()
    for made in collected:
        given.add(made.file["service"])
        items.extend(_list_file(made.file, made.document))
    for service in sorted(in_force):
        if service not in given:
            items.extend(_list_file(in_force[service], None))
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
