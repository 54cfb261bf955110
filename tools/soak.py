"""Run the fault soak with a series of seeds.

Run it from the root of the repository as a module: `python -m tools.soak`.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import pathlib
import shutil
import sys
import tempfile

from tests.soak import soak

# Seeds that have failed, with the cause. Seeds below 200 were drawn with other
# faults and a grace of 5 s; each cause that was mended has a test of its own.
REGRESSIONS = {
    4: "a second SIGTERM at the very end gave exit code -15",
    101: "an answer 0.58 s late; not traced, see KNOWN-RED.txt",
    107: "connections closed after SIGTERM without an announcement",
    108: "the soak itself was stalled for 1.9 s and gave up too early",
    608: "took 6.051 s to end, with --limits 2; mended",
}


def _print_result(result: soak.Result) -> None:
    seen = result.seen
    print(
        json.dumps({
            "seed": result.seed,
            "verdict": "failed" if result.findings else "passed",
            "seconds": round(seen.read_time(), 1),
            "processes": len(seen.processes),
            "requests": len(seen.requests),
            "lag_s": round(seen.max_lag_s, 3),
            "faults": seen.count_faults(),
            "answers": seen.count_statuses(),
            "judged": result.judged,
        })
    )
    for finding in result.findings:
        print(
            f"seed {result.seed}: {finding.check} at {finding.time_s} s,"
            f" g{finding.gateway} {finding.request_id}: {finding.detail}",
            flush=True,
        )


def _run_seeds(seeds: list[int], args: argparse.Namespace) -> int:
    keep = args.keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    failed = []
    totals: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for seed in seeds:
        folder = keep / f"seed-{seed}"
        result = soak.run(
            soak.Settings(
                seed,
                args.seconds,
                args.gateways,
                folder,
                limits=args.limits,
                versions=args.versions,
            )
        )
        _print_result(result)
        totals["faults"].update(result.seen.count_faults())
        totals["answers"].update(result.seen.count_statuses())
        totals["judged"].update(result.judged)
        if result.findings:
            failed.append(seed)
            result.seen.save(folder / "trace.jsonl")
        else:
            shutil.rmtree(folder)
    print(json.dumps({"failed": failed, "logs": str(keep)} | totals))
    return 1 if failed else 0


def main() -> int:
    """Run the seeds; return 1 if any has findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="their number")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument(
        "--limits",
        type=int,
        default=0,
        help="endpoints that name a limit, at most",
    )
    parser.add_argument(
        "--versions",
        action="store_true",
        help="let endpoints have two software versions",
    )
    parser.add_argument(
        "--regressions", action="store_true", help="run seeds that have failed"
    )
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder for logs of failed seeds"
    )
    args = parser.parse_args()
    seeds = list(range(args.seed, args.seed + args.seeds))
    try:
        return _run_seeds([*REGRESSIONS] if args.regressions else seeds, args)
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("interrupted; all processes were ended", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
