"""Routing traces: workloads, generation and parsing."""

from __future__ import annotations

import random
from typing import Any
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

import msgspec

from cyclamenwing.replay import protocol
from cyclamenwing.routing import types
from cyclamenwing.settings import errors

KIND = "routing"
FaultKind = Literal["slow", "dead", "drain"]


class Fleet(TypedDict):
    """Describe the fleet that a trace is simulated on.

    `replicas` is the number of endpoints, `cache_blocks` the capacity of
    the prefix cache of each.
    """

    zones: int
    entries: int
    replicas: int
    cache_blocks: int


class HostFault(TypedDict):
    """Describe a fault of an endpoint.

    `replica` is the number of the endpoint; `factor` multiplies the step
    time of a slow one and has no effect for other kinds.
    """

    at: float
    replica: int
    kind: FaultKind
    factor: float


class Arrival(TypedDict):
    """Describe a request; several requests can share a document."""

    at: float
    workspace: str
    priority: types.Priority
    document: str
    document_tokens: int
    question_tokens: int
    answer_tokens: int


class Events(NamedTuple):
    """Hold the events of a trace by kind."""

    fleet: Fleet
    faults: list[HostFault]
    arrivals: list[Arrival]


class Workload(NamedTuple):
    """Hold the parameters from which the requests of a trace are drawn.

    Pairs are the lower and upper bound of a uniform distribution;
    `batch_share` is the share of requests with batch priority.
    """

    title: str
    fleet: Fleet
    rate_per_s: float
    length_s: float
    workspaces: int
    documents_per_s: float
    document_tokens: tuple[int, int]
    question_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]
    batch_share: float


# Panels: repeated questions about a few long documents in one session.
PANELS = Workload(
    "panels",
    {"zones": 4, "entries": 3, "replicas": 10, "cache_blocks": 1024},
    rate_per_s=9.0,
    length_s=60.0,
    workspaces=10,
    documents_per_s=1.2,
    document_tokens=(2_000, 8_000),
    question_tokens=(40, 200),
    answer_tokens=(80, 300),
    batch_share=0.1,
)
# Guides: short questions about shared terms, and some about ledgers.
GUIDES = Workload(
    "guides",
    {"zones": 3, "entries": 3, "replicas": 6, "cache_blocks": 1024},
    rate_per_s=9.0,
    length_s=60.0,
    workspaces=10,
    documents_per_s=0.6,
    document_tokens=(1_000, 5_000),
    question_tokens=(20, 120),
    answer_tokens=(30, 200),
    batch_share=0.2,
)
BASELINES = ("round robin", "random", "least in-flight", "two choices")
WORKLOADS = {workload.title: workload for workload in (PANELS, GUIDES)}


def make_trace(workload: Workload, seed: int) -> protocol.Trace:
    """Draw a trace with one slow, one dead and one draining endpoint."""
    rng = random.Random(seed)
    faults: list[HostFault] = [
        {"at": 0.0, "replica": 1, "kind": "slow", "factor": 4.0},
        {"at": 20.0, "replica": 2, "kind": "dead", "factor": 1.0},
        {"at": 30.0, "replica": 3, "kind": "drain", "factor": 1.0},
    ]
    events: list[dict[str, Any]] = [{"fleet": workload.fleet}]
    events.extend({"fault": fault} for fault in faults)
    events.extend({"arrival": row} for row in draw_arrivals(workload, rng))
    return {
        "kind": KIND,
        "title": workload.title,
        "seed": seed,
        "events": events,
        "outcomes": {
            "better_than": [*BASELINES],
            "refused": 0,
            "asked_after_drain_s": 3.0,
        },
    }


def draw_arrivals(workload: Workload, rng: random.Random) -> list[Arrival]:
    """Draw requests with exponential gaps, each about a recent document."""
    arrivals: list[Arrival] = []
    lengths: dict[int, int] = {}
    now = 0.0
    while True:
        now += rng.expovariate(workload.rate_per_s)
        if now > workload.length_s:
            return arrivals
        latest = int(now * workload.documents_per_s) + workload.workspaces
        number = latest - int(rng.expovariate(1 / workload.workspaces))
        number = max(0, number)
        length = lengths.setdefault(
            number, rng.randint(*workload.document_tokens)
        )
        batch = rng.random() < workload.batch_share
        arrivals.append({
            "at": round(now, 3),
            "workspace": f"w{number % workload.workspaces}",
            "priority": "batch" if batch else "interactive",
            "document": f"d{number}",
            "document_tokens": length,
            "question_tokens": rng.randint(*workload.question_tokens),
            "answer_tokens": rng.randint(*workload.answer_tokens),
        })


def read_events(trace: protocol.Trace) -> Events:
    """Return the events of a trace by kind.

    :raises SettingsSchemaError: when an event is malformed or the trace
        doesn't have exactly one fleet event
    """
    faults: list[HostFault] = []
    arrivals: list[Arrival] = []
    fleets: list[Fleet] = []
    kinds: dict[str, tuple[list[Any], Any]] = {
        "fleet": (fleets, Fleet),
        "fault": (faults, HostFault),
        "arrival": (arrivals, Arrival),
    }
    for event in trace["events"]:
        for name, value in event.items():
            if name not in kinds:
                raise errors.SettingsSchemaError(
                    f"unknown kind of event: {name!r}"
                )
            rows, kind = kinds[name]
            rows.append(_convert(value, kind))
    if len(fleets) != 1:
        raise errors.SettingsSchemaError(
            "a trace must have exactly one fleet event"
        )
    return Events(fleets[0], faults, arrivals)


def _convert(value: Any, kind: Any) -> Any:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as err:
        raise errors.SettingsSchemaError(str(err)) from err


__all__ = (
    "BASELINES",
    "GUIDES",
    "KIND",
    "PANELS",
    "WORKLOADS",
    "Arrival",
    "Events",
    "Fleet",
    "HostFault",
    "Workload",
    "draw_arrivals",
    "make_trace",
    "read_events",
)
