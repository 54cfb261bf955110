"""Endpoint hosts of a measurement of routing, under a fake clock."""

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
EVENT_GAP = 10
LOAD_LAG_S = 1.0
HOP_S = 0.0005
ZONE_HOP_S = 0.0015


class Clock:
    """Call functions in the order of a fake time in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def call_at(self, at: float, call: Callable[[], None]) -> None:
        """Call a function at a time."""
        heapq.heappush(self._calls, (at, next(self._numbers), call))

    def run(self, until: Callable[[], bool]) -> None:
        """Call what is due until a condition holds."""
        while self._calls and not until():
            self.now, _, call = heapq.heappop(self._calls)
            call()


class Beat(NamedTuple):
    """Hold a sidecar's heartbeat as routing sees it."""

    candidate: types.Candidate
    leaving: bool
    news: types.EndpointReport


Listener = Callable[[batch.Emission | None], None]


class SimHost:
    """Run an engine model and report it as a sidecar does.

    :param clock: the fake clock
    :param name: name of the host
    :param zone: availability zone of the host
    :param cache_blocks: blocks that the engine's cache holds
    """

    def __init__(
        self, clock: Clock, name: str, zone: str, cache_blocks: int
    ) -> None:
        self.name = name
        self.zone = zone
        self.alive = True
        self.leaving = False
        self.last_asked = 0.0
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
        """Take a request; False when the host takes none."""
        if self.alive:
            self.last_asked = self._clock.now
        if not self.alive or self.leaving:
            return False
        self._listeners[work.request] = listener
        self.model.submit(work, self._clock.now)
        if not self._stepping:
            self._begin()
        return True

    def kill(self) -> None:
        """Lose the host with all that runs on it."""
        self.alive = False
        for request in self.model.crash(self._clock.now):
            self._listeners.pop(request)(None)

    def beat(self) -> Beat | None:
        """Return a heartbeat; None when the host is gone."""
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
        return Beat(
            candidate,
            self.leaving,
            self._controller.make_report(self._reports),
        )

    def _begin(self) -> None:
        length_s = self.model.begin_step(self._clock.now)
        self._stepping = length_s is not None
        if length_s is not None:
            self._clock.call_at(self._clock.now + length_s, self._finish)

    def _finish(self) -> None:
        if not self.alive:
            return
        for emission in self.model.finish_step(self._clock.now):
            listener = self._listeners[emission.request]
            if emission.last:
                del self._listeners[emission.request]
            listener(emission)
        self._begin()


__all__ = (
    "HEARTBEAT_S",
    "HOP_S",
    "ZONE_HOP_S",
    "Beat",
    "Clock",
    "SimHost",
)
