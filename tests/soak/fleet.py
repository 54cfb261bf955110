"""Gateways as processes, restarted whenever they end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
from typing import IO

import psutil
from tests.soak import caller
from tests.soak import connection as wire
from tests.soak import proxy
from tests.soak import trace

from cyclamenwing.standin import addresses

LAUNCHER = pathlib.Path(__file__).with_name("launcher.py")
SOURCES = pathlib.Path(__file__).parents[2] / "src"
GRACE_S = 6.0
ACCEPT_POLL_S = 0.02
MAX_RESTART_DELAY_S = 1.0
CLOCK_STEPS_S = (0.0,) * 6 + (-5.0, 5.0)
PROBE_TIMEOUT_S = 2.0
MB = 1024 * 1024


class Gateway:
    """Keep one gateway running and record the life of its processes.

    :param plant: faults to plant in its program, for tests of the checks
    """

    def __init__(
        self,
        number: int,
        store: proxy.Proxy,
        folder: pathlib.Path,
        rng: random.Random,
        plant: str,
    ) -> None:
        self.number = number
        self.store = store
        self.address = addresses.reserve_address()
        self.ready = addresses.reserve_address()
        self.control = addresses.reserve_address()
        self.life: trace.Process | None = None
        self.accepting = False
        self.recovered = False
        self.frozen: trace.Window | None = None
        self._folder = folder
        self._rng = rng
        self._plant = plant
        self._process: asyncio.subprocess.Process | None = None
        self._descriptor: int | None = None

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file."""
        settings = {
            "host": f"g{self.number}",
            "availability_zone": "z1",
            "listen": self.address,
            "ready": self.ready,
            "control": self.control,
            "store": self.store.address,
            "seeds": seeds,
            "bounds": {"grace_s": GRACE_S},
        }
        self._path(".json").write_text(json.dumps(settings))

    async def run(self, recorder: trace.Trace) -> None:
        """Start a process whenever the one before has ended."""
        while True:
            number = sum(p.gateway == self.number for p in recorder.processes)
            step_s = self._rng.choice(CLOCK_STEPS_S) if number else 0.0
            if step_s:
                recorder.close_window(
                    recorder.open_window("clock-step", f"g{self.number}")
                )
            with (
                self._path(".log").open("ab") as out,
                self._path(".err").open("ab") as err,
            ):
                self._process = await self._start(step_s, out, err)
                self._descriptor = os.pidfd_open(self._process.pid)
                self.life = trace.Process(
                    self.number, number, recorder.read_time()
                )
                recorder.processes.append(self.life)
                waiting = asyncio.ensure_future(self._wait_for_listener())
                try:
                    code = await self._process.wait()
                finally:
                    waiting.cancel()
                    self.accepting = False
            self.life.ended_s = recorder.read_time()
            self.life.exit_code = code
            self.thaw(recorder)
            self._close_descriptor()
            await asyncio.sleep(self._rng.uniform(0.05, MAX_RESTART_DELAY_S))

    def send_signal(self, number: signal.Signals) -> bool:
        """Signal the process if it runs; return whether it does."""
        if self._descriptor is None:
            return False
        with contextlib.suppress(ProcessLookupError):
            # `Process.send_signal` would collect the exit code itself.
            signal.pidfd_send_signal(self._descriptor, number)
            return True
        return False

    def terminate(self, recorder: trace.Trace) -> bool:
        """Send SIGTERM to a process that accepts connections."""
        if self.life is None or not self.accepting:
            return False
        self.life.terminated_s = self.life.terminated_s or recorder.read_time()
        return self.send_signal(signal.SIGTERM)

    def kill(self, recorder: trace.Trace) -> None:
        """Send SIGKILL."""
        if self.life is not None and not self.life.ended_s:
            self.life.killed_s = recorder.read_time()
        self.send_signal(signal.SIGKILL)

    def freeze(self, recorder: trace.Trace) -> None:
        """Send SIGSTOP."""
        if self.frozen is None and self.send_signal(signal.SIGSTOP):
            self.frozen = recorder.open_window("freeze", f"g{self.number}")

    def thaw(self, recorder: trace.Trace) -> None:
        """Send SIGCONT."""
        self.send_signal(signal.SIGCONT)
        if self.frozen is not None:
            recorder.close_window(self.frozen)
            self.frozen = None

    def measure(self) -> None:
        """Record descriptors and memory of the process."""
        process, life = self._process, self.life
        if process is None or life is None or process.returncode is not None:
            return
        with contextlib.suppress(psutil.Error):
            info = psutil.Process(process.pid)
            life.max_fds = max(life.max_fds, info.num_fds())
            life.max_memory_mb = max(
                life.max_memory_mb, info.memory_info().rss / MB
            )

    async def is_ready(self) -> bool:
        """Return whether the readiness check passes."""
        with contextlib.suppress(OSError, TimeoutError, wire.LostError):
            connection = await wire.Connection.open(self.ready)
            answer = wire.Answer()
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await connection.exchange(
                        wire.Message("GET", "/v1/ready", [("Host", "x")], b""),
                        answer,
                    )
            finally:
                connection.close()
            return answer.status == 200
        return False

    async def end(self) -> None:
        """Kill the process, also if it is stopped, and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        self._close_descriptor()

    def _close_descriptor(self) -> None:
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    async def _start(
        self, step_s: float, out: IO[bytes], err: IO[bytes]
    ) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            # The launcher's folder must not hide standard modules.
            "-P",
            str(LAUNCHER),
            str(self._path(".json")),
            str(step_s),
            self._plant,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=out,
            stderr=err,
            env=os.environ | {"PYTHONPATH": str(SOURCES)},
            # An interrupt of the soak must not reach the processes first.
            start_new_session=True,
        )

    async def _wait_for_listener(self) -> None:
        while True:
            try:
                connection = await wire.Connection.open(self.address)
            except (OSError, TimeoutError):
                await asyncio.sleep(ACCEPT_POLL_S)
                continue
            connection.close()
            self.accepting = True
            return

    def _path(self, suffix: str) -> pathlib.Path:
        return self._folder / f"g{self.number}{suffix}"


class Gateways:
    """Hold all gateways of a run.

    :ivar version: newest version of the configuration
    """

    def __init__(self, items: list[Gateway]) -> None:
        self.items = items
        self.version = 0

    def list_targets(self) -> list[caller.Target]:
        """Return the processes that are not known to be gone."""
        return [
            caller.Target(g.number, g.life.number, g.address)
            for g in self.items
            if g.accepting and g.life is not None
        ]


__all__ = ("GRACE_S", "Gateway", "Gateways")
