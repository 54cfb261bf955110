"""Records of routing."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal
from typing import NamedTuple
from typing import Protocol
from typing import TypedDict

Priority = Literal["interactive", "batch"]
PRIORITIES: tuple[Priority, ...] = ("interactive", "batch")
# An engine runs the lower number first.
ENGINE_PRIORITIES: dict[Priority, int] = {"interactive": 0, "batch": 1}


class Candidate(NamedTuple):
    """Describe a sidecar that may run a request.

    `load` is its runs in progress as reported at `reported_at`, in seconds
    of the local clock.
    """

    host: str
    address: str
    zone: str
    incarnation: str
    load: int
    reported_at: float


class Job(NamedTuple):
    """Describe a request as routing sees it.

    `prefix` holds digests of the prompt's growing prefixes, the
    shortest first; `deadline` is in seconds of the local clock; `tokens`
    bounds prompt and answer; `fingerprint` is the same for equal
    requests whatever their keys.
    """

    request: str
    workspace: str
    route: str
    priority: Priority
    prefix: tuple[int, ...]
    deadline: float
    fingerprint: str
    tokens: int


class EndpointReport(TypedDict):
    """Report an endpoint on its sidecar's heartbeats.

    `max_running` is 0 for an engine that does not tell it; `epoch` changes
    when the cache was lost; `stored` and `removed` hold
    prefix digests since the last heartbeat, as many as its bound allows.
    """

    up: bool
    running: int
    waiting: int
    max_running: int
    epoch: int
    stored: list[int]
    removed: list[int]


class Policy(Protocol):
    """Order candidates for a job and learn from what became of it."""

    def order(
        self, job: Job, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates, the best first."""

    def note_start(self, job: Job, host: str, now: float) -> None:
        """Take note that a job was sent to a host."""

    def note_first(self, job: Job, host: str, now: float) -> None:
        """Take note of the first bytes of a job's answer."""

    def note_end(
        self, job: Job, host: str, completed: bool, now: float
    ) -> None:
        """Take note that a job left a host."""

    def note_failure(self, host: str, now: float) -> None:
        """Take note that a host failed or refused a job."""

    def hear(self, host: str, report: EndpointReport, now: float) -> None:
        """Take over an endpoint's report."""

    def set_entry_count(self, count: int) -> None:
        """Take note of how many entries share the candidates' places."""

    def count_free_slots(
        self, candidates: Sequence[Candidate], priority: Priority
    ) -> float:
        """Return how many more jobs of a priority may be sent."""


__all__ = (
    "ENGINE_PRIORITIES",
    "PRIORITIES",
    "Candidate",
    "EndpointReport",
    "Job",
    "Policy",
    "Priority",
)
