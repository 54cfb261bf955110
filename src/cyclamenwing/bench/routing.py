"""Measurement of routing against simple policies."""

from __future__ import annotations

import argparse
import math
import random
import time
from typing import Any
from typing import NamedTuple

from cyclamenwing.bench import routingpolicies
from cyclamenwing.bench import routingrun
from cyclamenwing.bench import routingtraces
from cyclamenwing.bench import tables
from cyclamenwing.routing import scoring
from cyclamenwing.routing import types

PERCENTILES = (50, 95, 99)
BATCH_JOBS = 2_000
BATCH_AT_S = 10.0
CANDIDATE_COUNTS = (10, 64, 600)
DECISIONS = 200


class Figures(NamedTuple):
    """Hold a run's figures; times are in milliseconds."""

    first_ms: dict[int, float]
    between_ms: dict[int, float]
    hit_share: float
    lost_tokens: int
    retried: int
    refused: int
    late_ask_s: float


class RoutingBench:
    """Play both users' traces with each policy."""

    NAME = "routing"
    HELP = "routing against simple policies while hosts fail"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the measurement's arguments."""
        parser.add_argument("--seed", type=int, default=1)

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Measure; the result has a `tables` list to print."""
        made = [
            self._compare(shape, args.seed)
            for shape in routingtraces.SHAPES.values()
        ]
        beside = measure_beside(args.seed)
        costs = measure_costs()
        return {
            "seed": args.seed,
            "tables": [*made, make_beside_table(beside), _table_costs(costs)],
        }

    def _compare(self, shape: routingtraces.Shape, seed: int) -> tables.Table:
        events = routingtraces.read_events(
            routingtraces.make_trace(shape, seed)
        )
        rows = [
            _make_row(name, measure(events, maker, seed))
            for name, maker in routingpolicies.POLICIES.items()
        ]
        return {
            "title": f"routing, trace {shape.title}, seed {seed}, "
            f"{len(events.arrivals)} requests",
            "columns": _COLUMNS,
            "rows": rows,
        }


def measure(
    events: routingtraces.Events, maker: routingpolicies.Maker, seed: int
) -> Figures:
    """Play a trace with one policy."""
    outcome = routingrun.Run(events, maker, seed).play()
    return summarise(outcome)


def summarise(outcome: routingrun.Outcome) -> Figures:
    """Return a run's figures."""
    first: list[float] = []
    between: list[float] = []
    for course in outcome.courses:
        if course.refused:
            continue
        first.append(course.times[0] - course.arrival["at"])
        between.extend(
            later - earlier
            for earlier, later in zip(
                course.times, course.times[1:], strict=False
            )
        )
    return Figures(
        find_percentiles(first),
        find_percentiles(between),
        outcome.hit_blocks / max(1, outcome.requested_blocks),
        sum(course.lost_tokens for course in outcome.courses),
        sum(course.attempt > 1 for course in outcome.courses),
        sum(bool(course.refused) for course in outcome.courses),
        max(outcome.late_asks, default=0.0),
    )


def find_percentiles(values_s: list[float]) -> dict[int, float]:
    """Return the percentiles in milliseconds."""
    ordered = sorted(values_s)
    return {
        share: ordered[math.ceil(len(ordered) * share / 100) - 1] * 1000
        for share in PERCENTILES
        if ordered
    }


class Beside(NamedTuple):
    """Hold the figures of a large batch beside interactive work."""

    alone_p95_ms: float
    both_p95_ms: float
    alone_tokens_per_s: float
    both_tokens_per_s: float


def measure_beside(seed: int) -> Beside:
    """Measure interactive work and a batch, each alone and both at once."""
    shape = routingtraces.PANELS._replace(
        rate_per_s=1.8, length_s=120.0, workspaces=9, batch_share=0.0
    )
    interactive = routingtraces.draw_arrivals(shape, random.Random(seed))
    batch = draw_batch(seed)
    made: dict[str, list[routingtraces.Arrival]] = {
        "interactive": interactive,
        "batch": batch,
        "both": sorted([*interactive, *batch], key=lambda row: row["at"]),
    }
    outcomes = {
        name: routingrun.Run(
            routingtraces.Events(shape.fleet, [], rows),
            routingpolicies.make_scoring,
            seed,
        ).play()
        for name, rows in made.items()
    }
    # Only requests that came while the batch ran count.
    ends_at = _find_batch_end(outcomes["both"])
    return Beside(
        _find_first_p95(outcomes["interactive"], ends_at),
        _find_first_p95(outcomes["both"], ends_at),
        _find_batch_rate(outcomes["batch"]),
        _find_batch_rate(outcomes["both"]),
    )


