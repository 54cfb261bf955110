"""Simulated clock and endpoint hosts of the routing benchmark."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple
from typing import cast

from cyclamenwing.routing import reports
from cyclamenwing.routing import types
from cyclamenwing.standin import batch

HEARTBEAT_S = 1.0
EVENT_LAG_S = 2.0
EVENT_GAP = 10  # Every 10th cache event is lost.
LOAD_LAG_S = 1.0
HOP_S = 0.0005  # One-way delay within an availability zone.
ZONE_HOP_S = 0.0015  # One-way delay between availability zones.


class Clock:
    """Call scheduled functions in the order of a simulated time.

    `now` is in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Schedule a call of a function."""
        heapq.heappush(self._calls, (at, next(self._numbers), call))

    def run(self, is_done: Callable[[], bool]) -> None:
        """Make scheduled calls until a condition holds or none is left."""
        while self._calls and not is_done():
            self.now, _, call = heapq.heappop(self._calls)
            call()


class SimHeartbeat(NamedTuple):
    """Hold the fields of a sidecar's heartbeat that routing uses."""

    candidate: types.Candidate
    leaving: bool
    report: types.EndpointReport


Listener = Callable[[batch.Emission | None], None]


class SimHost:
    """Run an engine model and report its state as a sidecar does.

    :param clock: the simulated clock
    :param name: name of the host
    :param zone: availability zone of the host
    :param cache_blocks: capacity of the engine's prefix cache in blocks
    """

    def __init__(
        self, clock: Clock, name: str, zone: str, cache_blocks: int
    ) -> None:
        self.name = name
        self.zone = zone
        self.alive = True
        self.leaving = False
        self.last_request_at = 0.0
        self.model = batch.BatchModel(
            batch.EngineOptions(
                cache_blocks=cache_blocks,
                event_lag_s=EVENT_LAG_S,
                event_loss_interval=EVENT_GAP,
                load_lag_s=LOAD_LAG_S,
            )
        )
        self._clock = clock
        self._listeners: dict[str, Listener] = {}
        self._stepping = False
        self._reports = reports.ReportBoard()
        self._controller = reports.ReportController()

    def start(self, work: batch.GenerationRequest, listener: Listener) -> bool:
        """Start a request; return False if the host is dead or draining."""
        if self.alive:
            self.last_request_at = self._clock.now
        if not self.alive or self.leaving:
            return False
        self._listeners[work.request] = listener
        self.model.submit(work, self._clock.now)
        if not self._stepping:
            self._begin_step()
        return True

    def kill(self) -> None:
        """Kill the host and fail all requests that run on it."""
        self.alive = False
        for request in self.model.crash(self._clock.now):
            self._listeners.pop(request)(None)

    def make_heartbeat(self) -> SimHeartbeat | None:
        """Return a heartbeat.

        None if the host is dead, or draining without running requests.
        """
        if not self.alive or (self.leaving and not self._listeners):
            return None
        now = self._clock.now
        events = self.model.cache.read_events(self._reports.last_seq, now)
        rows = [cast(reports.CacheEvent, event) for event in events]
        self._controller.apply_events(self._reports, rows)
        load = self.model.read_load(now)
        self._reports.load = {
            "running": load["running"],
            "waiting": load["waiting"],
            "max_running": load["max_running"],
        }
        candidate = types.Candidate(
            self.name,
            self.name,
            self.zone,
            self.name,
            load["running"] + load["waiting"],
            now,
        )
        return SimHeartbeat(
            candidate,
            self.leaving,
            self._controller.make_report(self._reports),
        )

    def _begin_step(self) -> None:
        length_s = self.model.begin_step(self._clock.now)
        self._stepping = length_s is not None
        if length_s is not None:
            self._clock.call_at(self._clock.now + length_s, self._finish_step)

    def _finish_step(self) -> None:
        if not self.alive:
            return
        for emission in self.model.finish_step(self._clock.now):
            listener = self._listeners[emission.request]
            if emission.last:
                del self._listeners[emission.request]
            listener(emission)
        self._begin_step()


__all__ = (
    "HEARTBEAT_S",
    "HOP_S",
    "ZONE_HOP_S",
    "Clock",
    "SimHeartbeat",
    "SimHost",
)
