"""Traces of requests and faults for measurements of routing."""

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
    """Describe the fleet that a trace was taken from."""

    zones: int
    entries: int
    replicas: int
    cache_blocks: int


class HostFault(TypedDict):
    """Describe what happens to a replica; `factor` is for a slow one."""

    at: float
    replica: int
    kind: FaultKind
    factor: float


class Arrival(TypedDict):
    """Describe a request; the document is shared by several."""

    at: float
    workspace: str
    priority: types.Priority
    document: str
    document_tokens: int
    question_tokens: int
    answer_tokens: int


class Events(NamedTuple):
    """Hold the events of a trace by what they are."""

    fleet: Fleet
    faults: list[HostFault]
    arrivals: list[Arrival]


class Workload(NamedTuple):
    """Set how a trace's requests are drawn."""

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


# Panels read a few long dossiers several times, in a sitting.
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
# Guides ask short questions on terms that they share, and some ledgers.
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
WORKLOADS = {shape.title: shape for shape in (PANELS, GUIDES)}


def make_trace(shape: Workload, seed: int) -> protocol.Trace:
    """Draw a trace with one slow, one dead and one draining replica."""
    draw = random.Random(seed)
    faults: list[HostFault] = [
        {"at": 0.0, "replica": 1, "kind": "slow", "factor": 4.0},
        {"at": 20.0, "replica": 2, "kind": "dead", "factor": 1.0},
        {"at": 30.0, "replica": 3, "kind": "drain", "factor": 1.0},
    ]
    events: list[dict[str, Any]] = [{"fleet": shape.fleet}]
    events.extend({"fault": fault} for fault in faults)
    events.extend({"arrival": row} for row in draw_arrivals(shape, draw))
    return {
        "kind": KIND,
        "title": shape.title,
        "seed": seed,
        "events": events,
        "outcomes": {
            "better_than": [*BASELINES],
            "refused": 0,
            "asked_after_drain_s": 3.0,
        },
    }


def draw_arrivals(shape: Workload, draw: random.Random) -> list[Arrival]:
    """Draw requests; each asks about one of the latest documents."""
    arrivals: list[Arrival] = []
    lengths: dict[int, int] = {}
    now = 0.0
    while True:
        now += draw.expovariate(shape.rate_per_s)
        if now > shape.length_s:
            return arrivals
        latest = int(now * shape.documents_per_s) + shape.workspaces
        number = latest - int(draw.expovariate(1 / shape.workspaces))
        number = max(0, number)
        length = lengths.setdefault(
            number, draw.randint(*shape.document_tokens)
        )
        batch = draw.random() < shape.batch_share
        arrivals.append({
            "at": round(now, 3),
            "workspace": f"w{number % shape.workspaces}",
            "priority": "batch" if batch else "interactive",
            "document": f"d{number}",
            "document_tokens": length,
            "question_tokens": draw.randint(*shape.question_tokens),
            "answer_tokens": draw.randint(*shape.answer_tokens),
        })


def read_events(trace: protocol.Trace) -> Events:
    """Sort a trace's events; raise a coded error on one that is malformed."""
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
                raise errors.SettingsSchemaError(f"event {name!r}")
            rows, kind = kinds[name]
            rows.append(_convert(value, kind))
    if len(fleets) != 1:
        raise errors.SettingsSchemaError("not one fleet event")
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
