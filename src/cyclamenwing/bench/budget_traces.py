"""Generation of budget traces from the load profiles of two users."""

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
    """Describe the load of one user.

    :param rate: mean arrival rate in requests per second
    :param reserve: mean units that a request reserves
    :param run_s: mean duration of a request in seconds
    """

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
    """Return a user's trace of one kind; equal seeds give equal traces."""
    rng = random.Random(f"{user.name}/{kind}/{seed}")
    events = _make_requests(user, rng, user.rate)
    if kind in {"sudden-batch", "entry-killed"}:
        events += _make_batch(user, rng)
    used = sum(event["used"] for event in events)
    paid = int(used * _PAID_SHARE.get(kind, 2.0))
    events.append({"at": 0.0, "event": "top_up", "amount": paid})
    events += _FAULTS.get(kind, _make_no_fault)(paid)
    events.sort(key=lambda event: event["at"])
    return {
        "kind": "budget",
        "title": f"{user.name}: {kind}",
        "seed": seed,
        "events": [
            {"event": "zones", "at": 0.0, "zones": user.zones},
            *events,
        ],
        "outcomes": _make_outcomes(kind),
    }


def _make_outcomes(kind: str) -> dict[str, float]:
    """Return the upper bounds that the figures of a replay must keep.

    An entry in a partitioned zone can reach neither the holdings of the
    other entries nor a payment made during the partition. The share of
    false refusals is therefore unbounded for the two kinds in which the
    budget runs out or is topped up during the partition; for them only
    refusals with enough reachable units are bounded.
    """
    bounds: dict[str, float] = {"overspend": 0, "in_reach": 0}
    if kind in {"zone-cut-off", "store-down"}:
        bounds["false_requests"] = 0.01
    elif kind not in {"exhaustion-in-partition", "top-up-in-partition"}:
        bounds["false_requests"] = 0.0
    return bounds


def _make_requests(
    user: User, rng: random.Random, rate: float
) -> list[dict[str, Any]]:
    events: list[dict[str, Any]] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate)
        if at > LENGTH_S:
            return events
        zone = rng.randrange(user.zones)
        events.append(_make_request(user, rng, at, zone))


def _make_batch(user: User, rng: random.Random) -> list[dict[str, Any]]:
    return [
        _make_request(
            user,
            rng,
            FAULT_AT_S + rng.random() * 20.0,
            rng.randrange(user.zones),
        )
        for _ in range(150)
    ]


def _make_request(
    user: User, rng: random.Random, at: float, zone: int
) -> dict[str, Any]:
    reserve = int(user.reserve * rng.uniform(0.5, 1.5))
    return {
        "at": round(at, 2),
        "event": "request",
        "zone": zone,
        "reserve": reserve,
        "used": int(reserve * rng.uniform(0.3, 0.9)),
        "run_s": round(user.run_s * rng.uniform(0.5, 1.5), 2),
    }


def _make_no_fault(paid: int) -> list[dict[str, Any]]:
    return []


def _cut_zone(paid: int) -> list[dict[str, Any]]:
    return [
        {"at": FAULT_AT_S, "event": "cut", "zone": 0},
        {"at": FAULT_AT_S + ZONE_CUT_S, "event": "heal", "zone": 0},
    ]


def _top_up_in_partition(paid: int) -> list[dict[str, Any]]:
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


# Initial payment as a share of the units that all requests use; 2.0 for
# the kinds that are not listed.
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
    "top-up-in-partition": _top_up_in_partition,
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
