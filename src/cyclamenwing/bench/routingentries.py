"""Entries of a measurement of routing, under a fake clock."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import xxhash

from cyclamenwing.bench import routinghosts
from cyclamenwing.bench import routingtraces
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
class Course:
    """Hold what became of one request; times are in seconds."""

    arrival: routingtraces.Arrival
    job: types.Job
    blocks: tuple[int, ...]
    tried: list[str] = dataclasses.field(default_factory=list)
    times: list[float] = dataclasses.field(default_factory=list)
    lost_tokens: int = 0
    attempt: int = 1
    done: bool = False
    refused: str = ""


class SimEntry:
    """Route requests as an entry does.

    :param clock: the fake clock
    :param zone: availability zone of the entry
    :param policy: order of candidates
    :param hosts: hosts by name
    :param entries: number of entries
    :param draw: source of the jitter
    """

    def __init__(
        self,
        clock: routinghosts.Clock,
        zone: str,
        policy: types.Policy,
        hosts: dict[str, routinghosts.SimHost],
        entries: int,
        draw: random.Random,
    ) -> None:
        self._clock = clock
        self._zone = zone
        self._router = router.Router(policy)
        self._hosts = hosts
        self._entries = entries
        self._draw = draw
        self._members: dict[str, routinghosts.Beat] = {}
        self._courses: dict[str, Course] = {}

    def receive(self, beat: routinghosts.Beat) -> None:
        """Take over a heartbeat."""
        self._members[beat.candidate.host] = beat
        self._router.policy.receive(
            beat.candidate.host, beat.news, self._clock.now
        )

    def submit(self, course: Course) -> None:
        """Queue a request."""
        try:
            self._router.enter(course.job, self._clock.now)
        except errors.OverloadedError as err:
            self._refuse(course, err)
            return
        self._courses[course.job.request] = course
        self._give_turns()

    def tick(self) -> None:
        """Give turns for places that became free elsewhere."""
        if not self._router.list_queued_routes():
            return
        for refused in self._router.reject_late(ROUTE, self._clock.now):
            course = self._courses.pop(refused.job.request)
            self._refuse(course, refused.error)
        self._give_turns()

    def _give_turns(self) -> None:
        given = self._router.admit_jobs(
            ROUTE, self._list_candidates(), self._entries
        )
        for job in given:
            self._attempt(self._courses[job.request])

    def _list_candidates(self) -> list[types.Candidate]:
        now = self._clock.now
        return [
            beat.candidate
            for beat in self._members.values()
            if not beat.leaving
            and now - beat.candidate.reported_at < view.SUSPECT_AFTER_S
        ]

    def _attempt(self, course: Course) -> None:
        now = self._clock.now
        job = course.job
        try:
            picked = self._router.choose(
                job, self._list_candidates(), course.tried, False, now
            )
        except errors.RoutingError as err:
            self._leave(course)
            self._refuse(course, err)
            return
        host = self._hosts[picked.host]
        course.tried.append(host.name)
        self._router.record_start(job, host.name, now)
        self._clock.call_at(
            now + self._measure_hop(host), lambda: self._send(course, host)
        )

    def _send(self, course: Course, host: routinghosts.SimHost) -> None:
        attempt = course.attempt
        arrival = course.arrival
        work = batch.GenerationRequest(
            f"{course.job.request}/{attempt}",
            types.ENGINE_PRIORITIES[course.job.priority],
            course.blocks,
            arrival["document_tokens"] + arrival["question_tokens"],
            arrival["answer_tokens"],
        )
        hop_s = self._measure_hop(host)

        def listen(emission: batch.Emission | None) -> None:
            self._clock.call_at(
                self._clock.now + hop_s,
                lambda: self._take(course, host, emission),
            )

        if not host.start(work, listen):
            listen(None)

    def _take(
        self,
        course: Course,
        host: routinghosts.SimHost,
        emission: batch.Emission | None,
    ) -> None:
        now = self._clock.now
        if emission is None:
            self._router.policy.record_end(course.job, host.name, False, now)
            self._retry(course)
            return
        if emission.number == 0:
            self._router.policy.record_first_bytes(course.job, host.name, now)
        if emission.number >= len(course.times):
            course.times.append(now)
        if emission.last:
            course.done = True
            self._router.policy.record_end(course.job, host.name, True, now)
            self._leave(course)

    def _retry(self, course: Course) -> None:
        now = self._clock.now
        if course.times:
            prompt = course.arrival["document_tokens"]
            course.lost_tokens += prompt + len(course.times)
        course.attempt += 1
        try:
            delay_s = self._router.plan_retry(
                course.job, course.attempt, self._draw.random(), now
            )
        except errors.RoutingError as err:
            self._leave(course)
            self._refuse(course, err)
            return
        self._clock.call_at(now + delay_s, lambda: self._attempt(course))

    def _leave(self, course: Course) -> None:
        self._courses.pop(course.job.request, None)
        self._router.leave(course.job, self._clock.now)
        self._give_turns()

    def _refuse(self, course: Course, err: errors.RoutingError) -> None:
        course.done = True
        course.refused = err.code

    def _measure_hop(self, host: routinghosts.SimHost) -> float:
        if host.zone == self._zone:
            return routinghosts.HOP_S
        return routinghosts.ZONE_HOP_S


def make_course(number: int, arrival: routingtraces.Arrival) -> Course:
    """Return a request of a trace before it was routed."""
    tokens = arrival["document_tokens"] + arrival["question_tokens"]
    shared = arrival["document_tokens"] // BLOCK_TOKENS
    blocks = [
        _digest(f"{arrival['document']}/{place}")
        if place < shared
        else _digest(f"{arrival['document']}/{number}/{place}")
        for place in range(tokens // BLOCK_TOKENS)
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
    return Course(arrival, job, tuple(blocks))


def schedule_ticks(
    clock: routinghosts.Clock, entry: SimEntry, until: Callable[[], bool]
) -> None:
    """Let an entry give turns at its interval."""

    def tick() -> None:
        entry.tick()
        if not until():
            clock.call_at(clock.now + TICK_S, tick)

    clock.call_at(clock.now, tick)


def _digest(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode()) >> (64 - prefix.DIGEST_BITS)


__all__ = (
    "Course",
    "SimEntry",
    "make_course",
    "schedule_ticks",
)
