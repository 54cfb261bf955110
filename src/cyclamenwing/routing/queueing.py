"""Fair queueing of a route's jobs by workspace."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Mapping
from typing import NamedTuple

from cyclamenwing.routing import errors
from cyclamenwing.routing import types

MAX_QUEUED = 10_000
MAX_QUEUED_BY_WORKSPACE = 4_000
# While jobs of both priorities wait, one start in this many is a batch job's.
STARTS_PER_BATCH_START = 8
# Largest share of the time to its deadline that a job may spend in the queue.
MAX_WAIT_SHARE = 0.8
RATE_WINDOW_S = 5.0
RATE_SMOOTHING = 0.3
LATE_CHECK_INTERVAL_S = 1.0
# The check for late jobs visits the whole queue. A long queue is checked less
# often, which bounds the rate of visited jobs.
LATE_CHECKS_PER_S = 1_000
MIN_RETRY_AFTER_S = 1.0


class QueuedJob(NamedTuple):
    """Hold a queued job and its virtual start time."""

    start: float
    job: types.Job


@dataclasses.dataclass(slots=True)
class Flow:
    """Hold the waiting jobs of a workspace and priority.

    `tokens` is their sum of tokens, `last_finish` the virtual finish time
    of the last one queued.
    """

    waiting: collections.deque[QueuedJob] = dataclasses.field(
        default_factory=collections.deque
    )
    tokens: int = 0
    last_finish: float = 0.0


@dataclasses.dataclass(slots=True)
class ServiceRate:
    """Measure the tokens completed per second while jobs wait."""

    tokens_per_s: float = 0.0
    completed_tokens: int = 0
    window_start: float | None = None

    def record_done(self, tokens: int, now: float) -> None:
        """Count the tokens of a completed job."""
        if self.window_start is None:
            # Jobs before the first completion of a busy period take free
            # slots, so the measurement starts with that completion.
            self.window_start = now
            return
        self.completed_tokens += tokens
        length_s = now - self.window_start
        if length_s < RATE_WINDOW_S:
            return
        measured = self.completed_tokens / length_s
        if self.tokens_per_s:
            measured = self.tokens_per_s + RATE_SMOOTHING * (
                measured - self.tokens_per_s
            )
        self.tokens_per_s = measured
        self.restart()
        self.window_start = now

    def restart(self) -> None:
        """Discard the current window, as nothing waits any more."""
        self.completed_tokens = 0
        self.window_start = None


class RefusedJob(NamedTuple):
    """Hold a job that the queue has refused, and why."""

    job: types.Job
    error: errors.RoutingError


class FairQueue:
    """Queue jobs by workspace, interactive before batch.

    Workspaces share the service by start-time fair queueing, weighted by
    the jobs' tokens. A job is refused as soon as the estimated wait is
    too long for its deadline.
    """

    def __init__(self) -> None:
        self._flows: dict[types.Priority, dict[str, Flow]] = {
            priority: {} for priority in types.PRIORITIES
        }
        self._virtual_time = dict.fromkeys(types.PRIORITIES, 0.0)
        self._queued = 0
        self._starts = 0
        self._late_checked_at = -math.inf
        self._rates = {
            priority: ServiceRate() for priority in types.PRIORITIES
        }
        self._running: set[str] = set()

    @property
    def queued(self) -> int:
        """Return the number of waiting jobs."""
        return self._queued

    def enqueue(self, job: types.Job, now: float) -> None:
        """Queue a job.

        :raises OverloadedError: if the queue is full or the job could not
            start early enough before its deadline
        """
        flow = self._find_flow(job)
        self._check_bounds(job.priority, flow)
        wait_s = self._estimate_wait_s(job, flow.tokens)
        if wait_s > (job.deadline - now) * MAX_WAIT_SHARE:
            raise _make_late_error(job, wait_s, now)
        start = max(self._virtual_time[job.priority], flow.last_finish)
        flow.last_finish = start + job.tokens
        flow.tokens += job.tokens
        flow.waiting.append(QueuedJob(start, job))
        self._queued += 1

    def dequeue(
        self, free_slots: Mapping[types.Priority, float]
    ) -> types.Job | None:
        """Remove and return the next job that may start, if there is one.

        :param free_slots: number of jobs that may start, by priority
        """
        for priority in self._order_priorities():
            if free_slots[priority] <= 0:
                continue
            name = self._pick_flow(priority)
            if name is not None:
                self._starts += 1
                return self._pop(priority, name)
        return None

    def record_done(self, job: types.Job, now: float) -> None:
        """Count a job that has ended, to measure the service rate.

        Only jobs that were started from this queue are counted.
        """
        if job.request in self._running:
            self._running.remove(job.request)
            self._rates[job.priority].record_done(job.tokens, now)

    def remove(self, job: types.Job) -> None:
        """Remove a job that is waiting or was dequeued but never sent."""
        self._running.discard(job.request)
        flow = self._find_flow(job)
        remaining = collections.deque(
            queued
            for queued in flow.waiting
            if queued.job.request != job.request
        )
        dropped = len(flow.waiting) - len(remaining)
        tokens = flow.tokens - job.tokens * dropped
        self._replace(job.priority, job.workspace, remaining, tokens)

    def reject_late(self, now: float) -> list[RefusedJob]:
        """Remove and return the jobs that can no longer start in time."""
        pause_s = max(LATE_CHECK_INTERVAL_S, self._queued / LATE_CHECKS_PER_S)
        if now - self._late_checked_at < pause_s:
            return []
        self._late_checked_at = now
        return [
            refused
            for priority, flows in self._flows.items()
            for name in list(flows)
            for refused in self._reject_late_in_flow(priority, name, now)
        ]

    def _reject_late_in_flow(
        self, priority: types.Priority, name: str, now: float
    ) -> list[RefusedJob]:
        rate = self._rates[priority].tokens_per_s
        flow = self._flows[priority][name]
        other_tokens = self._list_other_tokens(priority, name)
        remaining: collections.deque[QueuedJob] = collections.deque()
        refused: list[RefusedJob] = []
        ahead = 0
        for queued in flow.waiting:
            job = queued.job
            wait_s = 0.0
            if rate:
                interleaved = _count_interleaved(
                    other_tokens, ahead + job.tokens
                )
                wait_s = (interleaved + ahead) / rate
            if wait_s <= (job.deadline - now) * MAX_WAIT_SHARE:
                remaining.append(queued)
                ahead += job.tokens
            else:
                refused.append(
                    RefusedJob(job, _make_late_error(job, wait_s, now))
                )
        self._replace(priority, name, remaining, ahead)
        return refused

    def _replace(
        self,
        priority: types.Priority,
        name: str,
        remaining: collections.deque[QueuedJob],
        tokens: int,
    ) -> None:
        flow = self._flows[priority][name]
        self._queued += len(remaining) - len(flow.waiting)
        flow.waiting = remaining
        flow.tokens = tokens
        self._end_busy_period(priority)

    def _check_bounds(self, priority: types.Priority, flow: Flow) -> None:
        if (
            self._queued >= MAX_QUEUED
            or len(flow.waiting) >= MAX_QUEUED_BY_WORKSPACE
        ):
            raise errors.OverloadedError.from_wait(
                "queue is full",
                max(MIN_RETRY_AFTER_S, self._estimate_drain_s(priority)),
            )

    def _estimate_drain_s(self, priority: types.Priority) -> float:
        # Callers may retry once a tenth of the queue has been served.
        rate = self._rates[priority].tokens_per_s
        tokens = sum(flow.tokens for flow in self._flows[priority].values())
        return tokens / rate / 10 if rate else MIN_RETRY_AFTER_S

    def _estimate_wait_s(self, job: types.Job, own_tokens: int) -> float:
        """Return the estimated wait of a job, in seconds.

        :param own_tokens: waiting tokens of the job's own workspace
        """
        rate = self._rates[job.priority].tokens_per_s
        if not rate:
            return 0.0
        other_tokens = self._list_other_tokens(job.priority, job.workspace)
        return (
            _count_interleaved(other_tokens, own_tokens + job.tokens)
            + own_tokens
        ) / rate

    def _list_other_tokens(
        self, priority: types.Priority, workspace: str
    ) -> list[int]:
        return [
            flow.tokens
            for name, flow in self._flows[priority].items()
            if name != workspace
        ]

    def _order_priorities(self) -> tuple[types.Priority, ...]:
        if self._starts % STARTS_PER_BATCH_START == STARTS_PER_BATCH_START - 1:
            return types.PRIORITIES[::-1]
        return types.PRIORITIES

    def _pick_flow(self, priority: types.Priority) -> str | None:
        flows = self._flows[priority]
        return min(
            (name for name, flow in flows.items() if flow.waiting),
            key=lambda name: flows[name].waiting[0].start,
            default=None,
        )

    def _pop(self, priority: types.Priority, name: str) -> types.Job:
        flow = self._flows[priority][name]
        queued = flow.waiting.popleft()
        flow.tokens -= queued.job.tokens
        self._queued -= 1
        self._running.add(queued.job.request)
        self._virtual_time[priority] = max(
            self._virtual_time[priority], queued.start
        )
        self._end_busy_period(priority)
        return queued.job

    def _find_flow(self, job: types.Job) -> Flow:
        return self._flows[job.priority].setdefault(job.workspace, Flow())

    def _end_busy_period(self, priority: types.Priority) -> None:
        flows = self._flows[priority]
        if not any(flow.waiting for flow in flows.values()):
            flows.clear()
            self._virtual_time[priority] = 0.0
            self._rates[priority].restart()


def _count_interleaved(other_tokens: list[int], tokens: int) -> int:
    """Return the tokens of other workspaces served with `tokens` of one.

    Fair queueing serves each of the others as many, as far as it has them
    in its queue.
    """
    return sum([min(queued, tokens) for queued in other_tokens])


def _make_late_error(
    job: types.Job, wait_s: float, now: float
) -> errors.OverloadedError:
    allowed_s = max(0.0, (job.deadline - now) * MAX_WAIT_SHARE)
    return errors.OverloadedError.from_wait(
        f"estimated wait of {wait_s:.0f} s is too long for the deadline",
        max(MIN_RETRY_AFTER_S, wait_s - allowed_s),
    )


__all__ = (
    "FairQueue",
    "RefusedJob",
    "ServiceRate",
)
