"""Benchmark `routing`: the production policy against baselines."""

from __future__ import annotations

import argparse
import math
import random
import time
from typing import Any
from typing import NamedTuple

from cyclamenwing.bench import routing_policies
from cyclamenwing.bench import routing_simulation
from cyclamenwing.bench import routing_traces
from cyclamenwing.bench import tables
from cyclamenwing.routing import scoring
from cyclamenwing.routing import types

PERCENTILES = (50, 95, 99)
BATCH_REQUESTS = 2_000
BATCH_AT_S = 10.0
CANDIDATE_COUNTS = (10, 64, 600)
DECISIONS = 200


class Figures(NamedTuple):
    """Hold the figures of one policy on one trace.

    :param first_ms: time to first token by percentile, in milliseconds
    :param gap_ms: time between tokens by percentile, in milliseconds
    :param hit_share: share of prompt blocks found in a prefix cache
    :param lost_tokens: document and answer tokens of interrupted streams,
        which a retry computes again
    :param retried: requests with more than one attempt
    :param asked_after_drain_s: longest time after the start of a drain at
        which a host still got a request
    """

    first_ms: dict[int, float]
    gap_ms: dict[int, float]
    hit_share: float
    lost_tokens: int
    retried: int
    refused: int
    asked_after_drain_s: float


class RoutingBench:
    """Simulate each policy on the workloads of both users."""

    NAME = "routing"
    HELP = "routing against simple policies while hosts fail"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this benchmark."""
        parser.add_argument("--seed", type=int, default=1)

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Return the figures; `tables` holds the tables to print."""
        policy_tables = [
            self._compare(shape, args.seed)
            for shape in routing_traces.WORKLOADS.values()
        ]
        mixed_load = measure_mixed_load(args.seed)
        costs = measure_costs()
        return {
            "seed": args.seed,
            "tables": [
                *policy_tables,
                make_mixed_load_table(mixed_load),
                _make_cost_table(costs),
            ],
        }

    def _compare(
        self, shape: routing_traces.Workload, seed: int
    ) -> tables.Table:
        events = routing_traces.read_events(
            routing_traces.make_trace(shape, seed)
        )
        rows = [
            _make_row(name, measure_policy(events, make_policy, seed))
            for name, make_policy in routing_policies.POLICIES.items()
        ]
        return {
            "title": f"routing, trace {shape.title}, seed {seed}, "
            f"{len(events.arrivals)} requests",
            "columns": _COLUMNS,
            "rows": rows,
        }


def measure_policy(
    events: routing_traces.Events,
    make_policy: routing_policies.PolicyFactory,
    seed: int,
) -> Figures:
    """Simulate a trace with one policy; return the figures."""
    outcome = routing_simulation.Simulation(events, make_policy, seed).run()
    return summarise(outcome)


def summarise(outcome: routing_simulation.Outcome) -> Figures:
    """Return the figures of a simulation."""
    first_token_s: list[float] = []
    gaps_s: list[float] = []
    for request in outcome.requests:
        if request.refused:
            continue
        first_token_s.append(request.times[0] - request.arrival["at"])
        gaps_s.extend(
            later - earlier
            for earlier, later in zip(
                request.times, request.times[1:], strict=False
            )
        )
    return Figures(
        find_percentiles(first_token_s),
        find_percentiles(gaps_s),
        outcome.hit_blocks / max(1, outcome.requested_blocks),
        sum(request.lost_tokens for request in outcome.requests),
        sum(request.attempt > 1 for request in outcome.requests),
        sum(bool(request.refused) for request in outcome.requests),
        max(outcome.asked_after_drain_s, default=0.0),
    )


def find_percentiles(values_s: list[float]) -> dict[int, float]:
    """Return `PERCENTILES` of times, in milliseconds, by nearest rank."""
    ordered = sorted(values_s)
    return {
        percent: ordered[math.ceil(len(ordered) * percent / 100) - 1] * 1000
        for percent in PERCENTILES
        if ordered
    }


class MixedLoadFigures(NamedTuple):
    """Hold the figures of interactive requests and a batch.

    Fields with `alone` are of a simulation with one of the two loads,
    those with `mixed` of one with both.
    """

    alone_p95_ms: float
    mixed_p95_ms: float
    alone_tokens_per_s: float
    mixed_tokens_per_s: float