def draw_batch(seed: int) -> list[routingtraces.Arrival]:
    """Draw a large batch that one workspace sends at once."""
    draw = random.Random(seed + 1)
    return [
        {
            "at": BATCH_AT_S,
            "workspace": "large",
            "priority": "batch",
            "document": f"b{number}",
            "document_tokens": draw.randint(500, 2_000),
            "question_tokens": 100,
            "answer_tokens": draw.randint(150, 400),
        }
        for number in range(BATCH_JOBS)
    ]


def measure_costs() -> dict[int, float]:
    """Return the microseconds of a decision by the number of candidates."""
    return {count: _measure_cost(count) for count in CANDIDATE_COUNTS}


def _measure_cost(count: int) -> float:
    policy = scoring.ScoringPolicy("z0")
    candidates = [
        types.Candidate(f"h{number}", "", f"z{number % 4}", "i", number, 0.0)
        for number in range(count)
    ]
    prefix = tuple(range(16))
    job = types.Job("r", "w", "a", "interactive", prefix, 1e9, "f", 1)
    for number, candidate in enumerate(candidates):
        policy.record_start(
            job._replace(request=str(number)), candidate.host, 1.0
        )
    started = time.perf_counter()
    for number in range(DECISIONS):
        policy.order(job._replace(request=str(number)), candidates, 2.0)
    return (time.perf_counter() - started) / DECISIONS * 1e6


def make_beside_table(beside: Beside) -> tables.Table:
    """Return the table of a batch beside interactive work."""
    first = beside.both_p95_ms / beside.alone_p95_ms
    rate = beside.both_tokens_per_s / beside.alone_tokens_per_s
    return {
        "title": f"a batch of {BATCH_JOBS} beside nine workspaces",
        "columns": ["figure", "alone", "both", "ratio", "bound"],
        "rows": [
            [
                "interactive p95 to first token, ms",
                f"{beside.alone_p95_ms:.0f}",
                f"{beside.both_p95_ms:.0f}",
                f"{first:.2f}",
                "at most 1.3",
            ],
            [
                "batch, answer tokens a second",
                f"{beside.alone_tokens_per_s:.0f}",
                f"{beside.both_tokens_per_s:.0f}",
                f"{rate:.2f}",
                "at least 0.9",
            ],
        ],
    }


def _find_first_p95(outcome: routingrun.Outcome, ends_at: float) -> float:
    return find_percentiles([
        course.times[0] - course.arrival["at"]
        for course in outcome.courses
        if course.job.priority == "interactive"
        and BATCH_AT_S <= course.arrival["at"] < ends_at
    ])[95]


def _find_batch_end(outcome: routingrun.Outcome) -> float:
    return max(
        course.times[-1]
        for course in outcome.courses
        if course.job.priority == "batch" and not course.refused
    )


def _find_batch_rate(outcome: routingrun.Outcome) -> float:
    tokens = sum(
        len(course.times)
        for course in outcome.courses
        if course.job.priority == "batch"
    )
    return tokens / (_find_batch_end(outcome) - BATCH_AT_S)


def _make_row(name: str, figures: Figures) -> list[str]:
    return [
        name,
        *(f"{figures.first_ms[share]:.0f}" for share in PERCENTILES),
        *(f"{figures.between_ms[share]:.1f}" for share in PERCENTILES),
        f"{figures.hit_share:.3f}",
        str(figures.lost_tokens),
        str(figures.retried),
        str(figures.refused),
        f"{figures.late_ask_s:.2f}",
    ]


def _table_costs(costs: dict[int, float]) -> tables.Table:
    return {
        "title": "cost of a decision",
        "columns": ["candidates", "microseconds"],
        "rows": [[str(count), f"{cost:.0f}"] for count, cost in costs.items()],
    }


_COLUMNS = [
    "policy",
    *(f"first p{share}, ms" for share in PERCENTILES),
    *(f"between p{share}, ms" for share in PERCENTILES),
    "cache hits",
    "tokens lost",
    "retried",
    "refused",
    "last asked after drain, s",
]

__all__ = (
    "Beside",
    "Figures",
    "RoutingBench",
    "draw_batch",
    "find_percentiles",
    "make_beside_table",
    "measure",
    "measure_beside",
    "measure_costs",
    "summarise",
)
