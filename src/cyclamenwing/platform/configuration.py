"""Decoder of the configuration that operators write to the store."""

from __future__ import annotations

from typing import Literal

import msgspec

from cyclamenwing import decoding
from cyclamenwing.gateway import configuration
from cyclamenwing.platform import errors
from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import rate_limits
from cyclamenwing.transport import h1

KEY = "op/config"
KEY_PREFIX = "op/"
# Operators write this key with the name of an availability zone to evacuate
# the zone, and remove it to end the evacuation. Its value has no meaning.
EVACUATION_KEY_PREFIX = "op/evacuate/"
MS_PER_S = 1000.0
# Latency objective of routes without `goal_ms`. These are plain calls, which
# usually have to end within half a second.
DEFAULT_GOAL_MS = 500.0

# Clients leave a stream after the longest of this time and of these multiples
# of the goals, without an event.
MIN_PATIENCE_S = 2.0
PATIENCE_GOALS = 4
PATIENCE_GAP_GOALS = 8

_KINDS = {
    "idempotent": configuration.RouteKind.IDEMPOTENT,
    "unsafe": configuration.RouteKind.UNSAFE,
    "streaming": configuration.RouteKind.STREAM,
}


class SplitEntry(msgspec.Struct):
    """Hold a service's share of a route's requests."""

    service: str
    weight: float = 1.0


class RouteEntry(msgspec.Struct):
    """Hold a route as it is stored."""

    name: str
    # Virtual host that the Host header of requests names, not a machine.
    host: str
    prefix: str
    kind: Literal["idempotent", "unsafe", "streaming"]
    # Absent if `split` names several services.
    service: str | None = None
    split: list[SplitEntry] | None = None
    # Longest time that a request may take; 0 or absent means no limit.
    timeout_ms: float | None = None
    # Latency objective, measured to the first event of a stream or to the
    # end of any other answer; `DEFAULT_GOAL_MS` if absent.
    goal_ms: float | None = None
    # Longest pause between two events of a stream that still counts as good
    # service; `goal_ms` if absent.
    gap_goal_ms: float | None = None
    attempts: decoding.Integer = 1
    priority: decoding.Integer = 0
    # Requests need no API key.
    public: bool = False
    # Requests name prompt parts that endpoints keep in their prefix cache.
    sticky: bool = False
    # A broken stream may be resumed after its last event.
    resumable: bool = False
    # Regions whose endpoints may get the requests; empty means any.
    home_regions: list[str] = []


class EngineEntry(msgspec.Struct):
    """Hold the engine parameters of a service's model endpoints."""

    # Requests that one endpoint runs at the same time.
    slots: decoding.Integer = 1
    # Tokens of running requests and of the prefix cache together.
    kv_capacity: decoding.Integer = 0
    # Largest number of tokens in one event of a stream.
    stride: decoding.Integer = 1


class ServiceEntry(msgspec.Struct):
    """Hold a service as it is stored."""

    name: str
    health_path: str = "/health"
    # Connections that one endpoint accepts from all clients together.
    max_conns: decoding.Integer = 64
    engine: EngineEntry | None = None
    # Seconds for which an endpoint is cold after its start, and the requests
    # per second that it tolerates meanwhile. No endpoint is cold unless both
    # are above 0.
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class LimitsEntry(msgspec.Struct):
    """Hold the limits of what clients send and of the time they take."""

    max_header_bytes: decoding.Integer = 16_384
    max_body_bytes: decoding.Integer = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class WorkspaceEntry(msgspec.Struct):
    """Hold a workspace as it is stored; the wire calls it a tenant."""

    name: str
    api_keys: list[str] = []
    # Overrides the priority of the route.
    priority: decoding.Integer | None = None
    # Total tokens that the workspace may consume; top-ups raise this number.
    prepaid: decoding.Integer | None = None
    # As for routes. An endpoint must be in a region of both lists.
    home_regions: list[str] = []


