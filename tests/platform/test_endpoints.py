"""Decoding of endpoints' entries, valid and malformed."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from cyclamenwing.platform import endpoints
from cyclamenwing.platform import errors
from cyclamenwing.routing import endpoints as types

ENTRY: dict[str, Any] = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1700000000000,
}


def read(entry: Any) -> types.Endpoint:
    return endpoints.read_endpoint("servers/i-1", msgspec.json.encode(entry))


def test_entry_is_translated() -> None:
    assert read(ENTRY) == types.Endpoint(
        "i-1", "llm", "10.0.0.9:8080", "z1", 64, False, 1700000000000, "v1"
    )


def test_draining_state_is_translated() -> None:
    assert read(ENTRY | {"state": "draining"}).draining


def test_heartbeat_does_not_change_the_endpoint() -> None:
    assert read(ENTRY) == read(ENTRY | {"seq": 5})


def test_later_start_is_another_incarnation() -> None:
    later = read(ENTRY | {"born": 1700000000001})
    assert later.incarnation != read(ENTRY).incarnation


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": None},
        {"service": 3},
        {"address": ""},
        {"address": "10.0.0.9"},
        {"address": "10.0.0.9:http"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:70000"},
        {"address": "10.0.0.9:\u0668\u0660"},
        {"address": "host.example:8080"},
        {"address": "10.0.0.9\x00:8080"},
        {"slots": "many"},
        {"seq": "4"},
        {"born": 1.5},
    ],
)
def test_malformed_field_is_refused(
    change: dict[str, Any],
) -> None:
    with pytest.raises(errors.EndpointUnreadableError):
        read(ENTRY | change)


@pytest.mark.parametrize("missing", sorted(ENTRY.keys() - {"born"}))
def test_missing_required_field_is_refused(missing: str) -> None:
    with pytest.raises(errors.EndpointUnreadableError):
        read({k: v for k, v in ENTRY.items() if k != missing})


def test_number_that_can_not_be_encoded_again_is_refused() -> None:
    """Gossip that tells of such a number could not be sent."""
    value = msgspec.json.encode(ENTRY | {"born": 1})
    value = value.replace(b'"born":1', b'"born":%d' % 10**30)
    with pytest.raises(errors.EndpointUnreadableError):
        endpoints.read_endpoint("servers/i-1", value)


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"null", b"{", b'{"service":' * 100_000]
)
def test_malformed_bytes_are_refused(value: bytes) -> None:
    with pytest.raises(errors.EndpointUnreadableError):
        endpoints.read_endpoint("servers/i-1", value)


@pytest.mark.parametrize(
    ("cold_left_ms", "remaining_s"), [(2500, 2.5), (0, 0.0), (-5, 0.0)]
)
def test_remaining_cold_time_is_translated(
    cold_left_ms: float, remaining_s: float
) -> None:
    entry = read(ENTRY | {"cold_left_ms": cold_left_ms})
    assert entry.cold_remaining_s == remaining_s
