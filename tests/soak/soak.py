"""Run of one seed: processes, faults, callers and checks."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import shutil
import signal
from collections.abc import Coroutine
from typing import Any
from typing import NamedTuple

from tests.soak import caller
from tests.soak import checks
from tests.soak import configuration
from tests.soak import endpoint
from tests.soak import faults
from tests.soak import fleet
from tests.soak import proxy
from tests.soak import trace

from cyclamenwing.standin import metadata_store

ENDPOINTS = {"a0": "api", "a1": "api", "a2": "api", "m0": "llm", "m1": "llm"}
# Endpoints of a run with two software versions, with their versions.
VERSIONED_ENDPOINTS = {"m0": "v1", "m1": "v2", "m2": "v1", "m3": "v2"}
START_TIMEOUT_S = 30.0
# All gateways serve the newest configuration this long after the last fault.
RECOVERY_BOUND_S = 10.0
CHECK_INTERVAL_S = 1.0
LAG_POLL_S = 0.05
# Time for what was refused or cut to run late after all.
SETTLE_S = 0.5


class Settings(NamedTuple):
    """Hold the settings of a run.

    :param seconds: length of the schedule of faults
    :param folder: folder for settings and logs of the processes
    :param plants: planted faults by gateway, for tests of the checks
    :param schedule: faults in place of those that the seed draws
    :param limits: endpoints that name a limit for most of the run, at most
    :param versions: half of the endpoints that stream have another version
    """

    seed: int
    seconds: float
    gateways: int
    folder: pathlib.Path
    plants: tuple[str, ...] = ()
    schedule: tuple[faults.Event, ...] = ()
    callers: int = 16
    limits: int = 0
    versions: bool = False


class Result(NamedTuple):
    """Hold what a run found.

    :param judged: cases that each check judged
    """

    seed: int
    seen: trace.Trace
    judged: dict[str, int]

    @property
    def findings(self) -> list[trace.Finding]:
        """Return the broken promises."""
        return self.seen.findings


class Soak:
    """Hold the parts of one run."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self._trace = trace.Trace()
        self._store = metadata_store.MetadataStoreStandin()
        self._proxies: list[proxy.Proxy] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._gateways = fleet.Gateways([])
        self._endpoints = [
            endpoint.Endpoint(name, service, self._trace)
            for name, service in ENDPOINTS.items()
            if not (settings.versions and name in VERSIONED_ENDPOINTS)
        ]
        if settings.versions:
            self._endpoints += [
                endpoint.Endpoint(name, "llm", self._trace, software)
                for name, software in VERSIONED_ENDPOINTS.items()
            ]

    async def run(self) -> Result:
        """Run the schedule; end all processes in any case."""
        schedule = list(self._settings.schedule) or faults.draw_schedule(
            self._rng, self._settings.seconds
        )
        draws = random.Random(self._settings.seed)
        schedule[:0] = [
            faults.Event(
                0.0, "limit", self._settings.seconds, draws.getrandbits(32)
            )
            for _ in range(self._settings.limits)
        ]
        try:
            await self._start()
            await self._run_schedule(schedule)
            await self._check_recovery()
            await asyncio.sleep(SETTLE_S)
            await self._stop_tasks()
            self._trace.end_lags()
            judged = checks.check(self._trace)
        finally:
            await self._end()
        judged["recovery"] = len(self._gateways.items)
        return Result(self._settings.seed, self._trace, judged)

    async def _start(self) -> None:
        store_address = self._store.listen()
        proxies = {}
        for item in self._endpoints:
            proxies[item.name] = await self._add_proxy(item.address)
        self._site = faults.Site(
            self._trace,
            self._store,
            self._endpoints,
            proxies,
            self._gateways,
        )
        await self._site.publish()
        for item in self._endpoints:
            await self._site.register(item, "ready")
        plants = self._settings.plants
        for number in range(self._settings.gateways):
            gateway = fleet.Gateway(
                number,
                await self._add_proxy(store_address),
                self._settings.folder,
                random.Random(self._rng.random()),
                plants[number] if number < len(plants) else "",
            )
            self._gateways.items.append(gateway)
        for gateway in self._gateways.items:
            gateway.write_settings([
                g.control for g in self._gateways.items if g is not gateway
            ])
            self._add_task(gateway.run(self._trace))
        await self._wait_until_ready(START_TIMEOUT_S)
        self._add_task(self._watch())
        self._add_task(self._measure_lag())
        for number in range(self._settings.callers):
            self._add_task(self._make_caller(f"c{number}").run())

    async def _run_schedule(self, schedule: list[faults.Event]) -> None:
        started_s = self._trace.read_time()
        running = []
        for event in schedule:
            wait_s = started_s + event.time_s - self._trace.read_time()
            await asyncio.sleep(max(wait_s, 0.0))
            run = (faults.FAULTS | faults.OTHER_FAULTS)[event.kind]
            rng = random.Random(event.draw)
            task = asyncio.ensure_future(
                run(self._site, rng, event.duration_s)
            )
            self._tasks.append(task)
            running.append(task)
        await asyncio.gather(*running)

    async def _check_recovery(self) -> None:
        """Let each gateway serve the newest configuration, in its bound."""
        begin_s = self._trace.read_time()
        # Processes that were told to end may take their grace first.
        bound_s = fleet.GRACE_S + RECOVERY_BOUND_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(bound_s):
                await asyncio.gather(
                    *(self._probe(g) for g in self._gateways.items)
                )
                return
        for gateway in self._gateways.items:
            if not gateway.recovered:
                self._trace.findings.append(
                    trace.Finding(
                        "recovery",
                        round(begin_s, 3),
                        gateway.number,
                        "",
                        f"does not serve {bound_s:.0f} s after the faults",
                    )
                )

    async def _probe(self, gateway: fleet.Gateway) -> None:
        probe = self._make_caller(f"probe{gateway.number}")
        tries = 0
        gateway.recovered = False
        while not gateway.recovered:
            life = gateway.life
            if gateway.accepting and life and not life.terminated_s:
                target = caller.Target(
                    gateway.number, life.number, gateway.address
                )
                request = await probe.send(
                    target, configuration.VERSIONED, tries, newest=True
                )
                tries += 1
                gateway.recovered = (
                    request is not None and request.status == 200
                )
            await asyncio.sleep(0.1)

    async def _wait_until_ready(self, timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            for gateway in self._gateways.items:
                while not (gateway.accepting and await gateway.is_ready()):
                    await asyncio.sleep(0.05)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for gateway in self._gateways.items:
                gateway.measure()
            checks.check(self._trace)

    async def _measure_lag(self) -> None:
        """Record how late this process itself runs."""
        self._trace.begin_lags()
        while True:
            before_s = self._trace.read_time()
            await asyncio.sleep(LAG_POLL_S)
            self._trace.record_lag(before_s, LAG_POLL_S)

    def _make_caller(self, name: str) -> caller.Caller:
        rng = random.Random(self._rng.random())
        return caller.Caller(name, rng, self._gateways, self._trace)

    async def _add_proxy(self, target: str) -> proxy.Proxy:
        item = proxy.Proxy(target)
        await item.start()
        self._proxies.append(item)
        return item

    def _add_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _end(self) -> None:
        try:
            await self._stop_tasks()
        finally:
            for gateway in self._gateways.items:
                await gateway.end()
            for item in self._proxies:
                item.close()
            for each in self._endpoints:
                each.crash()
            self._store.stop()


def run(settings: Settings) -> Result:
    """Run one seed."""
    # Logs of an earlier run with the seed are replaced.
    shutil.rmtree(settings.folder, ignore_errors=True)
    settings.folder.mkdir(parents=True)
    return asyncio.run(_run(settings))


async def _run(settings: Settings) -> Result:
    # SIGTERM ends the processes first, as SIGINT does by itself.
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    # The endpoints listen in the running event loop.
    return await Soak(settings).run()


__all__ = ("Result", "Settings", "run")