class ConfigEntry(msgspec.Struct):
    """Hold a whole configuration as it is stored."""

    version: decoding.Integer
    routes: list[RouteEntry] = []
    services: list[ServiceEntry] = []
    limits: LimitsEntry = msgspec.field(default_factory=LimitsEntry)
    # Workspaces, under the name that the wire has for them.
    tenants: list[WorkspaceEntry] = []


_DECODER = decoding.Decoder(ConfigEntry)


def read_configuration(data: bytes) -> configuration.Configuration:
    """Decode a configuration.

    :raises ConfigurationUnreadableError: if the bytes are no valid
        configuration
    """
    try:
        entry = _DECODER.decode(data)
    except msgspec.DecodeError as err:
        raise errors.ConfigurationUnreadableError(str(err)) from err
    return configuration.Configuration(
        version=entry.version,
        routes=configuration.order_routes([
            _read_route(item) for item in entry.routes
        ]),
        services={item.name: _read_service(item) for item in entry.services},
        workspaces={
            item.name: configuration.Workspace(
                item.name,
                item.priority,
                item.prepaid,
                frozenset(item.home_regions),
            )
            for item in entry.tenants
        },
        keys={
            key: item.name for item in entry.tenants for key in item.api_keys
        },
        limits=h1.Limits(
            entry.limits.max_header_bytes,
            entry.limits.max_body_bytes,
            entry.limits.header_timeout_ms / MS_PER_S,
            entry.limits.idle_timeout_ms / MS_PER_S,
        ),
        source=data,
    )


def _read_route(entry: RouteEntry) -> configuration.Route:
    shares = tuple(
        configuration.Share(item.service, item.weight)
        for item in entry.split or []
    )
    if not shares and entry.service is not None:
        shares = (configuration.Share(entry.service, 1.0),)
    goal_s = (entry.goal_ms or DEFAULT_GOAL_MS) / MS_PER_S
    gap_goal_s = entry.gap_goal_ms / MS_PER_S if entry.gap_goal_ms else goal_s
    patience_s = max(
        MIN_PATIENCE_S,
        PATIENCE_GOALS * goal_s,
        PATIENCE_GAP_GOALS * gap_goal_s,
    )
    kind = _KINDS[entry.kind]
    streams = kind is configuration.RouteKind.STREAM
    return configuration.Route(
        name=entry.name,
        virtual_host=entry.host.lower(),
        prefix=entry.prefix,
        kind=kind,
        shares=shares,
        timeout_s=entry.timeout_ms / MS_PER_S if entry.timeout_ms else None,
        goal_s=goal_s,
        gap_goal_s=gap_goal_s,
        patience_s=patience_s if streams else None,
        attempts=max(entry.attempts, 1),
        priority=entry.priority,
        public=entry.public,
        resumable=entry.resumable,
        cached=entry.sticky,
        homes=frozenset(entry.home_regions),
    )


def _read_service(entry: ServiceEntry) -> configuration.Service:
    engine = None
    if entry.engine is not None:
        engine = configuration.Engine(
            entry.engine.slots,
            entry.engine.kv_capacity,
            max(entry.engine.stride, 1),
        )
    cold = None
    if entry.cold_s > 0 and entry.cold_per_s > 0:
        cold = cold_marks.ColdTerms(
            min(entry.cold_s, cold_marks.MAX_LEFT_S),
            min(
                max(entry.cold_per_s, rate_limits.MIN_LIMIT_RPS),
                rate_limits.MAX_LIMIT_RPS,
            ),
        )
    return configuration.Service(
        name=entry.name,
        health_path=entry.health_path,
        max_connections=entry.max_conns,
        engine=engine,
        cold=cold,
    )


__all__ = (
    "EVACUATION_KEY_PREFIX",
    "KEY",
    "KEY_PREFIX",
    "read_configuration",
)
