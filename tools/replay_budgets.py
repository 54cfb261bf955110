"""Play the demand of a gateway log against the budgets of this checkout.

Gateways run without network in simulated time. Run it from the root of the
repository as a module: `python -m tools.replay_budgets FILE`.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import statistics
import sys
from collections import defaultdict
from typing import Any

from tests.gateway import virtual_fleet

from tools import refusals

# Requests that were refused in the log are given these lengths.
DEFAULT_RUN_S = 0.6
SPENT_SHARE = 0.97
# A request of the same size as one that was refused this long ago is its
# return: the replay sends returns itself.
MAX_RETURN_S = 5.0
# A refused request waits for tokens for 0.3 of its route's goal.
GOAL_FRACTION = 0.3
MIN_PATIENCE_S = 2.0
PATIENCE_GOALS = 4
# Time after which killed processes run again, and between two samples of what
# a loss of all hosts would cost.
RESTART_S = 1.0
EXPOSED_INTERVAL_S = 0.25
# Time after a cut in which all records are renewed.
RENEWAL_S = 1.5


def read_demand(lines: list[refusals.Line]) -> list[virtual_fleet.Demand]:
    """Return the requests of a log."""
    goals = estimate_goals(lines)
    demands: list[virtual_fleet.Demand] = []
    refused_s: dict[tuple[str, int], float] = {}
    for at_s, host, message in lines:
        if message["message_type"] != "request:done":
            continue
        if not message["tokens"] or not message["workspace"]:
            continue
        key = (message["workspace"], message["tokens"])
        started_s = at_s - message["ms"] / 1000
        refused = message["reserved_ms"] is None
        last_s = refused_s.pop(key, -MAX_RETURN_S)
        if refused:
            refused_s[key] = at_s
        if started_s - last_s < MAX_RETURN_S:
            continue
        run_s = DEFAULT_RUN_S
        spent = int(message["tokens"] * SPENT_SHARE)
        if not refused:
            run_s = (message["ms"] - message["reserved_ms"]) / 1000
            spent = message["spent"]
        goal_s = goals.get(message["route"], 1.0)
        demands.append(
            virtual_fleet.Demand(
                started_s,
                message["workspace"],
                message["tokens"],
                spent,
                run_s,
                goal_s,
                max(MIN_PATIENCE_S, goal_s * PATIENCE_GOALS),
                host,
                message["route"],
            )
        )
    return demands


def estimate_goals(lines: list[refusals.Line]) -> dict[str, float]:
    """Return the latency goal of each route, from waits of refused requests.

    Most of them waited for the same share of the goal.
    """
    waits: dict[str, list[float]] = defaultdict(list)
    for _, _, message in lines:
        if message.get("outcome") == "budget_unreachable":
            waits[message["route"]].append(message["ms"] / 1000)
    return {
        route: round(min(values) / GOAL_FRACTION, 1)
        for route, values in waits.items()
        if len(values) > 1 and statistics.median(values) > 0
    }


def list_top_ups(
    budgets: dict[str, refusals.Budget],
) -> list[tuple[float, str, int]]:
    """Return the times at which budgets changed, and their new tokens."""
    return sorted(
        (at_s, name, tokens)
        for name, budget in budgets.items()
        for at_s, tokens in budget.paid[1:]
    )


async def sample_exposed(
    fleet: virtual_fleet.Fleet, exposed: list[int]
) -> None:
    """Add what a loss of all hosts would cost now, until cancelled."""
    renewed_s = 0.0
    while True:
        await asyncio.sleep(EXPOSED_INTERVAL_S)
        now_s = asyncio.get_running_loop().time()
        if fleet.store_away:
            renewed_s = now_s + RENEWAL_S
        elif now_s >= renewed_s:
            exposed.append(fleet.count_exposed(RESTART_S))


def play(
    lines: list[refusals.Line], cuts: list[tuple[float, float]], seed: int
) -> tuple[virtual_fleet.Fleet, float]:
    """Play the demand of a log with cuts from the store.

    Return the fleet and the tokens that a loss of all hosts while the store is
    in reach would have left unused, on average.
    """
    exposed: list[int] = []
    demands = read_demand(lines)
    budgets = refusals.read_budgets(lines)
    hosts = sorted({line.host for line in lines})
    writers = {
        line.host
        for line in lines
        if line.message["message_type"] == "funds:committed" and line.at_s < 1
    }
    prepaid = {
        demand.workspace: budgets[demand.workspace].measure_paid(0.0)
        for demand in demands
    }

    changes = list_top_ups(budgets)

    async def top_up(fleet: virtual_fleet.Fleet) -> None:
        for version, (at_s, name, tokens) in enumerate(changes, 2):
            now_s = asyncio.get_running_loop().time() - fleet.traffic_s
            await asyncio.sleep(at_s - now_s)
            fleet.prepaid[name] = tokens
            await fleet.configure(version)

    async def check(fleet: virtual_fleet.Fleet) -> None:
        sampler = asyncio.create_task(sample_exposed(fleet, exposed))
        async with asyncio.TaskGroup() as group:
            group.create_task(top_up(fleet))
            for from_s, to_s in cuts:
                group.create_task(fleet.cut_store(from_s, to_s))
            group.create_task(fleet.play(demands))
        sampler.cancel()

    fleet = virtual_fleet.run(
        [
            (host, host.rpartition("-")[0], 2.0 if host in writers else 1.0)
            for host in hosts
        ],
        prepaid,
        check,
        seed,
    )
    return fleet, statistics.mean(exposed)


def main(arguments: list[str]) -> int:
    """Print the refusals of one or more plays; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("--cut", action="append", default=[], metavar="A-B")
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--short", action="store_true")
    options = parser.parse_args(arguments)
    lines = refusals.read_lines(options.log.read_text())
    cuts = []
    for cut in options.cut:
        from_s, _, to_s = cut.partition("-")
        cuts.append((float(from_s), float(to_s)))
    for seed in options.seed or [1]:
        fleet, exposed = play(lines, cuts, seed)
        played: list[Any] = [refusals.Line(*line) for line in fleet.lines]
        report = refusals.format_report(refusals.find_refusals(played))
        print(report.partition("true ends")[0] if options.short else report)
        print(f"store writes: {fleet.writes}, calls: {fleet.messages}")
        print(f"exposed to a loss of all hosts: {exposed:.0f} tokens")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

__all__ = (
    "estimate_goals",
    "main",
    "play",
    "read_demand",
)
