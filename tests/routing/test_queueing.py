"""Fair queueing, early refusal and bounds of a route's queue.

A workspace with many or large jobs must not starve the others, and a job that
can't start before its deadline must not take up the queue.
"""

from __future__ import annotations

import collections

import pytest
from tests.routing import samples

from cyclamenwing.routing import errors
from cyclamenwing.routing import queueing
from cyclamenwing.routing import types

FREE: dict[types.Priority, float] = {"interactive": 1, "batch": 1}


def dequeue_names(queue: queueing.FairQueue, count: int) -> list[str]:
    dequeued = [queue.dequeue(FREE) for _ in range(count)]
    return [job.request for job in dequeued if job is not None]


def test_workspaces_share_service_by_tokens() -> None:
    queue = queueing.FairQueue()
    for number in range(40):
        queue.enqueue(samples.make_job(f"a{number}", "a"), 0.0)
    for number in range(40):
        queue.enqueue(samples.make_job(f"b{number}", "b", tokens=300), 0.0)
    queue.enqueue(samples.make_job("c0", "c"), 0.0)
    names = dequeue_names(queue, 41)
    shares = collections.Counter(name[0] for name in names)
    assert 29 <= shares["a"] <= 31
    assert names.index("c0") <= 2


def test_interactive_goes_first_and_batch_is_not_starved() -> None:
    queue = queueing.FairQueue()
    for number in range(50):
        queue.enqueue(samples.make_job(f"b{number}", "a", "batch"), 0.0)
        queue.enqueue(samples.make_job(f"i{number}", "b"), 0.0)
    names = dequeue_names(queue, 40)
    assert names[:7] == [f"i{number}" for number in range(7)]
    shares = collections.Counter(name[0] for name in names)
    assert shares["b"] == 40 // queueing.STARTS_PER_BATCH_START
    assert queue.dequeue({"interactive": 0, "batch": 0}) is None


def measure_rate(
    queue: queueing.FairQueue, jobs: int, priority: types.Priority
) -> None:
    """Queue jobs and complete some, at a rate of 100 tokens per second."""
    for number in range(jobs):
        queue.enqueue(samples.make_job(f"q{number}", priority=priority), 0.0)
    for second in range(1, 7):
        job = queue.dequeue(FREE)
        assert job is not None
        queue.record_done(job, float(second))


@pytest.mark.parametrize(
    ("busy", "workspace", "priority", "deadline", "retry_after"),
    [
        ("interactive", "w", "interactive", 1_000.0, None),
        ("interactive", "w", "interactive", 106.0, 14),
        ("interactive", "new", "interactive", 16.0, None),
        ("batch", "w", "batch", 106.0, 14),
        ("batch", "new", "batch", 16.0, None),
        ("batch", "w", "interactive", 16.0, None),
    ],
)
def test_job_that_would_start_too_late_is_refused(
    busy: types.Priority,
    workspace: str,
    priority: types.Priority,
    deadline: float,
    retry_after: int | None,
) -> None:
    """A job that waits past its deadline would only delay others."""
    queue = queueing.FairQueue()
    measure_rate(queue, 100, busy)
    job = samples.make_job("late", workspace, priority, deadline=deadline)
    if retry_after is None:
        queue.enqueue(job, 6.0)
        return
    with pytest.raises(errors.OverloadedError) as caught:
        queue.enqueue(job, 6.0)
    assert caught.value.retry_after_s == retry_after
    assert caught.value.run == "not_run"


def test_waiting_job_is_refused_once_it_would_start_too_late() -> None:
    queue = queueing.FairQueue()
    measure_rate(queue, 10, "interactive")
    queue.enqueue(samples.make_job("last", deadline=30.0), 6.0)
    assert queue.reject_late(6.0) == []
    refused = []
    for second in (16.0, 26.0):
        job = queue.dequeue(FREE)
        assert job is not None
        queue.record_done(job, second)
        refused.append([
            item.job.request for item in queue.reject_late(second)
        ])
    assert refused == [[], ["last"]]
    assert dequeue_names(queue, 9) == ["q8", "q9"]


def test_queue_is_bounded_and_jobs_can_be_removed() -> None:
    queue = queueing.FairQueue()
    jobs = [
        samples.make_job(str(number))
        for number in range(queueing.MAX_QUEUED_BY_WORKSPACE)
    ]
    for job in jobs:
        queue.enqueue(job, 0.0)
    with pytest.raises(errors.OverloadedError):
        queue.enqueue(samples.make_job("over"), 0.0)
    queue.enqueue(samples.make_job("other", "other"), 0.0)
    queue.remove(jobs[0])
    assert queue.queued == len(jobs)
    assert sorted(dequeue_names(queue, 2)) == ["1", "other"]
