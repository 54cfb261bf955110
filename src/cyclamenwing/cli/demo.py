"""Subcommand `demo`: a whole fleet in one process on loopback."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal

from cyclamenwing.cli import process
from cyclamenwing.cli import protocol
from cyclamenwing.demo import fleet
from cyclamenwing.demo import plan
from cyclamenwing.demo import sample_requests


class DemoCommand:
    """Run stand-ins, entries and sidecars in one process."""

    NAME = "demo"
    HELP = "run a small fleet with stand-ins on loopback"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the subcommand's arguments."""
        parser.add_argument(
            "--once",
            action="store_true",
            help="send sample requests, check the promises and exit",
        )
        parser.add_argument(
            "--example",
            metavar="NAME",
            help="run examples/NAME, or the folder NAME, instead",
        )
        parser.add_argument(
            "--log-file",
            default="/dev/null",
            help="file for the log (default: none)",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Run the demo; with --once exit 1 if a promise was broken."""
        process.open_log(args.log_file)
        chosen = plan.SMALL_PLAN
        visit = sample_requests.run_samples
        if args.example:
            chosen = plan.Plan.from_folder(plan.find_example(args.example))
            visit = sample_requests.run_routes
        if not args.once:
            return asyncio.run(_serve(chosen))
        faults = asyncio.run(_visit(chosen, visit))
        print(f"{len(faults)} promises broken")
        return protocol.EXIT_FAILED if faults else protocol.EXIT_OK


async def _visit(
    chosen: plan.Plan, visit: sample_requests.Scenario
) -> list[str]:
    made = await fleet.Fleet.start(plan=chosen)
    try:
        return await visit(made)
    finally:
        await made.close()


async def _serve(chosen: plan.Plan) -> int:
    made = await fleet.Fleet.start(plan=chosen)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        print(describe_fleet(made), flush=True)
        await stopped.wait()
    finally:
        await made.close()
    return protocol.EXIT_OK


def describe_fleet(made: fleet.Fleet) -> str:
    """Return what to try and what to look at next."""
    key = next(iter(made.plan.keys.values()))
    calls = [
        _describe_call(
            made, sample_requests.make_sample(made.plan, item["route"], key)
        )
        for item in made.plan.endpoints
    ]
    peers = " ".join(f"--entry {item.peer_address}" for item in made.entries)
    operators = [item.operators_address for item in made.entries]
    return "\n".join([
        f"callers:   {', '.join(item.address for item in made.entries)}",
        f"operators: {', '.join(str(item) for item in operators)}",
        "",
        "try:",
        *calls,
        "",
        "then look at:",
        f"  curl http://{operators[0]}/metrics",
        f"  CYCLAMENWING_FLEET_KEY={fleet.FLEET_KEY} cyclamenwing explain"
        f" {peers} <X-Request-Id of an answer>",
        "",
        "Ctrl-C stops it.",
    ])


def _describe_call(made: fleet.Fleet, sample: sample_requests.Sample) -> str:
    line = (
        f"  curl -iN http://{made.entries[0].address}{sample.path}"
        f" -H 'Authorization: Bearer {sample.key}'"
    )
    if not sample.body:
        return line
    body = json.dumps(sample.body | {"stream": True, "max_tokens": 20})
    return f"{line} -d '{body}'"


__all__ = (
    "DemoCommand",
    "describe_fleet",
)
