"""Records and interfaces shared by the routing modules."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal
from typing import NamedTuple
from typing import Protocol
from typing import TypedDict

Priority = Literal["interactive", "batch"]
PRIORITIES: tuple[Priority, ...] = ("interactive", "batch")
# Priority numbers sent to engines, which run the lower number first.
ENGINE_PRIORITIES: dict[Priority, int] = {"interactive": 0, "batch": 1}


class Candidate(NamedTuple):
    """Describe a sidecar that may run a request.

    `load` is the number of runs in progress in the sidecar's last
    heartbeat, which arrived at `reported_at` (seconds of the local clock).
    """

    host: str
    address: str
    zone: str
    incarnation: str
    load: int
    reported_at: float


class Job(NamedTuple):
    """Describe a request to be routed.

    `prefix` holds digests of prefixes of the prompt, the shortest first.
    `deadline` is in seconds of the local clock. `tokens` is an upper
    bound on prompt and answer together. `fingerprint` identifies the
    content: it is the same for equal requests with different
    idempotency keys.
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
    """Describe an endpoint's state in its sidecar's heartbeats.

    `max_running` is 0 if the engine does not report it. `epoch` changes
    when the endpoint has lost its prefix cache. `stored` and `removed`
    hold a bounded number of prefix digests added to and evicted from the
    cache since the last heartbeat.
    """

    up: bool
    running: int
    waiting: int
    max_running: int
    epoch: int
    stored: list[int]
    removed: list[int]


class Policy(Protocol):
    """Rank candidates for jobs and learn from the outcomes."""

    def order(
        self, job: Job, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates, the best first."""

    def record_start(self, job: Job, host: str, now: float) -> None:
        """Record that a job was sent to a host."""

    def record_first_bytes(self, job: Job, host: str, now: float) -> None:
        """Record the arrival of the first bytes of a job's answer."""

    def record_end(
        self, job: Job, host: str, completed: bool, now: float
    ) -> None:
        """Record that a job ended at a host.

        :param completed: whether its whole answer arrived
        """

    def record_failure(self, host: str, now: float) -> None:
        """Record that a host failed or refused a job."""

    def receive(self, host: str, report: EndpointReport, now: float) -> None:
        """Apply an endpoint's report from its sidecar's heartbeat."""

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries, which share the endpoints' slots."""

    def count_free_slots(
        self, candidates: Sequence[Candidate], priority: Priority
    ) -> float:
        """Return how many more jobs of a priority this entry may send."""


__all__ = (
    "ENGINE_PRIORITIES",
    "PRIORITIES",
    "Candidate",
    "EndpointReport",
    "Job",
    "Policy",
    "Priority",
)
