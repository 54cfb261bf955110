"""One run of a trace over a fleet under a fake clock."""

from __future__ import annotations

import random
from typing import NamedTuple

from cyclamenwing.bench import routingentries
from cyclamenwing.bench import routinghosts
from cyclamenwing.bench import routingpolicies
from cyclamenwing.bench import routingtraces


class Outcome(NamedTuple):
    """Hold what a run showed; times are in seconds."""

    courses: list[routingentries.Course]
    hit_blocks: int
    requested_blocks: int
    late_asks: list[float]


class Run:
    """Play a trace's arrivals and faults with one policy.

    :param events: the trace's events
    :param make_policy: makes each entry's policy
    :param seed: seed of all random draws
    """

    def __init__(
        self,
        events: routingtraces.Events,
        make_policy: routingpolicies.Maker,
        seed: int,
    ) -> None:
        self._clock = routinghosts.Clock()
        self._draw = random.Random(seed)
        self._hosts = self._make_hosts(events.fleet)
        self._entries = self._make_entries(events.fleet, make_policy)
        self._drained: dict[str, float] = {}
        self._courses = [
            routingentries.make_course(number, arrival)
            for number, arrival in enumerate(events.arrivals)
        ]
        self._left = len(self._courses)
        for fault in events.faults:
            self._schedule_fault(fault)
        for course in self._courses:
            self._schedule_arrival(course)

    def play(self) -> Outcome:
        """Play the trace to the end of its last request."""
        for number, host in enumerate(self._hosts.values()):
            # Heartbeats of different hosts are spread over the interval.
            offset_s = routinghosts.HEARTBEAT_S * number / len(self._hosts)
            self._send_beat(host)
            self._schedule_beat(host, offset_s)
        for entry in self._entries:
            routingentries.schedule_ticks(self._clock, entry, self._is_done)
        self._clock.run(self._is_done)
        models = [host.model for host in self._hosts.values()]
        return Outcome(
            self._courses,
            sum(model.hit_blocks for model in models),
            sum(model.requested_blocks for model in models),
            [
                max(0.0, self._hosts[name].last_asked - at)
                for name, at in self._drained.items()
            ],
        )

    def _is_done(self) -> bool:
        # Done courses at the end are skipped, so that this stays cheap.
        while self._left and self._courses[self._left - 1].done:
            self._left -= 1
        return not self._left

    def _make_hosts(
        self, fleet: routingtraces.Fleet
    ) -> dict[str, routinghosts.SimHost]:
        return {
            f"h{number}": routinghosts.SimHost(
                self._clock,
                f"h{number}",
                f"z{number % fleet['zones']}",
                fleet["cache_blocks"],
            )
            for number in range(fleet["replicas"])
        }

    def _make_entries(
        self,
        fleet: routingtraces.Fleet,
        make_policy: routingpolicies.Maker,
    ) -> list[routingentries.SimEntry]:
        zones = [
            f"z{number % fleet['zones']}" for number in range(fleet["entries"])
        ]
        return [
            routingentries.SimEntry(
                self._clock,
                zone,
                make_policy(zone, random.Random(self._draw.random())),
                self._hosts,
                fleet["entries"],
                random.Random(self._draw.random()),
            )
            for zone in zones
        ]

    def _schedule_arrival(self, course: routingentries.Course) -> None:
        entry = self._draw.choice(self._entries)
        self._clock.call_at(course.arrival["at"], lambda: entry.submit(course))

    def _schedule_fault(self, fault: routingtraces.HostFault) -> None:
        host = self._hosts[f"h{fault['replica']}"]
        self._clock.call_at(
            fault["at"], lambda: _FAULTS[fault["kind"]](self, host, fault)
        )

    def _beat(self, host: routinghosts.SimHost) -> None:
        self._send_beat(host)
        self._schedule_beat(host, self._clock.now + routinghosts.HEARTBEAT_S)

    def _schedule_beat(self, host: routinghosts.SimHost, at: float) -> None:
        self._clock.call_at(at, lambda: self._beat(host))

    def _send_beat(self, host: routinghosts.SimHost) -> None:
        beat = host.beat()
        if beat is None:
            return
        for entry in self._entries:
            entry.receive(beat)

    def slow_down(
        self, host: routinghosts.SimHost, fault: routingtraces.HostFault
    ) -> None:
        """Slow a host down."""
        host.model.slow_factor = fault["factor"]

    def kill(
        self, host: routinghosts.SimHost, fault: routingtraces.HostFault
    ) -> None:
        """Lose a host."""
        host.kill()

    def drain(
        self, host: routinghosts.SimHost, fault: routingtraces.HostFault
    ) -> None:
        """Let a host leave."""
        self._drained[host.name] = self._clock.now
        host.leaving = True


_FAULTS = {
    "slow": Run.slow_down,
    "dead": Run.kill,
    "drain": Run.drain,
}

__all__ = (
    "Outcome",
    "Run",
)
