"""Simulated entries of the routing benchmark."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import xxhash

from cyclamenwing.bench import routing_hosts
from cyclamenwing.bench import routing_traces
from cyclamenwing.membership import view
from cyclamenwing.routing import errors
from cyclamenwing.routing import prefix
from cyclamenwing.routing import router
from cyclamenwing.routing import types
from cyclamenwing.standin import batch

ROUTE = "assistant"
TICK_S = 0.05
TIMEOUT_S = 120.0
BLOCK_TOKENS = 64


@dataclasses.dataclass(slots=True)
class SimRequest:
    """Hold the state of one simulated request.

    `times` holds the arrival time of each answer token in seconds;
    `refused` the code of the error that ended the request, or "".
    """

    arrival: routing_traces.Arrival
    job: types.Job
    blocks: tuple[int, ...]
    tried: list[str] = dataclasses.field(default_factory=list)
    times: list[float] = dataclasses.field(default_factory=list)
    lost_tokens: int = 0
    attempt: int = 1
    done: bool = False
    refused: str = ""


class SimEntry:
    """Route requests with the production router, as an entry does.

    :param clock: the simulated clock
    :param zone: availability zone of the entry
    :param policy: policy that orders the candidates
    :param hosts: hosts by name
    :param entries: number of entries
    :param rng: random numbers for the jitter of retries
    """

    def __init__(
        self,
        clock: routing_hosts.Clock,
        zone: str,
        policy: types.Policy,
        hosts: dict[str, routing_hosts.SimHost],
        entries: int,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._router = router.Router(policy)
        self._hosts = hosts
        self._entries = entries
        self._rng = rng
        self._members: dict[str, routing_hosts.SimHeartbeat] = {}
        self._requests: dict[str, SimRequest] = {}

    def receive_heartbeat(self, heartbeat: routing_hosts.SimHeartbeat) -> None:
        """Store a heartbeat and pass its report to the policy."""
        self._members[heartbeat.candidate.host] = heartbeat
        self._router.policy.receive(
            heartbeat.candidate.host, heartbeat.report, self._clock.now
        )

    def submit(self, request: SimRequest) -> None:
        """Queue a request, or refuse it when the router is overloaded."""
        try:
            self._router.enqueue(request.job, self._clock.now)
        except errors.OverloadedError as err:
            self._refuse(request, err)
            return
        self._requests[request.job.request] = request
        self._dispatch_queued()

    def tick(self) -> None:
        """Refuse expired requests and dispatch queued ones.

        A heartbeat can report places that requests of other entries freed;
        the tick starts queued requests on them.
        """
        if not self._router.list_queued_routes():
            return
        for refused in self._router.reject_late(ROUTE, self._clock.now):
            request = self._requests.pop(refused.job.request)
            self._refuse(request, refused.error)
        self._dispatch_queued()

    def _dispatch_queued(self) -> None:
        dispatched = self._router.admit_jobs(
            ROUTE, self._list_candidates(), self._entries
        )
        for job in dispatched:
            self._start_attempt(self._requests[job.request])

    def _list_candidates(self) -> list[types.Candidate]:
        now = self._clock.now
        return [
            heartbeat.candidate
            for heartbeat in self._members.values()
            if not heartbeat.leaving
            and now - heartbeat.candidate.reported_at < view.SUSPECT_AFTER_S
        ]

    def _start_attempt(self, request: SimRequest) -> None:
        now = self._clock.now
        job = request.job
        try:
            chosen = self._router.choose(
                job, self._list_candidates(), request.tried, False, now
            )
        except errors.RoutingError as err:
            self._release_slot(request)
            self._refuse(request, err)
            return
        host = self._hosts[chosen.host]
        request.tried.append(host.name)
        self._router.record_start(job, host.name, now)
        self._clock.call_at(
            now + self._find_hop_s(host), lambda: self._send(request, host)
        )

    def _send(self, request: SimRequest, host: routing_hosts.SimHost) -> None:
        attempt = request.attempt
        arrival = request.arrival
        work = batch.GenerationRequest(
            f"{request.job.request}/{attempt}",
            types.ENGINE_PRIORITIES[request.job.priority],
            request.blocks,
            arrival["document_tokens"] + arrival["question_tokens"],
            arrival["answer_tokens"],
        )
        hop_s = self._find_hop_s(host)

        def on_emission(emission: batch.Emission | None) -> None:
            self._clock.call_at(
                self._clock.now + hop_s,
                lambda: self._receive_emission(request, host, emission),
            )

        if not host.start(work, on_emission):
            on_emission(None)

    def _receive_emission(
        self,
        request: SimRequest,
        host: routing_hosts.SimHost,
        emission: batch.Emission | None,
    ) -> None:
        now = self._clock.now
        if emission is None:
            self._router.policy.record_end(request.job, host.name, False, now)
            self._retry(request)
            return
        if emission.number == 0:
            self._router.policy.record_first_bytes(request.job, host.name, now)
        if emission.number >= len(request.times):
            request.times.append(now)
        if emission.last:
            request.done = True
            self._router.policy.record_end(request.job, host.name, True, now)
            self._release_slot(request)

    def _retry(self, request: SimRequest) -> None:
        now = self._clock.now
        if request.times:
            document_tokens = request.arrival["document_tokens"]
            request.lost_tokens += document_tokens + len(request.times)
        request.attempt += 1
        try:
            delay_s = self._router.plan_retry(
                request.job, request.attempt, self._rng.random(), now
            )
        except errors.RoutingError as err:
            self._release_slot(request)
            self._refuse(request, err)
            return
        self._clock.call_at(
            now + delay_s, lambda: self._start_attempt(request)
        )

    def _release_slot(self, request: SimRequest) -> None:
        self._requests.pop(request.job.request, None)
        self._router.record_done(request.job, self._clock.now)
        self._dispatch_queued()

    def _refuse(self, request: SimRequest, err: errors.RoutingError) -> None:
        request.done = True
        request.refused = err.code

    def _find_hop_s(self, host: routing_hosts.SimHost) -> float:
        if host.zone == self._zone:
            return routing_hosts.HOP_S
        return routing_hosts.ZONE_HOP_S


def make_request(number: int, arrival: routing_traces.Arrival) -> SimRequest:
    """Return the simulated request of an arrival in a trace.

    Requests for one document share the prompt blocks that lie within it.
    """
    tokens = arrival["document_tokens"] + arrival["question_tokens"]
    shared_blocks = arrival["document_tokens"] // BLOCK_TOKENS
    blocks = [
        _digest(f"{arrival['document']}/{index}")
        if index < shared_blocks
        else _digest(f"{arrival['document']}/{number}/{index}")
        for index in range(tokens // BLOCK_TOKENS)
    ]
    job = types.Job(
        str(number),
        arrival["workspace"],
        ROUTE,
        arrival["priority"],
        prefix.pick_anchors(blocks),
        arrival["at"] + TIMEOUT_S,
        str(number),
        tokens + arrival["answer_tokens"],
    )
    return SimRequest(arrival, job, tuple(blocks))


def schedule_ticks(
    clock: routing_hosts.Clock, entry: SimEntry, is_done: Callable[[], bool]
) -> None:
    """Schedule the ticks of an entry until a condition holds."""

    def tick() -> None:
        entry.tick()
        if not is_done():
            clock.call_at(clock.now + TICK_S, tick)

    clock.call_at(clock.now, tick)


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode()) >> (64 - prefix.DIGEST_BITS)


__all__ = (
    "SimEntry",
    "SimRequest",
    "make_request",
    "schedule_ticks",
)
