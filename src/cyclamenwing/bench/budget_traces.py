"""Events of a budget trace and the users' recorded load."""

from __future__ import annotations

import random
from typing import Any
from typing import NamedTuple

from cyclamenwing.replay import protocol

KINDS = (
    "steady",
    "sudden-batch",
    "near-exhaustion",
    "top-up-in-partition",
    "zone-cut-off",
    "exhaustion-in-partition",
    "entry-killed",
    "store-down",
)
LENGTH_S = 2_400.0
FAULT_AT_S = 300.0
ZONE_CUT_S = 600.0
STORE_DOWN_S = 1_800.0
TOP_UP_AFTER_S = 240.0


class User(NamedTuple):
    """Describe one user's zones and requests."""

    name: str
    zones: int
    rate: float
    reserve: int
    run_s: float


USERS = (
    User("bundesstelle", 4, 0.25, 6_000, 12.0),
    User("matkaraha", 3, 0.2, 1_500, 4.0),
)


def make_trace(user: User, kind: str, seed: int) -> protocol.Trace:
    """Return a user's load of one kind, the same for the same seed."""
    source = random.Random(f"{user.name}/{kind}/{seed}")
    events = _make_requests(user, source, user.rate)
    if kind in {"sudden-batch", "entry-killed"}:
        events += _make_batch(user, source)
    used = sum(event["used"] for event in events)
    paid = int(used * _PAID_SHARE.get(kind, 2.0))
    events.append({"at": 0.0, "event": "top_up", "amount": paid})
    events += _FAULTS.get(kind, _make_none)(paid)
    events.sort(key=lambda event: event["at"])
    return {
        "kind": "budget",
        "title": f"{user.name}: {kind}",
        "seed": seed,
        "events": [
            {"event": "zones", "at": 0.0, "zones": user.zones},
            *events,
        ],
        "outcomes": _state_outcomes(kind),
    }


def _state_outcomes(kind: str) -> dict[str, float]:
    """Return the bounds that a replay must keep.

    A cut-off zone can't reach what the others hold or a later payment,
    so only refusals with the budget in reach are bounded there.
    """
    bounds: dict[str, float] = {"overspend": 0, "in_reach": 0}
    if kind in {"zone-cut-off", "store-down"}:
        bounds["false_requests"] = 0.01
    elif kind not in {"exhaustion-in-partition", "top-up-in-partition"}:
        bounds["false_requests"] = 0.0
    return bounds


def _make_requests(
    user: User, source: random.Random, rate: float
) -> list[dict[str, Any]]:
    events: list[dict[str, Any]] = []
    at = 0.0
    while True:
        at += source.expovariate(rate)
        if at > LENGTH_S:
            return events
        zone = source.randrange(user.zones)
        events.append(_make_request(user, source, at, zone))


def _make_batch(user: User, source: random.Random) -> list[dict[str, Any]]:
    return [
        _make_request(
            user,
            source,
            FAULT_AT_S + source.random() * 20.0,
            source.randrange(user.zones),
        )
        for _ in range(150)
    ]


def _make_request(
    user: User, source: random.Random, at: float, zone: int
) -> dict[str, Any]:
    reserve = int(user.reserve * source.uniform(0.5, 1.5))
    return {
        "at": round(at, 2),
        "event": "request",
        "zone": zone,
        "reserve": reserve,
        "used": int(reserve * source.uniform(0.3, 0.9)),
        "run_s": round(user.run_s * source.uniform(0.5, 1.5), 2),
    }


def _make_none(paid: int) -> list[dict[str, Any]]:
    return []


def _cut_zone(paid: int) -> list[dict[str, Any]]:
    return [
        {"at": FAULT_AT_S, "event": "cut", "zone": 0},
        {"at": FAULT_AT_S + ZONE_CUT_S, "event": "heal", "zone": 0},
    ]


def _top_up_cut(paid: int) -> list[dict[str, Any]]:
    at = FAULT_AT_S + TOP_UP_AFTER_S
    top_up = {"at": at, "event": "top_up", "amount": paid * 3}
    return [*_cut_zone(paid), top_up]


def _kill_entry(paid: int) -> list[dict[str, Any]]:
    return [
        {"at": FAULT_AT_S + 10.0, "event": "kill", "zone": 1},
        {"at": FAULT_AT_S + 70.0, "event": "start", "zone": 1},
    ]


def _stop_store(paid: int) -> list[dict[str, Any]]:
    return [
        {"at": FAULT_AT_S, "event": "store_down"},
        {"at": FAULT_AT_S + STORE_DOWN_S, "event": "store_up"},
    ]


# Shares of the whole use that are paid at the start.
_PAID_SHARE = {
    "near-exhaustion": 0.8,
    "sudden-batch": 0.9,
    "zone-cut-off": 1.0,
    "exhaustion-in-partition": 0.35,
    "store-down": 1.0,
    "top-up-in-partition": 0.35,
    "entry-killed": 1.1,
}
_FAULTS = {
    "top-up-in-partition": _top_up_cut,
    "zone-cut-off": _cut_zone,
    "exhaustion-in-partition": _cut_zone,
    "entry-killed": _kill_entry,
    "store-down": _stop_store,
}

__all__ = (
    "KINDS",
    "USERS",
    "User",
    "make_trace",
)
