"""In-memory timelines of recent requests, shown by `explain`."""

from __future__ import annotations

import collections
from typing import Any
from typing import TypedDict

MAX_TIMELINES = 10_000
MAX_STEPS = 40


class Step(TypedDict):
    """Hold one step of a request.

    `at` is in seconds since the epoch, `step` names the event.
    """

    at: float
    step: str
    detail: dict[str, Any]


class Timeline(TypedDict):
    """Hold all recorded steps of a request in one process."""

    request: str
    host: str
    steps: list[Step]


class Journal:
    """Hold the timelines of the latest requests in bounded memory.

    :param max_timelines: number of requests; the oldest is dropped first
    :param max_steps: number of steps for each request; steps in the middle
        are dropped first
    """

    def __init__(
        self, max_timelines: int = MAX_TIMELINES, max_steps: int = MAX_STEPS
    ) -> None:
        self._timelines: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )
        self._max_timelines = max_timelines
        self._max_steps = max_steps

    def record(
        self, request: str, at: float, step: str, **detail: Any
    ) -> None:
        """Add a step to a request; `at` is in seconds since the epoch."""
        steps = self._timelines.setdefault(request, [])
        steps.append({"at": at, "step": step, "detail": detail})
        if len(steps) > self._max_steps:
            del steps[self._max_steps // 2]
        while len(self._timelines) > self._max_timelines:
            self._timelines.popitem(last=False)

    def find(self, request: str) -> list[Step]:
        """Return the recorded steps of a request."""
        return self._timelines.get(request, [])


__all__ = (
    "MAX_STEPS",
    "MAX_TIMELINES",
    "Journal",
    "Step",
    "Timeline",
)
