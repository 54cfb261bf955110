"""Look-ups in one revision of the configuration."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from cyclamenwing.catalog import types

ANY_WORKSPACE = "*"


class PlainMatch(NamedTuple):
    """Hold a plain route and the rule of the call, if it has one."""

    route: types.Route
    rule: types.CallRule | None


class Index:
    """Answer look-ups in a revision.

    :param revision: the whole revision
    """

    def __init__(self, revision: types.Revision) -> None:
        self.revision = revision["revision"]
        self.source = revision
        self.workspaces: dict[str, types.Workspace] = {}
        self.budgets: dict[str, types.BudgetRule] = {}
        self.routes: dict[str, types.Route] = {}
        self._by_key: dict[str, types.Workspace] = {}
        for file in revision["services"].values():
            self._add_file(file)
        self._chat = [
            route
            for route in self.routes.values()
            if route["protocol"] == "chat"
        ]

    def find_workspace(self, api_key: str) -> types.Workspace | None:
        """Return the workspace that a caller's key belongs to."""
        return self._by_key.get(hash_key(api_key))

    def find_chat_route(
        self, model: str, workspace: str
    ) -> types.Route | None:
        """Return the route of a model that a workspace may use."""
        for route in self._chat:
            if route.get("model") == model and _admits(route, workspace):
                return route
        return None

    def find_plain_route(
        self, name: str, method: str, path: str, workspace: str
    ) -> PlainMatch | None:
        """Return a plain route by name and the longest rule of a call."""
        route = self.routes.get(name)
        if route is None or route["protocol"] != "plain":
            return None
        if not _admits(route, workspace):
            return None
        rules = [
            rule
            for rule in route.get("calls", [])
            if rule["method"] == method and path.startswith(rule["path"])
        ]
        longest = max(rules, key=lambda rule: len(rule["path"]), default=None)
        return PlainMatch(route, longest)

    def find_budgets(
        self, workspace: types.Workspace, kind: str, reviewer: str
    ) -> list[types.BudgetRule]:
        """Return the budgets that a request of a workspace draws on."""
        return [
            rule
            for rule in (self.budgets[name] for name in workspace["budgets"])
            if rule.get("kind", kind) == kind
            and rule.get("reviewer", reviewer) == reviewer
        ]

    def _add_file(self, file: types.ServiceFile) -> None:
        for workspace in file.get("workspaces", []):
            self.workspaces[workspace["name"]] = workspace
            for digest in workspace["keys"]:
                self._by_key[digest] = workspace
        for budget in file.get("budgets", []):
            self.budgets[budget["name"]] = budget
        for route in file.get("routes", []):
            self.routes[route["name"]] = route


def hash_key(api_key: str) -> str:
    """Return the digest under which a caller's key is published."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def _admits(route: types.Route, workspace: str) -> bool:
    names = route["workspaces"]
    return ANY_WORKSPACE in names or workspace in names


__all__ = (
    "ANY_WORKSPACE",
    "Index",
    "PlainMatch",
    "hash_key",
)
