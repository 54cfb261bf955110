"""Start the binary away from the source tree and count its processes."""

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
    """Return an environment that knows neither checkout nor user site."""
    return {
        "PATH": f"{pathlib.Path(sys.executable).parent}:{os.defpath}",
        "HOME": root,
        "SHIV_ROOT": root,
        "PYTHONNOUSERSITE": "1",
        "PYTHONSAFEPATH": "1",
    }


def run(binary: str, arguments: list[str], root: str) -> dict[str, object]:
    """Run the binary; return its exit code, time, memory and processes."""
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
    most = 0
    memory = 0
    while process.poll() is None:
        try:
            most = max(most, 1 + len(process.children(recursive=True)))
            memory = max(memory, process.memory_info().rss)
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
        "peak_resident_bytes": memory,
        "processes": most,
        "output": output,
    }


def main() -> None:
    """Run the smoke commands; exit 1 if one fails or starts a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary")
    args = parser.parse_args()
    binary = str(pathlib.Path(args.binary).resolve())
    failed = False
    with tempfile.TemporaryDirectory() as root:
        for arguments in (["--version"], ["--version"], ["demo", "--once"]):
            found = run(binary, arguments, root)
            wrong = found["exit_code"] != 0 or found["processes"] != 1
            if wrong:
                print(found["output"])
            failed = failed or wrong
            del found["output"]
            print(json.dumps(found))
    print(json.dumps({"binary_bytes": pathlib.Path(binary).stat().st_size}))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

__all__ = (
    "make_environment",
    "run",
)
