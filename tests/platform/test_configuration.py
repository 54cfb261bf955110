"""Decoding of the configuration that operators write."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from cyclamenwing.gateway import configuration as types
from cyclamenwing.platform import configuration
from cyclamenwing.platform import errors
from cyclamenwing.routing import cold_marks

ROUTE = {
    "name": "r1",
    "host": "API.example",
    "prefix": "/a/",
    "kind": "streaming",
    "service": "llm",
    "timeout_ms": 1500,
    "goal_ms": 500,
    "priority": 1,
    "attempts": 2,
    "sticky": True,
    "resumable": True,
    "gap_goal_ms": 300,
}
WHOLE = {
    "version": 7,
    "routes": [
        ROUTE,
        ROUTE
        | {
            "name": "r2",
            "prefix": "/a/b/",
            "kind": "unsafe",
            "service": None,
            "split": [
                {"service": "x", "weight": 90},
                {"service": "y", "weight": 10},
            ],
        },
    ],
    "services": [
        {
            "name": "llm",
            "health_path": "/h",
            "max_conns": 9,
            "engine": {"slots": 64, "kv_capacity": 1000, "stride": 4},
        }
    ],
    "limits": {"max_header_bytes": 99, "idle_timeout_ms": 500},
    "tenants": [
        {"name": "t", "api_keys": ["k1", "k2"], "prepaid": 5},
        {"name": "u", "api_keys": [], "priority": 3},
    ],
    "unheard_of": {"x": 1},
}


def read(**changes: Any) -> types.Configuration:
    return configuration.read_configuration(
        msgspec.json.encode(WHOLE | changes)
    )


def test_longest_prefix_wins_and_virtual_host_ignores_case() -> None:
    decoded = read()
    outer = decoded.find_route("api.example", "/a/x")
    inner = decoded.find_route("api.example", "/a/b/x")
    assert outer is not None
    assert inner is not None
    assert (outer.name, inner.name) == ("r1", "r2")
    assert decoded.find_route("api.example", "/a") is None
    assert decoded.find_route("other.example", "/a/x") is None


def test_route_is_translated() -> None:
    route = read().find_route("api.example", "/a/x")
    assert route is not None
    assert route.kind is types.RouteKind.STREAM
    assert (route.timeout_s, route.goal_s, route.gap_goal_s) == (1.5, 0.5, 0.3)
    assert route.shares == (types.Share("llm", 1.0),)
    assert (route.resumable, route.cached, route.repeatable) == (
        True,
        True,
        False,
    )


@pytest.mark.parametrize(
    ("goal_ms", "gap_goal_ms", "patience_s"),
    [(100, 100, 2.0), (1000, 400, 4.0), (500, 400, 3.2), (300, None, 2.4)],
)
def test_patience_of_stream_clients_follows_from_the_goals(
    goal_ms: int, gap_goal_ms: int | None, patience_s: float
) -> None:
    entry = ROUTE | {
        "goal_ms": goal_ms,
        "gap_goal_ms": gap_goal_ms,
    }
    route = read(routes=[entry]).find_route("api.example", "/a/x")
    assert route is not None
    assert route.patience_s == pytest.approx(patience_s)


def test_split_is_translated() -> None:
    route = read().find_route("api.example", "/a/b/")
    assert route is not None
    assert route.shares == (types.Share("x", 90), types.Share("y", 10))


def test_api_key_maps_to_its_workspace() -> None:
    decoded = read()
    assert decoded.find_workspace("k2") == types.Workspace("t", None, 5)
    assert decoded.find_workspace("k3") is None


def test_services_and_limits_are_translated() -> None:
    decoded = read()
    assert decoded.services["llm"].engine == types.Engine(64, 1000, 4)
    assert decoded.limits.header_bytes == 99
    assert decoded.limits.idle_timeout_s == 0.5
    assert decoded.limits.header_timeout_s == 3.0


@pytest.mark.parametrize("timeout_ms", [0, None])
def test_route_without_timeout_has_no_time_limit(
    timeout_ms: int | None,
) -> None:
    route = read(routes=[ROUTE | {"timeout_ms": timeout_ms}]).find_route(
        "api.example", "/a/"
    )
    assert route is not None
    assert route.timeout_s is None


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"{}",
        b'{"version":"7"}',
        b'{"version":7,"routes":[{"name":"x"}]}',
        b'{"version":7,"routes":[{"name":"x","host":"h","prefix":"/",'
        b'"kind":"sometimes"}]}',
    ],
)
def test_malformed_configuration_is_refused(data: bytes) -> None:
    with pytest.raises(errors.ConfigurationUnreadableError):
        configuration.read_configuration(data)


# Guards against a configuration whose homes are not applied, or which refuses
# everything because it sets none.
def test_home_regions_of_routes_and_workspaces_are_read() -> None:
    route = ROUTE | {"home_regions": ["north", "south"]}
    tenant = {"name": "t", "api_keys": ["k"], "home_regions": ["north"]}
    config = configuration.read_configuration(
        msgspec.json.encode({
            "version": 1,
            "routes": [route],
            "tenants": [tenant, {"name": "u", "api_keys": ["k2"]}],
        })
    )
    found = config.find_route("api.example", "/a/x")
    assert found is not None
    assert found.homes == {"north", "south"}
    assert config.workspaces["t"].homes == {"north"}
    assert config.workspaces["u"].homes == frozenset()


# Guards against a limit where the configuration has only half of it.
@pytest.mark.parametrize(
    ("cold", "terms"),
    [
        ({"cold_s": 3.0, "cold_per_s": 5.6}, cold_marks.ColdTerms(3.0, 5.6)),
        ({"cold_s": 3.0}, None),
        ({"cold_per_s": 5.6}, None),
        ({"cold_s": 0, "cold_per_s": 5.6}, None),
        ({"cold_s": 3.0, "cold_per_s": -1}, None),
        ({}, None),
    ],
)
def test_cold_endpoints_need_a_time_and_a_rate(
    cold: dict[str, float], terms: cold_marks.ColdTerms | None
) -> None:
    decoded = read(services=[{"name": "llm"} | cold])
    assert decoded.services["llm"].cold == terms
