"""Subcommand `demo`: run a fleet in one process on loopback."""

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
            help="send sample requests, check the outcomes and exit",
        )
        parser.add_argument(
            "--example",
            metavar="NAME",
            help="run the fleet of examples/NAME, or of the folder NAME",
        )
        parser.add_argument(
            "--log-file",
            default="/dev/null",
            help="file for the log (default: none)",
        )

    def run(self, args: argparse.Namespace) -> int:
        """Run the demo; with --once return 1 if a check fails."""
        process.open_log(args.log_file)
        fleet_plan = plan.SMALL_PLAN
        run_checks = sample_requests.run_samples
        if args.example:
            fleet_plan = plan.Plan.from_folder(plan.find_example(args.example))
            run_checks = sample_requests.run_routes
        if not args.once:
            return asyncio.run(_serve(fleet_plan))
        faults = asyncio.run(_run_checks(fleet_plan, run_checks))
        print(f"{len(faults)} promises broken")
        return protocol.EXIT_FAILED if faults else protocol.EXIT_OK


async def _run_checks(
    fleet_plan: plan.Plan, run_checks: sample_requests.Scenario
) -> list[str]:
    running_fleet = await fleet.Fleet.start(plan=fleet_plan)
    try:
        return await run_checks(running_fleet)
    finally:
        await running_fleet.close()


async def _serve(fleet_plan: plan.Plan) -> int:
    running_fleet = await fleet.Fleet.start(plan=fleet_plan)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    try:
        print(describe_fleet(running_fleet), flush=True)
        await stopped.wait()
    finally:
        await running_fleet.close()
    return protocol.EXIT_OK


def describe_fleet(running_fleet: fleet.Fleet) -> str:
    """Return the fleet's addresses and commands to try."""
    key = next(iter(running_fleet.plan.keys.values()))
    calls = [
        _describe_call(
            running_fleet,
            sample_requests.make_sample(
                running_fleet.plan, item["route"], key
            ),
        )
        for item in running_fleet.plan.endpoints
    ]
    peers = " ".join(
        f"--entry {item.peer_address}" for item in running_fleet.entries
    )
    operators = [item.operators_address for item in running_fleet.entries]
    return "\n".join([
        "callers:   "
        f"{', '.join(item.address for item in running_fleet.entries)}",
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


def _describe_call(
    running_fleet: fleet.Fleet, sample: sample_requests.Sample
) -> str:
    line = (
        f"  curl -iN http://{running_fleet.entries[0].address}{sample.path}"
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