def measure_mixed_load(seed: int) -> MixedLoadFigures:
    """Simulate interactive requests and a batch, alone and both at once."""
    shape = routing_traces.PANELS._replace(
        rate_per_s=1.8, length_s=120.0, workspaces=9, batch_share=0.0
    )
    interactive = routing_traces.draw_arrivals(shape, random.Random(seed))
    batch = draw_batch(seed)
    loads: dict[str, list[routing_traces.Arrival]] = {
        "interactive": interactive,
        "batch": batch,
        "both": sorted([*interactive, *batch], key=lambda row: row["at"]),
    }
    outcomes = {
        name: routing_simulation.Simulation(
            routing_traces.Events(shape.fleet, [], rows),
            routing_policies.make_scoring_policy,
            seed,
        ).run()
        for name, rows in loads.items()
    }
    # Interactive requests after the end of the batch don't compete with it,
    # so they are left out.
    ends_at = _find_batch_end_s(outcomes["both"])
    return MixedLoadFigures(
        _find_first_p95(outcomes["interactive"], ends_at),
        _find_first_p95(outcomes["both"], ends_at),
        _find_batch_rate(outcomes["batch"]),
        _find_batch_rate(outcomes["both"]),
    )


def draw_batch(seed: int) -> list[routing_traces.Arrival]:
    """Draw a batch of requests that one workspace sends at one time."""
    rng = random.Random(seed + 1)
    return [
        {
            "at": BATCH_AT_S,
            "workspace": "large",
            "priority": "batch",
            "document": f"b{number}",
            "document_tokens": rng.randint(500, 2_000),
            "question_tokens": 100,
            "answer_tokens": rng.randint(150, 400),
        }
        for number in range(BATCH_REQUESTS)
    ]


def measure_costs() -> dict[int, float]:
    """Return the microseconds of a routing decision by candidate count."""
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


def make_mixed_load_table(mixed_load: MixedLoadFigures) -> tables.Table:
    """Return the table of interactive requests and a batch."""
    first_ratio = mixed_load.mixed_p95_ms / mixed_load.alone_p95_ms
    rate_ratio = mixed_load.mixed_tokens_per_s / mixed_load.alone_tokens_per_s
    return {
        "title": f"a batch of {BATCH_REQUESTS} beside nine workspaces",
        "columns": ["figure", "alone", "both", "ratio", "bound"],
        "rows": [
            [
                "interactive p95 to first token, ms",
                f"{mixed_load.alone_p95_ms:.0f}",
                f"{mixed_load.mixed_p95_ms:.0f}",
                f"{first_ratio:.2f}",
                "at most 1.3",
            ],
            [
                "batch, answer tokens a second",
                f"{mixed_load.alone_tokens_per_s:.0f}",
                f"{mixed_load.mixed_tokens_per_s:.0f}",
                f"{rate_ratio:.2f}",
                "at least 0.9",
            ],
        ],
    }


def _find_first_p95(
    outcome: routing_simulation.Outcome, ends_at: float
) -> float:
    return find_percentiles([
        request.times[0] - request.arrival["at"]
        for request in outcome.requests
        if request.job.priority == "interactive"
        and BATCH_AT_S <= request.arrival["at"] < ends_at
    ])[95]


def _find_batch_end_s(outcome: routing_simulation.Outcome) -> float:
    return max(
        request.times[-1]
        for request in outcome.requests
        if request.job.priority == "batch" and not request.refused
    )


def _find_batch_rate(outcome: routing_simulation.Outcome) -> float:
    tokens = sum(
        len(request.times)
        for request in outcome.requests
        if request.job.priority == "batch"
    )
    return tokens / (_find_batch_end_s(outcome) - BATCH_AT_S)


def _make_row(name: str, figures: Figures) -> list[str]:
    return [
        name,
        *(f"{figures.first_ms[percent]:.0f}" for percent in PERCENTILES),
        *(f"{figures.gap_ms[percent]:.1f}" for percent in PERCENTILES),
        f"{figures.hit_share:.3f}",
        str(figures.lost_tokens),
        str(figures.retried),
        str(figures.refused),
        f"{figures.asked_after_drain_s:.2f}",
    ]


def _make_cost_table(costs: dict[int, float]) -> tables.Table:
    return {
        "title": "cost of a decision",
        "columns": ["candidates", "microseconds"],
        "rows": [[str(count), f"{cost:.0f}"] for count, cost in costs.items()],
    }


_COLUMNS = [
    "policy",
    *(f"first p{percent}, ms" for percent in PERCENTILES),
    *(f"between p{percent}, ms" for percent in PERCENTILES),
    "cache hits",
    "tokens lost",
    "retried",
    "refused",
    "last asked after drain, s",
]

__all__ = (
    "Figures",
    "MixedLoadFigures",
    "RoutingBench",
    "draw_batch",
    "find_percentiles",
    "make_mixed_load_table",
    "measure_costs",
    "measure_mixed_load",
    "measure_policy",
    "summarise",
)
