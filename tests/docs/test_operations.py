from __future__ import annotations

import importlib
import pathlib
import pkgutil
import re
from collections.abc import Iterator

import cyclamenwing
from cyclamenwing import errors

DOCS = pathlib.Path(__file__).parents[2] / "docs"
LINK = re.compile(r"\]\(([^)#]+)\)")


def list_codes(kind: type[errors.CodedError]) -> Iterator[str]:
    for found in kind.__subclasses__():
        yield found.code
        yield from list_codes(found)


def test_every_code_is_explained_to_operators() -> None:
    prefix = f"{cyclamenwing.__name__}."
    for module in pkgutil.walk_packages(cyclamenwing.__path__, prefix):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    pages = [DOCS / "OPERATIONS.md", *(DOCS / "operations").glob("*.md")]
    text = "".join(page.read_text() for page in pages)
    codes = {
        code
        for code in list_codes(errors.CodedError)
        if not code.startswith("test_")
    }
    assert len(codes) > 50
    assert {code for code in codes if f"`{code}`" not in text} == set()


def test_links_between_pages_lead_somewhere() -> None:
    broken = [
        f"{page.relative_to(DOCS)}: {link}"
        for page in DOCS.rglob("*.md")
        for link in LINK.findall(page.read_text())
        if "://" not in link and not (page.parent / link).exists()
    ]
    assert broken == []
