"""Child processes of a small fleet, started for a benchmark."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import time
from typing import Any
from typing import NamedTuple
from typing import Self

from cyclamenwing.bench import errors

PROCESS_TIMEOUT_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
LOOPBACK = "127.0.0.1"


class Usage(NamedTuple):
    """Hold the processor time and the resident memory of a process."""

    cpu_s: float
    resident_bytes: int


class Processes:
    """Run subcommands as child processes; stop them when the context exits.

    :param folder: folder for settings files
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._running: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_info: object) -> None:
        for process in self._running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGTERM)
        for process in self._running.values():
            try:
                await asyncio.wait_for(process.wait(), PROCESS_TIMEOUT_S)
            except TimeoutError:
                process.kill()

    async def start(self, name: str, *arguments: str) -> None:
        """Start a subcommand and wait until it listens.

        :param name: name of the process in later calls
        :raises BenchError: when it ends or prints another first line
        :raises TimeoutError: after `PROCESS_TIMEOUT_S`
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cyclamenwing",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._running[name] = process
        assert process.stdout is not None
        line = await asyncio.wait_for(
            process.stdout.readline(), PROCESS_TIMEOUT_S
        )
        if not line.startswith(b"listening"):
            raise errors.BenchError(f"{name} did not start: {line!r}")

    async def start_role(
        self, role: str, name: str, settings: dict[str, Any]
    ) -> None:
        """Write a settings file and start an entry or sidecar with it."""
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings | {"log_file": os.devnull}))
        await self.start(name, role, str(path))

    def read_usage(self, name: str) -> Usage:
        """Return the processor time and resident memory of a process."""
        folder = pathlib.Path(f"/proc/{self._running[name].pid}")
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        pages = (folder / "statm").read_text().split()[1]
        ticks = int(fields[11]) + int(fields[12])
        return Usage(ticks / TICKS_PER_S, int(pages) * PAGE_BYTES)


def pick_address() -> str:
    """Return a free address on loopback."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"


async def wait_until_ready(is_ready: Any) -> None:
    """Call a coroutine function until it returns true.

    :raises BenchError: after `PROCESS_TIMEOUT_S`
    """
    deadline = time.monotonic() + PROCESS_TIMEOUT_S
    while not await is_ready():
        if time.monotonic() > deadline:
            raise errors.BenchError("the fleet did not become ready in time")
        await asyncio.sleep(0.05)


__all__ = (
    "Processes",
    "Usage",
    "pick_address",
    "wait_until_ready",
)
