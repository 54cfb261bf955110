"""Records of routing."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple
from typing import Protocol

Priority = Literal["interactive", "batch"]


class Candidate(NamedTuple):
    """Describe a sidecar that may run a request."""

    host: str
    address: str
    zone: str
    incarnation: str
    load: int


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


class Policy(Protocol):
    """Order candidates for a job."""

    def order(
        self, job: Job, candidates: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the candidates, the best first."""

    def note_start(self, job: Job, host: str, now: float) -> None:
        """Take note that a job was sent to a host."""

    def note_end(self, job: Job, host: str, now: float) -> None:
        """Take note that a job left a host."""


__all__ = (
    "Candidate",
    "Job",
    "Policy",
    "Priority",
)
