"""Faults across the files of services and the revision in force."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

import msgspec

from cyclamenwing.catalog import collection
from cyclamenwing.catalog import index
from cyclamenwing.catalog import merge
from cyclamenwing.catalog import types
from cyclamenwing.settings import documents
from cyclamenwing.store import protocol as store_protocol

Findings = Iterator[documents.Finding]
Items = Sequence[merge.Item]

_FOREIGN_FIELDS = {
    "chat": ("calls",),
    "plain": ("model", "max_tokens"),
}


def check_files(
    collected: Sequence[collection.Collected],
    in_force: Mapping[str, types.ServiceFile],
    removals: Collection[str] = (),
) -> list[documents.Finding]:
    """Return the faults that the files and removals bring with them.

    A fault that the revision in force has already is not reported.
    """
    found = set(_find_duplicate_services(collected))
    found.update(_find_too_large(collected))
    left = {
        service: file
        for service, file in in_force.items()
        if service not in removals
    }
    found.update(_check_items(merge.list_items(collected, left)))
    return sorted(found - _check_items(merge.list_items([], in_force)))


def check_revision_change(
    before: Mapping[str, types.ServiceFile],
    after: Mapping[str, types.ServiceFile],
) -> list[documents.Finding]:
    """Return the faults that a step from one revision to another brings."""
    found = _check_items(merge.list_items([], after))
    return sorted(found - _check_items(merge.list_items([], before)))


def _check_items(items: Items) -> set[documents.Finding]:
    return {finding for check in _CHECKS for finding in check(items)}


def _find_too_large(collected: Sequence[collection.Collected]) -> Findings:
    for made in collected:
        size = len(msgspec.json.encode(made.file))
        if size > store_protocol.MAX_VALUE_BYTES:
            yield documents.Finding(
                made.document.file,
                1,
                "too_large",
                f"{size} bytes, at most {store_protocol.MAX_VALUE_BYTES}",
            )


def _find_duplicate_services(
    collected: Sequence[collection.Collected],
) -> Findings:
    first: dict[str, documents.Document] = {}
    for made in collected:
        service = made.file["service"]
        if service not in first:
            first[service] = made.document
            continue
        line = made.document.find_line(["service"])
        yield documents.Finding(
            made.document.file,
            line,
            "duplicate_service",
            f"{service!r} is also in {first[service].file}",
        )


def _find_duplicates(items: Items) -> Findings:
    first: dict[tuple[str, str], merge.Item] = {}
    for item in _order_new_last(items):
        known = first.setdefault((item.section, item.name), item)
        if known is item:
            continue
        kind = item.section.removesuffix("s")
        yield item.make_finding(
            f"duplicate_{kind}",
            f"{item.name!r} is also in {known.describe()}",
        )


def _find_duplicate_keys(items: Items) -> Findings:
    first: dict[str, merge.Item] = {}
    for item in _order_new_last(_select(items, "workspaces")):
        for number, key in enumerate(item.data["keys"]):
            known = first.setdefault(key, item)
            if known is item and item.data["keys"].index(key) == number:
                continue
            yield item.make_finding(
                "duplicate_key",
                f"a key of {item.name!r} is also one of"
                f" {known.name!r} in {known.describe()}",
                "keys",
                number,
            )


def _find_dangling(items: Items) -> Findings:
    budgets = {item.name for item in _select(items, "budgets")}
    workspaces = {item.name for item in _select(items, "workspaces")}
    for item in _select(items, "workspaces"):
        for number, name in enumerate(item.data["budgets"]):
            if name not in budgets:
                yield item.make_finding(
                    "dangling_budget",
                    f"workspace {item.name!r} draws on {name!r},"
                    " which no service defines",
                    "budgets",
                    number,
                )
    known = workspaces | {index.ANY_WORKSPACE}
    for item in _select(items, "routes"):
        for number, name in enumerate(item.data["workspaces"]):
            if name not in known:
                yield item.make_finding(
                    "dangling_workspace",
                    f"route {item.name!r} admits {name!r},"
                    " which no service defines",
                    "workspaces",
                    number,
                )


def _find_shadowed_routes(items: Items) -> Findings:
    known: dict[str, list[merge.Item]] = {}
    for item in _order_new_last(_select(items, "routes")):
        model = item.data.get("model")
        if item.data["protocol"] != "chat" or model is None:
            continue
        for other in known.get(model, []):
            shared = _share_workspaces(other.data, item.data)
            if shared:
                yield item.make_finding(
                    "shadowed_route",
                    f"model {model!r} has two routes for {shared}:"
                    f" also {other.name!r} in {other.describe()}",
                    "model",
                )
        known.setdefault(model, []).append(item)


def _find_shadowed_workspaces(items: Items) -> Findings:
    for item in _select(items, "routes"):
        names = item.data["workspaces"]
        if index.ANY_WORKSPACE not in names:
            continue
        for number, name in enumerate(names):
            if name != index.ANY_WORKSPACE:
                yield item.make_finding(
                    "shadowed_workspace",
                    f"route {item.name!r} admits '*', so {name!r} has"
                    " no effect",
                    "workspaces",
                    number,
                )


def _find_contradictory_routes(items: Items) -> Findings:
    for item in _select(items, "routes"):
        protocol = item.data["protocol"]
        for field in _FOREIGN_FIELDS[protocol]:
            if field in item.data:
                yield item.make_finding(
                    "contradictory_route",
                    f"a {protocol} route has no {field!r}",
                    field,
                )
        if protocol == "chat" and "model" not in item.data:
            yield item.make_finding(
                "contradictory_route",
                f"chat route {item.name!r} names no model",
            )


def _find_contradictory_calls(items: Items) -> Findings:
    for item in _select(items, "routes"):
        first: dict[tuple[str, str], types.CallRule] = {}
        for number, rule in enumerate(item.data.get("calls", [])):
            call = (rule["method"], rule["path"])
            known = first.setdefault(call, rule)
            if known is rule:
                continue
            same = known == rule
            code = "duplicate_call" if same else "contradictory_call"
            yield item.make_finding(
                code,
                f"route {item.name!r} has two rules for"
                f" {rule['method']} {rule['path']}",
                "calls",
                number,
            )


def _find_contradictory_budgets(items: Items) -> Findings:
    for item in _select(items, "workspaces"):
        names = item.data["budgets"]
        for number, name in enumerate(names):
            if name in names[:number]:
                yield item.make_finding(
                    "contradictory_budgets",
                    f"workspace {item.name!r} would draw on {name!r} twice",
                    "budgets",
                    number,
                )


def _find_unfunded_routes(items: Items) -> Findings:
    budgets = {item.name: item.data for item in _select(items, "budgets")}
    workspaces = _select(items, "workspaces")
    for item in _select(items, "routes"):
        if item.data["protocol"] != "chat":
            continue
        kind = item.data.get("kind", "completion")
        admitted = set(item.data["workspaces"])
        for workspace in workspaces:
            if not admitted & {index.ANY_WORKSPACE, workspace.name}:
                continue
            rules = [budgets.get(name) for name in workspace.data["budgets"]]
            kinds = [rule.get("kind", kind) for rule in rules if rule]
            # A budget that is missing is a finding of its own.
            if kind not in kinds and None not in rules:
                yield item.make_finding(
                    "unfunded_route",
                    f"no budget of workspace {workspace.name!r} in"
                    f" {workspace.describe()} pays for {kind!r} of route"
                    f" {item.name!r}",
                )


def _select(items: Items, section: str) -> list[merge.Item]:
    return [item for item in items if item.section == section]


def _order_new_last(items: Items) -> Iterable[merge.Item]:
    # A finding belongs to the file that can be mended now.
    return sorted(items, key=lambda item: item.document is not None)


def _share_workspaces(one: types.Route, other: types.Route) -> str:
    first, second = set(one["workspaces"]), set(other["workspaces"])
    if index.ANY_WORKSPACE in first | second:
        return "any workspace"
    return ", ".join(sorted(first & second))


_CHECKS: tuple[Callable[[Items], Findings], ...] = (
    _find_duplicates,
    _find_duplicate_keys,
    _find_dangling,
    _find_shadowed_routes,
    _find_shadowed_workspaces,
    _find_contradictory_routes,
    _find_contradictory_calls,
    _find_contradictory_budgets,
    _find_unfunded_routes,
)

__all__ = (
    "check_files",
    "check_revision_change",
)
