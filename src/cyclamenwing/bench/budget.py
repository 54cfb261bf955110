"""Overspend and false refusals of budgets beside simpler systems."""

from __future__ import annotations

import argparse
import json
import pathlib
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing.bench import budget_baselines
from cyclamenwing.bench import budget_grants
from cyclamenwing.bench import budget_replay
from cyclamenwing.bench import budget_traces
from cyclamenwing.bench import tables
from cyclamenwing.replay import protocol

TRACES = pathlib.Path("tests/traces/budget")
RECORDED_SEED = 7
SYSTEMS: dict[str, Callable[[], budget_replay.System]] = {
    "this design": budget_grants.Design,
    "even static split": budget_baselines.StaticSplit,
    "central swap a request": budget_baselines.CentralSwap,
    "local counters, synced": budget_baselines.LocalCounters,
    "all-knowing ledger": budget_baselines.AllKnowing,
}


class Figures(NamedTuple):
    """Hold what one system did on one trace."""

    trace: str
    system: str
    overspend: int
    refused: int
    falsely_refused: int
    in_reach: int
    false_requests: float
    false_tokens: float
    writes_a_second: float


class BudgetBench:
    """Measure budgets on the recorded traces."""

    NAME = "budget"
    HELP = "overspend and false refusals on recorded traces"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the measurement's arguments."""
        parser.add_argument("--traces", type=pathlib.Path, default=TRACES)
        parser.add_argument(
            "--record",
            action="store_true",
            help="write the traces anew before measuring",
        )

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Replay every trace on every system."""
        if args.record:
            record_traces(args.traces)
        figures = [
            made
            for path in sorted(args.traces.glob("*.json"))
            for made in measure_trace(read_trace(path))
        ]
        return {
            "tables": [_make_table(figures)],
            "figures": [made._asdict() for made in figures],
        }


def record_traces(folder: pathlib.Path) -> None:
    """Write the users' traces of all kinds."""
    folder.mkdir(parents=True, exist_ok=True)
    for user in budget_traces.USERS:
        for kind in budget_traces.KINDS:
            trace = budget_traces.make_trace(user, kind, RECORDED_SEED)
            path = folder / f"{user.name}-{kind}.json"
            path.write_text(_format_trace(trace))


def read_trace(path: pathlib.Path) -> protocol.Trace:
    """Read one trace."""
    return msgspec.json.decode(path.read_bytes(), type=protocol.Trace)


def measure_trace(trace: protocol.Trace) -> list[Figures]:
    """Replay a trace on every system."""
    outcomes = {
        name: budget_replay.replay_trace(trace, make())
        for name, make in SYSTEMS.items()
    }
    best = outcomes["all-knowing ledger"]
    return [
        _compare(trace["title"], name, outcome, best)
        for name, outcome in outcomes.items()
    ]


def _compare(
    title: str,
    name: str,
    outcome: budget_replay.Outcome,
    best: budget_replay.Outcome,
) -> Figures:
    false = best.admitted - outcome.admitted
    tokens = sum(best.sizes[number] for number in false)
    possible = sum(best.sizes[number] for number in best.admitted)
    return Figures(
        title,
        name,
        outcome.overspend,
        len(outcome.sizes) - len(outcome.admitted),
        len(false),
        len(false & outcome.in_reach),
        len(false) / max(1, len(best.admitted)),
        tokens / max(1, possible),
        outcome.writes / outcome.length_s,
    )


def _make_table(figures: list[Figures]) -> tables.Table:
    return {
        "title": "Budgets on recorded traces",
        "columns": [
            "trace",
            "system",
            "overspend, tokens",
            "falsely refused",
            "of them with budget in reach",
            "share of requests",
            "share of tokens",
            "writes/s",
        ],
        "rows": [
            [
                made.trace,
                made.system,
                str(made.overspend),
                str(made.falsely_refused),
                str(made.in_reach),
                f"{made.false_requests:.2%}",
                f"{made.false_tokens:.2%}",
                f"{made.writes_a_second:.2f}",
            ]
            for made in figures
        ],
    }


def _format_trace(trace: protocol.Trace) -> str:
    events = ",\n".join(json.dumps(event) for event in trace["events"])
    rest = {key: trace[key] for key in ("kind", "title", "seed", "outcomes")}
    return f'{json.dumps(rest)[:-1]}, "events": [\n{events}\n]}}\n'


__all__ = (
    "SYSTEMS",
    "BudgetBench",
    "Figures",
    "measure_trace",
    "read_trace",
    "record_traces",
)
