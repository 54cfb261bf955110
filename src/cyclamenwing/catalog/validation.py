"""Consistency checks across services' files and the active revision."""

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

# Fields that a route of a protocol must not have.
_DISALLOWED_FIELDS = {
    "chat": ("calls",),
    "plain": ("model", "max_tokens"),
}


def check_files(
    collected: Sequence[collection.CollectedFile],
    active_services: Mapping[str, types.ServiceFile],
    removals: Collection[str] = (),
) -> list[documents.Finding]:
    """Return the findings that the files and removals introduce.

    A finding that the active revision already has is left out.
    """
    findings = set(_find_duplicate_services(collected))
    findings.update(_find_oversized_files(collected))
    remaining = {
        service: file
        for service, file in active_services.items()
        if service not in removals
    }
    findings.update(_check_items(merge.list_items(collected, remaining)))
    return sorted(
        findings - _check_items(merge.list_items([], active_services))
    )


def check_revision_change(
    old_services: Mapping[str, types.ServiceFile],
    new_services: Mapping[str, types.ServiceFile],
) -> list[documents.Finding]:
    """Return the findings of the new services that the old ones lack."""
    findings = _check_items(merge.list_items([], new_services))
    return sorted(findings - _check_items(merge.list_items([], old_services)))


def _check_items(items: Items) -> set[documents.Finding]:
    return {finding for check in _CHECKS for finding in check(items)}


def _find_oversized_files(
    collected: Sequence[collection.CollectedFile],
) -> Findings:
    for collected_file in collected:
        size = len(msgspec.json.encode(collected_file.file))
        if size > store_protocol.MAX_VALUE_BYTES:
            yield documents.Finding(
                collected_file.document.file,
                1,
                "too_large",
                f"{size} bytes exceed the limit of"
                f" {store_protocol.MAX_VALUE_BYTES}",
            )


def _find_duplicate_services(
    collected: Sequence[collection.CollectedFile],
) -> Findings:
    first: dict[str, documents.Document] = {}
    for collected_file in collected:
        service = collected_file.file["service"]
        if service not in first:
            first[service] = collected_file.document
            continue
        line = collected_file.document.find_line(["service"])
        yield documents.Finding(
            collected_file.document.file,
            line,
            "duplicate_service",
            f"{service!r} is also in {first[service].file}",
        )


def _find_duplicates(items: Items) -> Findings:
    first: dict[tuple[str, str], merge.Item] = {}
    for item in _sort_active_first(items):
        earlier_item = first.setdefault((item.section, item.name), item)
        if earlier_item is item:
            continue
        kind = item.section.removesuffix("s")
        yield item.make_finding(
            f"duplicate_{kind}",
            f"{item.name!r} is also in {earlier_item.describe()}",
        )


def _find_duplicate_keys(items: Items) -> Findings:
    first: dict[str, merge.Item] = {}
    for item in _sort_active_first(_select(items, "workspaces")):
        for number, key in enumerate(item.data["keys"]):
            earlier_item = first.setdefault(key, item)
            if earlier_item is item and item.data["keys"].index(key) == number:
                continue
            yield item.make_finding(
                "duplicate_key",
                f"a key of {item.name!r} is also a key of"
                f" {earlier_item.name!r} in {earlier_item.describe()}",
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
                    f"workspace {item.name!r} uses budget {name!r},"
                    " which no service defines",
                    "budgets",
                    number,
                )
    admissible = workspaces | {index.ANY_WORKSPACE}
    for item in _select(items, "routes"):
        for number, name in enumerate(item.data["workspaces"]):
            if name not in admissible:
                yield item.make_finding(
                    "dangling_workspace",
                    f"route {item.name!r} admits workspace {name!r},"
                    " which no service defines",
                    "workspaces",
                    number,
                )


def _find_shadowed_routes(items: Items) -> Findings:
    items_by_model: dict[str, list[merge.Item]] = {}
    for item in _sort_active_first(_select(items, "routes")):
        model = item.data.get("model")
        if item.data["protocol"] != "chat" or model is None:
            continue
        for other in items_by_model.get(model, []):
            shared = _describe_shared_workspaces(other.data, item.data)
            if shared:
                yield item.make_finding(
                    "shadowed_route",
                    f"model {model!r} has two routes for {shared}:"
                    f" also {other.name!r} in {other.describe()}",
                    "model",
                )
        items_by_model.setdefault(model, []).append(item)


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
        for field in _DISALLOWED_FIELDS[protocol]:
            if field in item.data:
                yield item.make_finding(
                    "contradictory_route",
                    f"a {protocol} route can't have {field!r}",
                    field,
                )
        if protocol == "chat" and "model" not in item.data:
            yield item.make_finding(
                "contradictory_route",
                f"chat route {item.name!r} lacks a model",
            )


def _find_contradictory_calls(items: Items) -> Findings:
    for item in _select(items, "routes"):
        first: dict[tuple[str, str], types.CallRule] = {}
        for number, rule in enumerate(item.data.get("calls", [])):
            call = (rule["method"], rule["path"])
            earlier_rule = first.setdefault(call, rule)
            if earlier_rule is rule:
                continue
            same = earlier_rule == rule
            code = "duplicate_call" if same else "contradictory_call"
            yield item.make_finding(
                code,
                f"route {item.name!r} has two rules for"
                f" {rule['method']} {rule['path']}",
                "calls",
                number,
            )


def _find_repeated_budgets(items: Items) -> Findings:
    for item in _select(items, "workspaces"):
        names = item.data["budgets"]
        for number, name in enumerate(names):
            if name in names[:number]:
                yield item.make_finding(
                    "contradictory_budgets",
                    f"workspace {item.name!r} names budget {name!r} twice",
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
            # _find_dangling reports an undefined budget.
            if kind not in kinds and None not in rules:
                yield item.make_finding(
                    "unfunded_route",
                    f"no budget of workspace {workspace.name!r} in"
                    f" {workspace.describe()} pays for {kind!r} of route"
                    f" {item.name!r}",
                )


def _select(items: Items, section: str) -> list[merge.Item]:
    return [item for item in items if item.section == section]


def _sort_active_first(items: Items) -> Iterable[merge.Item]:
    # Of two conflicting items, the finding names the later one; so it
    # names a file that is being published, which its author can correct.
    return sorted(items, key=lambda item: item.document is not None)


def _describe_shared_workspaces(route: types.Route, other: types.Route) -> str:
    first, second = set(route["workspaces"]), set(other["workspaces"])
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
    _find_repeated_budgets,
    _find_unfunded_routes,
)

__all__ = (
    "check_files",
    "check_revision_change",
)
