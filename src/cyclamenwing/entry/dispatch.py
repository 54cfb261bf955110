"""Queueing of requests and choice of the sidecars that run them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Collection
from typing import Any

import eliot
import msgspec

from cyclamenwing import tasks
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import quarantine
from cyclamenwing.membership import types as membership_types
from cyclamenwing.membership import view
from cyclamenwing.routing import router
from cyclamenwing.routing import subset
from cyclamenwing.routing import types

REVIEW_INTERVAL_S = 0.05


class Dispatch:
    """Queue jobs and choose among the live sidecars of a route.

    :param board: the entry's state
    :param policy: ranks the candidates
    :param crash_quarantine: quarantine of poison requests
    :param rng: random source of the retry jitter
    """

    GOSSIP_KEY = "endpoint"

    def __init__(
        self,
        board: blackboard.EntryBoard,
        policy: types.Policy,
        crash_quarantine: quarantine.Quarantine,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._router = router.Router(policy)
        self._quarantine = crash_quarantine
        self._draining: dict[str, str] = {}
        self._random = rng
        self._members = view.MemberController()
        self._pending: dict[str, asyncio.Future[None]] = {}
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return []

    def start(self) -> None:
        """Start the periodic review of the queues.

        The review notices slots that other entries have freed.
        """
        self._task = tasks.start_loop(self._review_queues)

    async def close(self) -> None:
        """Stop the periodic review of the queues."""
        if self._task is not None:
            self._task.cancel()

    def make_gossip(self) -> None:
        """Return nothing; only sidecars gossip endpoint states."""

    def receive_gossip(
        self, sender: membership_types.Heartbeat | None, gossip: Any
    ) -> None:
        """Apply a sidecar's report of its endpoint state."""
        try:
            report = msgspec.convert(gossip, types.EndpointReport)
        except msgspec.ValidationError as err:
            eliot.log_message(
                "entry:endpoint_gossip_invalid", message=str(err)
            )
            return
        if sender is not None:
            self._router.policy.receive(
                sender["host"], report, time.monotonic()
            )

    async def admit(self, job: types.Job) -> None:
        """Queue a job and wait until it is admitted.

        Nothing is reserved for the job before its admission.

        :raises OverloadedError: as soon as the job can't be admitted in
            time for its deadline
        :raises QuarantinedError: for a poison request
        """
        self._quarantine.check(job, "not_run")
        self._router.enqueue(job, time.monotonic())
        admission = asyncio.get_running_loop().create_future()
        self._pending[job.request] = admission
        self._admit_queued(job.route)
        try:
            await admission
            await self._quarantine.wait_until_allowed(job, "not_run")
        except BaseException:
            self._withdraw(job)
            raise

    def finish(self, job: types.Job) -> None:
        """Record that an admitted job has ended and admit queued ones."""
        self._quarantine.release(job)
        self._router.record_done(job, time.monotonic())
        self._admit_queued(job.route)

    def choose(
        self, job: types.Job, tried: Collection[str]
    ) -> types.Candidate:
        """Return the best candidate that was not tried yet.

        :param tried: hosts of earlier attempts; the last one is recorded
            as failed
        :raises NoEndpointError: if no candidate is left
        :raises QuarantinedError: for a poison request
        """
        now = time.monotonic()
        self._quarantine.check(job, "unknown" if tried else "not_run")
        return self._router.choose(
            job,
            self.list_candidates(job.route, now),
            tried,
            self._quarantine.is_suspect(job),
            now,
        )

    def record_start(self, job: types.Job, host: str) -> None:
        """Record that a job is sent to a host."""
        self._quarantine.record_start(job)
        self._router.record_start(job, host, time.monotonic())

    def record_first_bytes(self, job: types.Job, host: str) -> None:
        """Record the arrival of the first bytes of a job's answer."""
        self._router.policy.record_first_bytes(job, host, time.monotonic())

    def record_end(
        self, job: types.Job, host: str, completed: bool = False
    ) -> None:
        """Record the end of a job's attempt at a host.

        :param completed: whether the answer was complete
        """
        self._quarantine.record_end(job, completed)
        self._router.policy.record_end(job, host, completed, time.monotonic())

    def record_crash(self, job: types.Job, host: str) -> None:
        """Record that the host's endpoint crashed during the job."""
        self._quarantine.record_crash(job, host)
        self._router.policy.record_failure(host, time.monotonic())

    def record_draining(self, host: str, incarnation: str) -> None:
        """Record that an incarnation refused work because it is draining.

        A later process on the same host has another incarnation and is
        not affected.
        """
        self._draining[host] = incarnation

    async def retry(self, job: types.Job, attempt: int) -> None:
        """Wait for the backoff before attempt 2 or later.

        The run states of the errors don't cover earlier attempts; the
        caller has to combine them.

        :param attempt: number of the attempt to come
        :raises RetriesExhaustedError: at once, if the limit of attempts,
            the deadline or the retry budget allows no further attempt
        :raises QuarantinedError: for a poison request
        """
        self._quarantine.check(job, "unknown")
        delay_s = self._router.plan_retry(
            job, attempt, self._random.random(), time.monotonic()
        )
        await asyncio.sleep(delay_s)
        await self._quarantine.wait_until_allowed(job, "unknown")

    def list_candidates(self, route: str, now: float) -> list[types.Candidate]:
        """Return this entry's subset of the sidecars that accept work.

        A sidecar is a candidate once the session record names it and
        while it is not draining.
        """
        members = self._board.members
        candidates = [
            types.Candidate(
                beat["host"],
                beat["address"],
                beat["zone"],
                beat["incarnation"],
                beat["load"],
                members.members[beat["host"]]["heard_at"],
            )
            for beat in self._members.list_available(members, route, now)
            if beat["incarnation"] in self._board.served
            and self._draining.get(beat["host"]) != beat["incarnation"]
        ]
        return subset.pick_subset(self._board.host, candidates)

    async def _review_queues(self) -> None:
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            for route in self._router.list_queued_routes():
                self._review(route)
                self._admit_queued(route)

    def _review(self, route: str) -> None:
        for refused in self._router.reject_late(route, time.monotonic()):
            admission = self._pending.pop(refused.job.request, None)
            if admission is not None and not admission.done():
                admission.set_exception(refused.error)

    def _admit_queued(self, route: str) -> None:
        if route not in self._router.list_queued_routes():
            return
        now = time.monotonic()
        entries = self._members.list_live(self._board.members, "entry", now)
        sharing = {beat["host"] for beat in entries} | {self._board.host}
        candidates = self.list_candidates(route, now)
        for job in self._router.admit_jobs(route, candidates, len(sharing)):
            admission = self._pending.pop(job.request, None)
            if admission is not None and not admission.done():
                admission.set_result(None)

    def _withdraw(self, job: types.Job) -> None:
        self._quarantine.release(job)
        self._pending.pop(job.request, None)
        self._router.withdraw(job)
        self._admit_queued(job.route)


__all__ = ("Dispatch",)
