"""Admission, choice of a host and retries of an entry's jobs.

The caller passes the present time, in seconds of a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from collections.abc import Sequence

from cyclamenwing.routing import errors
from cyclamenwing.routing import queueing
from cyclamenwing.routing import retries
from cyclamenwing.routing import types

NO_ENDPOINT_RETRY_AFTER_S = 2


class Router:
    """Queue jobs by route, admit them and choose their hosts.

    :param policy: ranks the candidates of a job
    """

    def __init__(self, policy: types.Policy) -> None:
        self.policy = policy
        self._retries = retries.RetryBudget()
        self._queues: dict[str, queueing.FairQueue] = {}
        self._admitted: dict[str, str] = {}

    def list_queued_routes(self) -> list[str]:
        """Return the routes with queued jobs."""
        return [name for name, item in self._queues.items() if item.queued]

    def enqueue(self, job: types.Job, now: float) -> None:
        """Queue a job.

        :raises OverloadedError: if the queue is full or the job could not
            start early enough before its deadline
        """
        self._retries.record_request()
        queue = self._queues.setdefault(job.route, queueing.FairQueue())
        queue.enqueue(job, now)

    def admit_jobs(
        self,
        route: str,
        candidates: Sequence[types.Candidate],
        entries: int,
    ) -> list[types.Job]:
        """Remove the jobs that may start from the queue and return them.

        :param entries: number of live entries, which share the slots of
            the candidates
        """
        queue = self._queues.get(route)
        if queue is None or not queue.queued:
            return []
        self.policy.set_entry_count(entries)
        free_slots = self._count_free_slots(route, candidates)
        admitted: list[types.Job] = []
        while (job := queue.dequeue(free_slots)) is not None:
            free_slots = {
                priority: count - 1 for priority, count in free_slots.items()
            }
            self._admitted[job.request] = route
            admitted.append(job)
        return admitted

    def reject_late(self, route: str, now: float) -> list[queueing.RefusedJob]:
        """Remove and return the jobs that can no longer start in time."""
        return self._queues[route].reject_late(now)

    def withdraw(self, job: types.Job) -> None:
        """Remove a job that is waiting or was admitted but never sent."""
        self._admitted.pop(job.request, None)
        self._queues[job.route].remove(job)

    def record_done(self, job: types.Job, now: float) -> None:
        """Record that an admitted job has ended."""
        self._admitted.pop(job.request, None)
        self._queues[job.route].record_done(job, now)

    def choose(
        self,
        job: types.Job,
        candidates: Sequence[types.Candidate],
        tried: Collection[str],
        alone: bool,
        now: float,
    ) -> types.Candidate:
        """Return the best candidate that was not tried before.

        :param tried: hosts tried before, in order; the last one is
            recorded as failed
        :param alone: prefer the host with the fewest runs in progress
        :raises NoEndpointError: if no candidate is left
        """
        if tried:
            self.policy.record_failure([*tried][-1], now)
        untried = [item for item in candidates if item.host not in tried]
        ordered = self.policy.order(job, untried, now)
        if not ordered:
            raise _make_no_endpoint(job.route)
        if alone:
            ordered.sort(key=lambda candidate: candidate.load)
        return ordered[0]

    def record_start(self, job: types.Job, host: str, now: float) -> None:
        """Record that a job was sent to a host."""
        self._admitted.pop(job.request, None)
        self.policy.record_start(job, host, now)

    def plan_retry(
        self, job: types.Job, attempt: int, draw: float, now: float
    ) -> float:
        """Return the seconds to wait before a retry.

        :param attempt: number of the attempt, 2 for the first retry
        :param draw: random number in [0, 1) for the jitter
        :raises RetriesExhaustedError: if no further attempt is allowed
        """
        return self._retries.plan(job, attempt, draw, now)

    def _count_free_slots(
        self,
        route: str,
        candidates: Sequence[types.Candidate],
    ) -> dict[types.Priority, float]:
        if not candidates:
            # Without endpoints, waiting is of no use: all jobs are admitted
            # and then refused with `NoEndpointError`.
            return dict.fromkeys(types.PRIORITIES, math.inf)
        waiting_to_start = sum(
            1 for name in self._admitted.values() if name == route
        )
        free_slots = {
            priority: self.policy.count_free_slots(candidates, priority)
            for priority in types.PRIORITIES
        }
        return {
            priority: math.ceil(count) - waiting_to_start
            for priority, count in free_slots.items()
        }


def _make_no_endpoint(route: str) -> errors.NoEndpointError:
    error = errors.NoEndpointError(
        f"no endpoint of route {route!r} accepts requests"
    )
    error.retry_after_s = NO_ENDPOINT_RETRY_AFTER_S
    return error


__all__ = ("Router",)
