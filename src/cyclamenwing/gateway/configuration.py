"""What operators decided, as one immutable revision."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

from cyclamenwing.transport import h1


class RouteKind(enum.Enum):
    """Say what may be repeated."""

    IDEMPOTENT = "idempotent"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Share(NamedTuple):
    """Send a part of a route's requests to a service."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describe the requests below one prefix of a virtual host."""

    name: str
    virtual_host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float | None
    goal_s: float
    gap_goal_s: float
    attempts: int
    priority: int
    public: bool
    resumable: bool
    cached: bool

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run again from its start."""
        return self.kind is RouteKind.IDEMPOTENT


class Engine(NamedTuple):
    """Describe a model endpoint's batch and cache, in tokens."""

    slots: int
    cache_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """Describe the endpoints of one service."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None


class Workspace(NamedTuple):
    """Describe a customer; `prepaid_tokens` is None without a budget."""

    name: str
    priority: int | None
    prepaid_tokens: int | None


class Configuration(NamedTuple):
    """Hold one revision; keys map to workspaces."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, str]
    limits: h1.Limits
    source: bytes

    def find_route(self, virtual_host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.routes.get(virtual_host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that holds an API key."""
        name = self.keys.get(key)
        return None if name is None else self.workspaces[name]


def order_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by virtual host, the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.virtual_host, []).append(route)
    return {
        name: tuple(sorted(host_routes, key=lambda r: -len(r.prefix)))
        for name, host_routes in grouped.items()
    }


__all__ = (
    "Configuration",
    "Engine",
    "Route",
    "RouteKind",
    "Service",
    "Share",
    "Workspace",
    "order_routes",
)
