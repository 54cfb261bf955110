"""Decoding of the configuration that operators write to the store."""

from __future__ import annotations

from typing import Literal

import msgspec

from cyclamenwing.gateway import configuration
from cyclamenwing.platform import errors
from cyclamenwing.transport import h1

KEY = "op/config"
KEY_PREFIX = "op/"
MS_PER_S = 1000.0
# Routes without a goal are plain calls; half a second is their usual bound.
DEFAULT_GOAL_MS = 500.0

_KINDS = {
    "idempotent": configuration.RouteKind.IDEMPOTENT,
    "unsafe": configuration.RouteKind.UNSAFE,
    "streaming": configuration.RouteKind.STREAM,
}


class SplitEntry(msgspec.Struct):
    """Send a part of a route to a service."""

    service: str
    weight: float = 1.0


class RouteEntry(msgspec.Struct):
    """Hold a route as it is written."""

    name: str
    # The Host header of requests, not a machine.
    host: str
    prefix: str
    kind: Literal["idempotent", "unsafe", "streaming"]
    # Absent where `split` names several services.
    service: str | None = None
    split: list[SplitEntry] | None = None
    # The longest that the operator lets a request wait; 0 or absent: none.
    timeout_ms: float | None = None
    # Latency objective: to the first event of a stream, else to the end.
    goal_ms: float | None = None
    gap_goal_ms: float | None = None
    attempts: int = 1
    priority: int = 0
    # No API key is asked for.
    public: bool = False
    # Requests carry prompt parts that endpoints cache.
    sticky: bool = False
    resumable: bool = False


class EngineEntry(msgspec.Struct):
    """Hold what a service's model endpoints have in common."""

    slots: int = 1
    # Tokens of running requests and cached parts together.
    kv_capacity: int = 0
    # Tokens in an event of a stream, at the most.
    stride: int = 1


class ServiceEntry(msgspec.Struct):
    """Hold a service as it is written."""

    name: str
    health_path: str = "/health"
    # Connections that one endpoint accepts from all callers together.
    max_conns: int = 64
    engine: EngineEntry | None = None


class LimitsEntry(msgspec.Struct):
    """Hold what a client may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class TenantEntry(msgspec.Struct):
    """Hold a workspace as it is written."""

    name: str
    api_keys: list[str] = []
    # Goes before the priority of the route.
    priority: int | None = None
    # Tokens that the workspace may consume in total, raised by top-ups.
    prepaid: int | None = None


class ConfigEntry(msgspec.Struct):
    """Hold a whole configuration as it is written."""

    version: int
    routes: list[RouteEntry] = []
    services: list[ServiceEntry] = []
    limits: LimitsEntry = msgspec.field(default_factory=LimitsEntry)
    tenants: list[TenantEntry] = []


_DECODER = msgspec.json.Decoder(ConfigEntry)


def read_configuration(data: bytes) -> configuration.Configuration:
    """Decode a configuration.

    :raises ConfigurationUnreadableError: for bytes that hold none
    """
    try:
        entry = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise errors.ConfigurationUnreadableError(str(err)) from err
    return configuration.Configuration(
        version=entry.version,
        routes=configuration.order_routes([
            _read_route(item) for item in entry.routes
        ]),
        services={item.name: _read_service(item) for item in entry.services},
        workspaces={
            item.name: configuration.Workspace(
                item.name, item.priority, item.prepaid
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
    goal_ms = entry.goal_ms or DEFAULT_GOAL_MS
    return configuration.Route(
        name=entry.name,
        virtual_host=entry.host.lower(),
        prefix=entry.prefix,
        kind=_KINDS[entry.kind],
        shares=shares,
        timeout_s=entry.timeout_ms / MS_PER_S if entry.timeout_ms else None,
        goal_s=goal_ms / MS_PER_S,
        gap_goal_s=(entry.gap_goal_ms or goal_ms) / MS_PER_S,
        attempts=max(entry.attempts, 1),
        priority=entry.priority,
        public=entry.public,
        resumable=entry.resumable,
        cached=entry.sticky,
    )


def _read_service(entry: ServiceEntry) -> configuration.Service:
    engine = None
    if entry.engine is not None:
        engine = configuration.Engine(
            entry.engine.slots,
            entry.engine.kv_capacity,
            max(entry.engine.stride, 1),
        )
    return configuration.Service(
        name=entry.name,
        health_path=entry.health_path,
        max_connections=entry.max_conns,
        engine=engine,
    )


__all__ = (
    "KEY",
    "KEY_PREFIX",
    "read_configuration",
)
