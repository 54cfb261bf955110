"""Configuration of the fleet by its operators, as immutable revisions."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

from cyclamenwing.routing import cold_marks
from cyclamenwing.transport import h1


class RouteKind(enum.Enum):
    """Classify routes by how their requests may be repeated.

    An idempotent request may run again from its start; an unsafe one is sent
    again only if no endpoint has run it. A stream may run again only if its
    route is resumable: it then goes on after the last event that the client
    has received.
    """

    IDEMPOTENT = "idempotent"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Share(NamedTuple):
    """Send a weighted share of a route's requests to a service."""

    service: str
    weight: float


class Route(NamedTuple):
    """Describe the requests below one path prefix of a virtual host.

    :param timeout_s: bound on the deadline of requests, None without one
    :param goal_s: goal for the latency of an answer
    :param gap_goal_s: goal for the time between events of a stream
    :param patience_s: time without an event after which clients leave a
        stream, None for other answers
    :param attempts: most times that a request is sent to an endpoint
    :param public: requests need no API key
    :param resumable: a broken stream may go on at another endpoint
    :param homes: regions that serve its requests, empty for any
    """

    name: str
    virtual_host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float | None
    goal_s: float
    gap_goal_s: float
    patience_s: float | None
    attempts: int
    priority: int
    public: bool
    resumable: bool
    cached: bool
    homes: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run again from its start."""
        return self.kind is RouteKind.IDEMPOTENT


class Engine(NamedTuple):
    """Describe the engine of a model endpoint.

    :param slots: requests that run at a time in one batch
    :param cache_tokens: room for running requests and the prefix cache
    :param tokens_per_event: most output tokens in one event of a stream
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """Describe a service and its endpoints; plain ones have no engine.

    :param cold: what its cold endpoints take, None if it has none
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
    cold: cold_marks.ColdTerms | None = None


class Workspace(NamedTuple):
    """Describe a workspace; `prepaid_tokens` is None without a budget.

    :param homes: regions that serve its requests, empty for any
    """

    name: str
    priority: int | None
    prepaid_tokens: int | None
    homes: frozenset[str] = frozenset()


class Configuration(NamedTuple):
    """Hold one revision of the configuration.

    :param routes: routes by virtual host, the longest prefix first
    :param keys: workspace names by API key
    :param source: encoded form, as read from the store or a peer
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    workspaces: Mapping[str, Workspace]
    keys: Mapping[str, str]
    limits: h1.Limits
    source: bytes

    def find_route(self, virtual_host: str, path: str) -> Route | None:
        """Return the route whose prefix of the path is the longest."""
        for route in self.routes.get(virtual_host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace of an API key."""
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
