"""Simulation of a routing trace on a fleet."""

from __future__ import annotations

import random
from typing import NamedTuple

from cyclamenwing.bench import routing_entries
from cyclamenwing.bench import routing_hosts
from cyclamenwing.bench import routing_policies
from cyclamenwing.bench import routing_traces


class Outcome(NamedTuple):
    """Hold the requests and counters of a simulation.

    `asked_after_drain_s` holds, for each drained host, the seconds from
    the start of the drain to the last request that an entry sent to it.
    """

    requests: list[routing_entries.SimRequest]
    hit_blocks: int
    requested_blocks: int
    asked_after_drain_s: list[float]


class Simulation:
    """Simulate the arrivals and faults of a trace with one policy.

    :param events: events of the trace
    :param make_policy: factory of the policy of each entry
    :param seed: seed of all random numbers
    """

    def __init__(
        self,
        events: routing_traces.Events,
        make_policy: routing_policies.PolicyFactory,
        seed: int,
    ) -> None:
        self._clock = routing_hosts.Clock()
        self._rng = random.Random(seed)
        self._hosts = self._make_hosts(events.fleet)
        self._entries = self._make_entries(events.fleet, make_policy)
        self._drain_started_s: dict[str, float] = {}
        self._requests = [
            routing_entries.make_request(number, arrival)
            for number, arrival in enumerate(events.arrivals)
        ]
        self._pending_end = len(self._requests)
        for fault in events.faults:
            self._schedule_fault(fault)
        for request in self._requests:
            self._schedule_arrival(request)

    def run(self) -> Outcome:
        """Simulate until the last request ends; return the outcome."""
        for number, host in enumerate(self._hosts.values()):
            # The heartbeats of the hosts are spread evenly over the interval.
            offset_s = routing_hosts.HEARTBEAT_S * number / len(self._hosts)
            self._send_heartbeat(host)
            self._schedule_heartbeat(host, offset_s)
        for entry in self._entries:
            routing_entries.schedule_ticks(self._clock, entry, self._is_done)
        self._clock.run(self._is_done)
        models = [host.model for host in self._hosts.values()]
        return Outcome(
            self._requests,
            sum(model.hit_blocks for model in models),
            sum(model.requested_blocks for model in models),
            [
                max(0.0, self._hosts[name].last_request_at - at)
                for name, at in self._drain_started_s.items()
            ],
        )

    def _is_done(self) -> bool:
        # The check runs after each event. Finished requests at the end of the
        # list are skipped for good, so that it doesn't scan the whole list.
        while self._pending_end and self._requests[self._pending_end - 1].done:
            self._pending_end -= 1
        return not self._pending_end

    def _make_hosts(
        self, fleet: routing_traces.Fleet
    ) -> dict[str, routing_hosts.SimHost]:
        return {
            f"h{number}": routing_hosts.SimHost(
                self._clock,
                f"h{number}",
                f"z{number % fleet['zones']}",
                fleet["cache_blocks"],
            )
            for number in range(fleet["replicas"])
        }

    def _make_entries(
        self,
        fleet: routing_traces.Fleet,
        make_policy: routing_policies.PolicyFactory,
    ) -> list[routing_entries.SimEntry]:
        zones = [
            f"z{number % fleet['zones']}" for number in range(fleet["entries"])
        ]
        return [
            routing_entries.SimEntry(
                self._clock,
                zone,
                make_policy(zone, random.Random(self._rng.random())),
                self._hosts,
                fleet["entries"],
                random.Random(self._rng.random()),
            )
            for zone in zones
        ]

    def _schedule_arrival(self, request: routing_entries.SimRequest) -> None:
        entry = self._rng.choice(self._entries)
        self._clock.call_at(
            request.arrival["at"], lambda: entry.submit(request)
        )

    def _schedule_fault(self, fault: routing_traces.HostFault) -> None:
        host = self._hosts[f"h{fault['replica']}"]
        self._clock.call_at(
            fault["at"], lambda: _FAULTS[fault["kind"]](self, host, fault)
        )

    def _send_and_reschedule(self, host: routing_hosts.SimHost) -> None:
        self._send_heartbeat(host)
        self._schedule_heartbeat(
            host, self._clock.now + routing_hosts.HEARTBEAT_S
        )

    def _schedule_heartbeat(
        self, host: routing_hosts.SimHost, at: float
    ) -> None:
        self._clock.call_at(at, lambda: self._send_and_reschedule(host))

    def _send_heartbeat(self, host: routing_hosts.SimHost) -> None:
        heartbeat = host.make_heartbeat()
        if heartbeat is None:
            return
        for entry in self._entries:
            entry.receive_heartbeat(heartbeat)

    def slow_down(
        self, host: routing_hosts.SimHost, fault: routing_traces.HostFault
    ) -> None:
        """Slow the engine of a host down by the factor of the fault."""
        host.model.slow_factor = fault["factor"]

    def kill(
        self, host: routing_hosts.SimHost, fault: routing_traces.HostFault
    ) -> None:
        """Kill a host without a drain."""
        host.kill()

    def drain(
        self, host: routing_hosts.SimHost, fault: routing_traces.HostFault
    ) -> None:
        """Start the drain of a host."""
        self._drain_started_s[host.name] = self._clock.now
        host.leaving = True


_FAULTS = {
    "slow": Simulation.slow_down,
    "dead": Simulation.kill,
    "drain": Simulation.drain,
}

__all__ = (
    "Outcome",
    "Simulation",
)
