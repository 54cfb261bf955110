"""Run the binary outside the source tree and count its processes."""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import psutil

POLL_S = 0.02
TIMEOUT_S = 120.0


def make_environment(root: str) -> dict[str, str]:
    """Return an environment without the source tree and the user site."""
    return {
        "PATH": f"{pathlib.Path(sys.executable).parent}:{os.defpath}",
        "HOME": root,
        "SHIV_ROOT": root,
        "PYTHONNOUSERSITE": "1",
        "PYTHONSAFEPATH": "1",
    }


def run(binary: str, arguments: list[str], root: str) -> dict[str, object]:
    """Run the binary; return its exit code, time, memory and processes.

    :param root: folder for the home folder and the unpacked binary
    """
    started = time.monotonic()
    cwd = pathlib.Path(root) / "empty"
    cwd.mkdir(exist_ok=True)
    process = psutil.Popen(
        [binary, *arguments],
        cwd=cwd,
        env=make_environment(root),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    peak_processes = 0
    peak_memory = 0
    while process.poll() is None:
        try:
            peak_processes = max(
                peak_processes, 1 + len(process.children(recursive=True))
            )
            peak_memory = max(peak_memory, process.memory_info().rss)
        except psutil.NoSuchProcess:
            break
        if time.monotonic() - started > TIMEOUT_S:
            process.kill()
        time.sleep(POLL_S)
    output = process.communicate()[0].decode()
    return {
        "arguments": arguments,
        "exit_code": process.wait(),
        "seconds": round(time.monotonic() - started, 2),
        "peak_resident_bytes": peak_memory,
        "processes": peak_processes,
        "output": output,
    }


def main() -> None:
    """Run the smoke commands; exit 1 if one fails or starts processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary")
    args = parser.parse_args()
    binary = str(pathlib.Path(args.binary).resolve())
    failed = False
    with tempfile.TemporaryDirectory() as root:
        for arguments in (["--version"], ["--version"], ["demo", "--once"]):
            result = run(binary, arguments, root)
            bad_run = result["exit_code"] != 0 or result["processes"] != 1
            if bad_run:
                print(result["output"])
            failed = failed or bad_run
            del result["output"]
            print(json.dumps(result))
    print(json.dumps({"binary_bytes": pathlib.Path(binary).stat().st_size}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

__all__ = (
    "make_environment",
    "run",
)
