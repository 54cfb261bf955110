"""Replay of a budget trace on a system under a simulated clock."""

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
    """Describe one request of a trace; `number` counts from 0."""

    number: int
    zone: int
    reserve: int
    used: int


@dataclasses.dataclass(slots=True)
class Network:
    """Model reachability between zones and the store.

    A zone in `cut` is partitioned: its entry reaches neither the store
    nor other zones. The entry of a zone in `dead` was killed.
    """

    zones: int = 1
    cut: set[int] = dataclasses.field(default_factory=set)
    dead: set[int] = dataclasses.field(default_factory=set)
    store_up: bool = True

    def reaches_store(self, zone: int) -> bool:
        """Return whether a zone reaches the store."""
        return self.store_up and zone not in self.cut

    def reaches(self, zone: int, other: int) -> bool:
        """Return whether a zone reaches the entry of a zone."""
        if other in self.dead:
            return False
        return zone == other or not {zone, other} & self.cut

    def find_entry(self, zone: int) -> int:
        """Return the zone whose entry serves the callers of a zone.

        It is the first zone with a live entry, from the given one on.
        """
        for step in range(self.zones):
            other = (zone + step) % self.zones
            if other not in self.dead:
                return other
        return zone


class System(Protocol):
    """Admit requests of a trace against a budget."""

    writes: int

    def start_all(self, network: Network) -> None:
        """Start an entry in each zone."""

    def top_up(self, amount: int, now: float) -> None:
        """Add a payment to the budget."""

    def admit(self, zone: int, request: Request, now: float) -> bool:
        """Reserve units for a request at a zone's entry, or return False."""

    def can_reach_units(self, zone: int, request: Request) -> bool:
        """Return whether the zone can reach the units of a refused request."""

    def finish(self, zone: int, request: Request, now: float) -> None:
        """Settle an admitted request that completed."""

    def tick(self, now: float) -> None:
        """Run the periodic work of all entries; called every `TICK_S`."""

    def kill(self, zone: int, now: float) -> None:
        """Kill a zone's entry without a drain."""

    def start(self, zone: int, now: float) -> None:
        """Restart a zone's entry after it was killed."""


@dataclasses.dataclass(slots=True)
class Outcome:
    """Hold the decisions and counters of a replay.

    `in_reach` holds the numbers of refused requests whose units the
    zone could reach; `sizes` the reserved units by request.
    """

    admitted: set[int] = dataclasses.field(default_factory=set)
    in_reach: set[int] = dataclasses.field(default_factory=set)
    sizes: dict[int, int] = dataclasses.field(default_factory=dict)
    overspend: int = 0
    writes: int = 0
    length_s: float = 0.0


def replay_trace(trace: protocol.Trace, system: System) -> Outcome:
    """Apply all events of a trace to a system; return the outcome.

    The clock runs on for 120 s after the last event, so that admitted
    requests complete.
    """
    replay = _Replay(system)
    for event in trace["events"]:
        replay.advance(event["at"])
        replay.apply_event(event)
    replay.advance(trace["events"][-1]["at"] + 120.0)
    replay.outcome.writes = system.writes
    replay.outcome.length_s = replay.now
    return replay.outcome


class _Replay:
    """Hold the simulated clock, the paid units and the used ones."""

    def __init__(self, system: System) -> None:
        self.system = system
        self.network = Network()
        self.outcome = Outcome()
        self.now = 0.0
        self._paid = 0
        self._used = 0
        self._next_tick = TICK_S
        self._numbers = itertools.count()
        self._completions: list[tuple[float, int, int, Request]] = []

    def advance(self, until: float) -> None:
        """Run the completions and ticks that are due before a time."""
        while True:
            next_at = self._completions[0][0] if self._completions else until
            at = min(next_at, self._next_tick)
            if at >= until:
                break
            self.now = at
            if at == self._next_tick:
                self._next_tick += TICK_S
                self.system.tick(at)
                continue
            _, _, zone, request = heapq.heappop(self._completions)
            self.system.finish(zone, request, at)
        self.now = until

    def apply_event(self, event: dict[str, Any]) -> None:
        """Apply one event of the trace at the current time."""
        _EVENT_HANDLERS[event["event"]](self, event)

    def _apply_zones(self, event: dict[str, Any]) -> None:
        self.network.zones = event["zones"]
        self.system.start_all(self.network)

    def _apply_top_up(self, event: dict[str, Any]) -> None:
        self._paid += event["amount"]
        self.system.top_up(event["amount"], self.now)

    def _apply_request(self, event: dict[str, Any]) -> None:
        number = next(self._numbers)
        zone = self.network.find_entry(event["zone"])
        request = Request(number, zone, event["reserve"], event["used"])
        self.outcome.sizes[number] = request.reserve
        if not self.system.admit(zone, request, self.now):
            if self.system.can_reach_units(zone, request):
                self.outcome.in_reach.add(number)
            return
        self.outcome.admitted.add(number)
        # A running request can't be stopped, so its units count as used from
        # its admission on.
        self._used += request.used
        self.outcome.overspend = max(
            self.outcome.overspend, self._used - self._paid
        )
        completes_at = self.now + event["run_s"]
        heapq.heappush(
            self._completions, (completes_at, number, zone, request)
        )

    def _apply_cut(self, event: dict[str, Any]) -> None:
        self.network.cut.add(event["zone"])

    def _apply_heal(self, event: dict[str, Any]) -> None:
        self.network.cut.discard(event["zone"])

    def _apply_store_down(self, event: dict[str, Any]) -> None:
        self.network.store_up = False

    def _apply_store_up(self, event: dict[str, Any]) -> None:
        self.network.store_up = True

    def _apply_kill(self, event: dict[str, Any]) -> None:
        self.network.dead.add(event["zone"])
        self.system.kill(event["zone"], self.now)

    def _apply_start(self, event: dict[str, Any]) -> None:
        self.network.dead.discard(event["zone"])
        self.system.start(event["zone"], self.now)


_EVENT_HANDLERS = {
    "zones": _Replay._apply_zones,
    "top_up": _Replay._apply_top_up,
    "request": _Replay._apply_request,
    "cut": _Replay._apply_cut,
    "heal": _Replay._apply_heal,
    "store_down": _Replay._apply_store_down,
    "store_up": _Replay._apply_store_up,
    "kill": _Replay._apply_kill,
    "start": _Replay._apply_start,
}

__all__ = (
    "TICK_S",
    "Network",
    "Outcome",
    "Request",
    "System",
    "replay_trace",
)
