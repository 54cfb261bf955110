"""What callers, endpoints and the soak itself saw in one run."""

from __future__ import annotations

import collections
import dataclasses
import json
import math
import pathlib
import time
from typing import NamedTuple


class Run(NamedTuple):
    """Hold a request that an endpoint began to run."""

    request_id: str
    endpoint: str
    time_s: float


@dataclasses.dataclass(slots=True)
class Request:
    """Hold a request as its caller saw it.

    :param task: the caller's task; a retry has the same one
    :param process: serial number of the gateway's process
    :param status: 0 if no answer began
    :param whole: the answer was framed completely
    :param fault: what is wrong with the content of the answer
    :param timed_out: the caller gave up
    :param begun_by: the request that brought the first event of its stream,
        empty if this one may bring it
    :param events_before: events that the caller had of that stream
    :param software: versions that its own events name
    """

    request_id: str
    task: str
    gateway: int
    process: int
    route: str
    version: int
    workspace: str
    prompt_tokens: int
    sent_s: float
    deadline_s: float
    reused: bool
    end_s: float = 0.0
    status: int = 0
    whole: bool = False
    timed_out: bool = False
    events: int = 0
    fault: str = ""
    cause: str = ""
    begun_by: str = ""
    events_before: int = 0
    software: tuple[str, ...] = ()

    @property
    def ended(self) -> bool:
        """Return whether the caller expects nothing more."""
        return self.end_s > 0


@dataclasses.dataclass(slots=True)
class Window:
    """Hold the time of one fault; `end_s` is 0 until it ends."""

    kind: str
    target: str
    begin_s: float
    end_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Process:
    """Hold the life of a gateway's process; times are 0 until then."""

    gateway: int
    number: int
    started_s: float
    terminated_s: float = 0.0
    killed_s: float = 0.0
    ended_s: float = 0.0
    exit_code: int | None = None
    max_fds: int = 0
    max_memory_mb: float = 0.0


class Payment(NamedTuple):
    """Hold the prepaid tokens of a workspace from a moment on."""

    workspace: str
    time_s: float
    tokens: int


class Finding(NamedTuple):
    """Hold a promise that was seen broken."""

    check: str
    time_s: float
    gateway: int
    request_id: str
    detail: str


class Trace:
    """Collect what was seen; times are seconds since the start."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self.requests: list[Request] = []
        self.runs: dict[str, list[Run]] = {}
        # Requests that reached an endpoint, run or not.
        self.arrivals: list[Run] = []
        # Rate that an endpoint named.
        self.limits: dict[str, float] = {}
        self.windows: list[Window] = []
        self.processes: list[Process] = []
        self.payments: list[Payment] = []
        self.findings: list[Finding] = []
        self.max_lag_s = 0.0
        # Until then it is known when the soak itself did not run.
        self.lags_known_s = math.inf
        self._lags: list[tuple[float, float]] = []

    def read_time(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def open_window(self, kind: str, target: str) -> Window:
        """Record the begin of a fault."""
        window = Window(kind, target, self.read_time())
        self.windows.append(window)
        return window

    def close_window(self, window: Window) -> None:
        """Record the end of a fault."""
        window.end_s = self.read_time()

    def find_windows(
        self, prefixes: tuple[str, ...], begin_s: float, end_s: float
    ) -> list[Window]:
        """Return the faults of some kinds that overlap a time."""
        return [
            w
            for w in self.windows
            if w.kind.startswith(prefixes)
            and w.begin_s <= end_s
            and (not w.end_s or w.end_s >= begin_s)
        ]

    def record_lag(self, slept_s: float, expected_s: float) -> None:
        """Record how late the soak's own process resumed after a sleep."""
        now_s = self.read_time()
        lag_s = now_s - slept_s - expected_s
        self.lags_known_s = now_s
        self.max_lag_s = max(self.max_lag_s, lag_s)
        if lag_s > expected_s:
            self._lags.append((now_s, lag_s))

    def begin_lags(self) -> None:
        """Record that stalls are measured from now on."""
        self.lags_known_s = self.read_time()

    def end_lags(self) -> None:
        """Record that nothing more is measured."""
        self.lags_known_s = math.inf

    def count_lag(self, begin_s: float, end_s: float) -> float:
        """Return the time in which the soak itself did not run."""
        return sum(
            lag_s
            for resumed_s, lag_s in self._lags
            if resumed_s >= begin_s and resumed_s - lag_s <= end_s
        )

    def record_arrival(self, request_id: str, endpoint: str) -> None:
        """Record that a request has reached an endpoint."""
        self.arrivals.append(Run(request_id, endpoint, self.read_time()))

    def record_run(self, request_id: str, endpoint: str) -> None:
        """Record that an endpoint begins to run a request."""
        run = Run(request_id, endpoint, self.read_time())
        self.runs.setdefault(request_id, []).append(run)

    def save(self, path: pathlib.Path) -> None:
        """Write everything as JSON lines, for tracing a finding."""
        lines = [
            {"kind": type(item).__name__} | dataclasses.asdict(item)
            for items in (self.processes, self.windows, self.requests)
            for item in items
        ]
        lines += [
            {"kind": "Run"} | run._asdict()
            for runs in self.runs.values()
            for run in runs
        ]
        lines += [
            {"kind": "Lag", "end_s": t, "lag_s": s} for t, s in self._lags
        ]
        path.write_text("".join(json.dumps(line) + "\n" for line in lines))

    def count_faults(self) -> dict[str, int]:
        """Return the number of faults by kind."""
        return dict(
            sorted(collections.Counter(w.kind for w in self.windows).items())
        )

    def count_statuses(self) -> dict[str, int]:
        """Return the number of requests by answer."""
        return dict(
            sorted(
                collections.Counter(
                    describe_answer(r) for r in self.requests if r.ended
                ).items()
            )
        )


def describe_answer(request: Request) -> str:
    """Return the status of a request, or why there is none."""
    if request.status:
        return f"{request.status}{'' if request.whole else ' cut'}"
    return "timed out" if request.timed_out else "none"


__all__ = (
    "Finding",
    "Payment",
    "Process",
    "Request",
    "Run",
    "Trace",
    "Window",
    "describe_answer",
)
