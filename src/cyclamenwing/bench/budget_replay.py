"""Replay of a budget trace on a system under a fake clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from typing import Any
from typing import NamedTuple
from typing import Protocol

from cyclamenwing.replay import protocol

TICK_S = 5.0


class Request(NamedTuple):
    """Describe a request of a trace; `number` is its place."""

    number: int
    zone: int
    reserve: int
    used: int


@dataclasses.dataclass(slots=True)
class Network:
    """Tell who reaches whom; a cut zone reaches nobody else."""

    zones: int = 1
    cut: set[int] = dataclasses.field(default_factory=set)
    dead: set[int] = dataclasses.field(default_factory=set)
    store_up: bool = True

    def reaches_store(self, zone: int) -> bool:
        """Tell whether a zone reaches the store."""
        return self.store_up and zone not in self.cut

    def reaches(self, zone: int, other: int) -> bool:
        """Tell whether a zone reaches another one's live entry."""
        if other in self.dead:
            return False
        return zone == other or not {zone, other} & self.cut

    def find_entry(self, zone: int) -> int:
        """Return the zone whose entry serves callers of a zone."""
        for step in range(self.zones):
            other = (zone + step) % self.zones
            if other not in self.dead:
                return other
        return zone


class System(Protocol):
    """Admit requests of a trace against a budget."""

    writes: int

    def begin(self, network: Network) -> None:
        """Start with entries in all zones."""

    def top_up(self, amount: int, now: float) -> None:
        """Take a payment."""

    def admit(self, zone: int, request: Request, now: float) -> bool:
        """Tell whether a request may run at a zone's entry."""

    def reaches_enough(self, zone: int, request: Request) -> bool:
        """Tell whether a refused request's units were within reach."""

    def finish(self, zone: int, request: Request, now: float) -> None:
        """Take note that a request ended."""

    def tick(self, now: float) -> None:
        """Do what is done at intervals."""

    def kill(self, zone: int, now: float) -> None:
        """Lose a zone's entry."""

    def start(self, zone: int, now: float) -> None:
        """Start a zone's entry anew."""


@dataclasses.dataclass(slots=True)
class Outcome:
    """Hold what a replay showed."""

    admitted: set[int] = dataclasses.field(default_factory=set)
    in_reach: set[int] = dataclasses.field(default_factory=set)
    sizes: dict[int, int] = dataclasses.field(default_factory=dict)
    overspend: int = 0
    writes: int = 0
    length_s: float = 0.0


def replay_trace(trace: protocol.Trace, system: System) -> Outcome:
    """Run a trace's events through a system."""
    run = _Run(system)
    for event in trace["events"]:
        run.advance(event["at"])
        run.take(event)
    run.advance(trace["events"][-1]["at"] + 120.0)
    run.outcome.writes = system.writes
    run.outcome.length_s = run.now
    return run.outcome


class _Run:
    """Keep the clock and what was paid and served."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.network = Network()
        self.outcome = Outcome()
        self.now = 0.0
        self._paid = 0
        self._served = 0
        self._next_tick = TICK_S
        self._numbers = itertools.count()
        self._ends: list[tuple[float, int, int, Request]] = []

    def advance(self, until: float) -> None:
        """Run ends of requests and ticks up to a time."""
        while True:
            end = self._ends[0][0] if self._ends else until
            at = min(end, self._next_tick)
            if at >= until:
                break
            self.now = at
            if at == self._next_tick:
                self._next_tick += TICK_S
                self.system.tick(at)
                continue
            _, _, zone, request = heapq.heappop(self._ends)
            self.system.finish(zone, request, at)
        self.now = until

    def take(self, event: dict[str, Any]) -> None:
        """Apply one event."""
        _TAKERS[event["event"]](self, event)

    def _take_zones(self, event: dict[str, Any]) -> None:
        self.network.zones = event["zones"]
        self.system.begin(self.network)

    def _take_top_up(self, event: dict[str, Any]) -> None:
        self._paid += event["amount"]
        self.system.top_up(event["amount"], self.now)

    def _take_request(self, event: dict[str, Any]) -> None:
        number = next(self._numbers)
        zone = self.network.find_entry(event["zone"])
        request = Request(number, zone, event["reserve"], event["used"])
        self.outcome.sizes[number] = request.reserve
        if not self.system.admit(zone, request, self.now):
            if self.system.reaches_enough(zone, request):
                self.outcome.in_reach.add(number)
            return
        self.outcome.admitted.add(number)
        # Units count as served from the start, since nothing stops a run.
        self._served += request.used
        self.outcome.overspend = max(
            self.outcome.overspend, self._served - self._paid
        )
        end = self.now + event["run_s"]
        heapq.heappush(self._ends, (end, number, zone, request))

    def _take_cut(self, event: dict[str, Any]) -> None:
        self.network.cut.add(event["zone"])

    def _take_heal(self, event: dict[str, Any]) -> None:
        self.network.cut.discard(event["zone"])

    def _take_store_down(self, event: dict[str, Any]) -> None:
        self.network.store_up = False

    def _take_store_up(self, event: dict[str, Any]) -> None:
        self.network.store_up = True

    def _take_kill(self, event: dict[str, Any]) -> None:
        self.network.dead.add(event["zone"])
        self.system.kill(event["zone"], self.now)

    def _take_start(self, event: dict[str, Any]) -> None:
        self.network.dead.discard(event["zone"])
        self.system.start(event["zone"], self.now)


_TAKERS = {
    "zones": _Run._take_zones,
    "top_up": _Run._take_top_up,
    "request": _Run._take_request,
    "cut": _Run._take_cut,
    "heal": _Run._take_heal,
    "store_down": _Run._take_store_down,
    "store_up": _Run._take_store_up,
    "kill": _Run._take_kill,
    "start": _Run._take_start,
}

__all__ = (
    "TICK_S",
    "Network",
    "Outcome",
    "Request",
    "System",
    "replay_trace",
)
