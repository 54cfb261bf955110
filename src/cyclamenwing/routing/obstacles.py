"""Reasons why an endpoint gets no requests now, for operators.

Answers where work would go under overload, limits and evacuations. It reads
the state that the choice of an endpoint reads and changes none of it.
"""

from __future__ import annotations

from collections.abc import Callable

from cyclamenwing.routing import endpoints

Check = Callable[
    [endpoints.Directory, endpoints.Endpoint, endpoints.Scope, float], bool
]


def _leaves(
    directory: endpoints.Directory,
    endpoint: endpoints.Endpoint,
    scope: endpoints.Scope,
    now_s: float,
) -> bool:
    return directory.is_gone(endpoint)


def _waits(
    directory: endpoints.Directory,
    endpoint: endpoints.Endpoint,
    scope: endpoints.Scope,
    now_s: float,
) -> bool:
    wait_s = directory.exclusions.read_wait(endpoint.incarnation, now_s)
    return wait_s > 0


def _is_evacuated(
    directory: endpoints.Directory,
    endpoint: endpoints.Endpoint,
    scope: endpoints.Scope,
    now_s: float,
) -> bool:
    return directory.evacuations.is_evacuated(endpoint.zone, now_s, scope.part)


def _is_away_from_home(
    directory: endpoints.Directory,
    endpoint: endpoints.Endpoint,
    scope: endpoints.Scope,
    now_s: float,
) -> bool:
    return scope.zones is not None and endpoint.zone not in scope.zones


def _is_limited(
    directory: endpoints.Directory,
    endpoint: endpoints.Endpoint,
    scope: endpoints.Scope,
    now_s: float,
) -> bool:
    return directory.limits.measure_wait(endpoint.incarnation, now_s) > 0


_CHECKS: tuple[tuple[str, Check], ...] = (
    ("leaving", _leaves),
    ("asked_for_a_pause", _waits),
    ("zone_evacuated", _is_evacuated),
    ("outside_home_regions", _is_away_from_home),
    ("limit_used_up", _is_limited),
)


def list_obstacles(
    directory: endpoints.Directory,
    endpoint: endpoints.Endpoint,
    scope: endpoints.Scope,
    now_s: float,
) -> list[str]:
    """Return why an endpoint gets no requests now, empty if it may."""
    return [
        name
        for name, applies in _CHECKS
        if applies(directory, endpoint, scope, now_s)
    ]


__all__ = ("list_obstacles",)
