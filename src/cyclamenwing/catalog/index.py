"""Lookups in one revision of the configuration."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from cyclamenwing.catalog import types

ANY_WORKSPACE = "*"
SAFE_METHODS = frozenset(("GET", "HEAD"))


class PlainMatch(NamedTuple):
    """Hold a plain route and the rule that matches a call, if any."""

    route: types.Route
    rule: types.CallRule | None


class Index:
    """Look up workspaces, budgets and routes of a revision.

    :param revision: the full revision
    :param earlier: index of an earlier revision; the entries of unchanged
        services are copied from it
    :param strict: treat no call with an unsafe method as idempotent
    """

    def __init__(
        self,
        revision: types.Revision,
        earlier: Index | None = None,
        strict: bool = False,
    ) -> None:
        self.revision = revision["revision"]
        self.source = revision
        self.strict = strict
        self.workspaces: dict[str, types.Workspace] = {}
        self.budgets: dict[str, types.BudgetRule] = {}
        self.routes: dict[str, types.Route] = {}
        self._workspaces_by_key: dict[str, types.Workspace] = {}
        earlier_files: dict[str, types.ServiceFile] = {}
        if earlier is not None:
            self._copy_entries(earlier)
            earlier_files = earlier.source["services"]
        services = revision["services"]
        for service, file in earlier_files.items():
            if services.get(service) is not file:
                self._drop_file(file)
        for service, file in services.items():
            if earlier_files.get(service) is not file:
                self._add_file(file)
        self._chat_routes = [
            route
            for _, route in sorted(self.routes.items())
            if route["protocol"] == "chat"
        ]

    def with_strict(self, strict: bool) -> Index:
        """Return an index of the same revision with another `strict`."""
        return Index(self.source, self, strict)

    def find_workspace(self, api_key: str) -> types.Workspace | None:
        """Return the workspace of an API key, None if the key is unknown."""
        return self._workspaces_by_key.get(hash_key(api_key))

    def find_chat_route(
        self, model: str, workspace: str
    ) -> types.Route | None:
        """Return the chat route of a model that admits a workspace."""
        for route in self._chat_routes:
            if route.get("model") == model and _admits(route, workspace):
                return route
        return None

    def find_plain_route(
        self, name: str, method: str, path: str, workspace: str
    ) -> PlainMatch | None:
        """Return a plain route and the call's rule for a workspace."""
        route = self.routes.get(name)
        if route is None or route["protocol"] != "plain":
            return None
        if not _admits(route, workspace):
            return None
        rule = find_rule(route, method, path)
        if rule is not None and self.strict and method not in SAFE_METHODS:
            rule = {**rule, "idempotent": False}
        return PlainMatch(route, rule)

    def find_budgets(
        self, workspace: types.Workspace, kind: str, reviewer: str
    ) -> list[types.BudgetRule]:
        """Return the budgets that a request of a workspace is charged to."""
        return [
            rule
            for rule in (self.budgets[name] for name in workspace["budgets"])
            if rule.get("kind", kind) == kind
            and rule.get("reviewer", reviewer) == reviewer
        ]

    def _copy_entries(self, earlier: Index) -> None:
        self.workspaces = dict(earlier.workspaces)
        self.budgets = dict(earlier.budgets)
        self.routes = dict(earlier.routes)
        self._workspaces_by_key = dict(earlier._workspaces_by_key)

    def _drop_file(self, file: types.ServiceFile) -> None:
        for workspace in file.get("workspaces", []):
            self.workspaces.pop(workspace["name"], None)
            for digest in workspace["keys"]:
                self._workspaces_by_key.pop(digest, None)
        for budget in file.get("budgets", []):
            self.budgets.pop(budget["name"], None)
        for route in file.get("routes", []):
            self.routes.pop(route["name"], None)

    def _add_file(self, file: types.ServiceFile) -> None:
        for workspace in file.get("workspaces", []):
            self.workspaces[workspace["name"]] = workspace
            for digest in workspace["keys"]:
                self._workspaces_by_key[digest] = workspace
        for budget in file.get("budgets", []):
            self.budgets[budget["name"]] = budget
        for route in file.get("routes", []):
            self.routes[route["name"]] = route


def find_rule(
    route: types.Route, method: str, path: str
) -> types.CallRule | None:
    """Return the rule with the longest path prefix that matches a call."""
    rules = [
        rule
        for rule in route.get("calls", [])
        if rule["method"] == method and path.startswith(rule["path"])
    ]
    return max(rules, key=lambda rule: len(rule["path"]), default=None)


def hash_key(api_key: str) -> str:
    """Return the SHA-256 digest of an API key, as files hold it."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def _admits(route: types.Route, workspace: str) -> bool:
    names = route["workspaces"]
    return ANY_WORKSPACE in names or workspace in names


__all__ = (
    "ANY_WORKSPACE",
    "SAFE_METHODS",
    "Index",
    "PlainMatch",
    "find_rule",
    "hash_key",
)
