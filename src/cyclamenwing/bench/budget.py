"""Benchmark `budget`: the production controllers against baselines."""

from __future__ import annotations

import argparse
import json
import pathlib
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from cyclamenwing import decoding
from cyclamenwing.bench import budget_baselines
from cyclamenwing.bench import budget_grants
from cyclamenwing.bench import budget_replay
from cyclamenwing.bench import budget_traces
from cyclamenwing.bench import tables
from cyclamenwing.replay import protocol

TRACES = pathlib.Path("tests/traces/budget")
RECORDED_SEED = 7
SYSTEMS: dict[str, Callable[[], budget_replay.System]] = {
    "this design": budget_grants.GrantSystem,
    "even static split": budget_baselines.StaticSplit,
    "central swap a request": budget_baselines.CentralCompareAndSwap,
    "local counters, synced": budget_baselines.LocalCounters,
    "all-knowing ledger": budget_baselines.OracleLedger,
}


class Figures(NamedTuple):
    """Hold the figures of one system on one trace.

    `falsely_refused` counts requests that the oracle ledger admits and
    the system refuses. `in_reach` counts those of them for which enough
    units were reachable. `false_requests` and `false_tokens` are their
    shares of the requests and of the reserved tokens that the oracle
    ledger admits.
    """

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
    """Compare budget systems on the recorded traces."""

    NAME = "budget"
    HELP = "overspend and false refusals on recorded traces"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of this benchmark."""
        parser.add_argument("--traces", type=pathlib.Path, default=TRACES)
        parser.add_argument(
            "--record",
            action="store_true",
            help="regenerate the traces before measuring",
        )

    def run(self, args: argparse.Namespace) -> dict[str, Any]:
        """Replay every trace on every system; return the figures."""
        if args.record:
            record_traces(args.traces)
        figures = [
            row
            for path in sorted(args.traces.glob("*.json"))
            for row in measure_trace(read_trace(path))
        ]
        return {
            "tables": [_make_table(figures)],
            "figures": [row._asdict() for row in figures],
        }


def record_traces(folder: pathlib.Path) -> None:
    """Generate the traces of all users and kinds and write them to files."""
    folder.mkdir(parents=True, exist_ok=True)
    for user in budget_traces.USERS:
        for kind in budget_traces.KINDS:
            trace = budget_traces.make_trace(user, kind, RECORDED_SEED)
            path = folder / f"{user.name}-{kind}.json"
            path.write_text(_format_trace(trace))


def read_trace(path: pathlib.Path) -> protocol.Trace:
    """Return the trace of a file."""
    return decoding.decode(path.read_bytes(), protocol.Trace)


def measure_trace(trace: protocol.Trace) -> list[Figures]:
    """Replay a trace on every system; return one row for each system."""
    outcomes = {
        name: budget_replay.replay_trace(trace, make_system())
        for name, make_system in SYSTEMS.items()
    }
    oracle = outcomes["all-knowing ledger"]
    return [
        _compare(trace["title"], name, outcome, oracle)
        for name, outcome in outcomes.items()
    ]


def _compare(
    title: str,
    name: str,
    outcome: budget_replay.Outcome,
    oracle: budget_replay.Outcome,
) -> Figures:
    wrongly_refused = oracle.admitted - outcome.admitted
    refused_tokens = sum(oracle.sizes[number] for number in wrongly_refused)
    admissible_tokens = sum(oracle.sizes[number] for number in oracle.admitted)
    return Figures(
        title,
        name,
        outcome.overspend,
        len(outcome.sizes) - len(outcome.admitted),
        len(wrongly_refused),
        len(wrongly_refused & outcome.in_reach),
        len(wrongly_refused) / max(1, len(oracle.admitted)),
        refused_tokens / max(1, admissible_tokens),
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
                row.trace,
                row.system,
                str(row.overspend),
                str(row.falsely_refused),
                str(row.in_reach),
                f"{row.false_requests:.2%}",
                f"{row.false_tokens:.2%}",
                f"{row.writes_a_second:.2f}",
            ]
            for row in figures
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
