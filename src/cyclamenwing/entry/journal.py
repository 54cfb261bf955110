"""Courses of recent requests, for `explain`."""

from __future__ import annotations

import collections
from typing import Any
from typing import TypedDict

MAX_COURSES = 20_000


class Step(TypedDict):
    """Record one step of a request."""

    at: float
    step: str
    detail: dict[str, Any]


class Course(TypedDict):
    """Record all steps of a request at one entry."""

    request: str
    entry: str
    steps: list[Step]


class Journal:
    """Keep the courses of the latest requests in bounded memory."""

    def __init__(self) -> None:
        self._courses: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )

    def note(self, request: str, at: float, step: str, **detail: Any) -> None:
        """Add a step; `at` is in seconds since the epoch."""
        steps = self._courses.setdefault(request, [])
        steps.append({"at": at, "step": step, "detail": detail})
        while len(self._courses) > MAX_COURSES:
            self._courses.popitem(last=False)

    def find(self, request: str) -> list[Step]:
        """Return the steps of a request."""
        return self._courses.get(request, [])


__all__ = (
    "MAX_COURSES",
    "Course",
    "Journal",
    "Step",
)
