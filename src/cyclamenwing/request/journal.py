"""Courses of recent requests, for `explain`."""

from __future__ import annotations

import collections
from typing import Any
from typing import TypedDict

MAX_COURSES = 10_000
MAX_STEPS = 40


class Step(TypedDict):
    """Record one step of a request."""

    at: float
    step: str
    detail: dict[str, Any]


class Timeline(TypedDict):
    """Record all steps of a request at one process."""

    request: str
    host: str
    steps: list[Step]


class Journal:
    """Keep the courses of the latest requests in bounded memory.

    :param max_courses: requests that are kept
    :param max_steps: steps of a request that are kept, the first and
        the latest
    """

    def __init__(
        self, max_courses: int = MAX_COURSES, max_steps: int = MAX_STEPS
    ) -> None:
        self._courses: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )
        self._max_courses = max_courses
        self._max_steps = max_steps

    def record(
        self, request: str, at: float, step: str, **detail: Any
    ) -> None:
        """Add a step; `at` is in seconds since the epoch."""
        steps = self._courses.setdefault(request, [])
        steps.append({"at": at, "step": step, "detail": detail})
        if len(steps) > self._max_steps:
            del steps[self._max_steps // 2]
        while len(self._courses) > self._max_courses:
            self._courses.popitem(last=False)

    def find(self, request: str) -> list[Step]:
        """Return the steps of a request."""
        return self._courses.get(request, [])


__all__ = (
    "MAX_COURSES",
    "MAX_STEPS",
    "Timeline",
    "Journal",
    "Step",
)
