"""Table of a sidecar's runs, with their answers, tombstones and fences."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

from cyclamenwing.request import types

ANSWER_RETENTION_S = 600.0
# As long as the ledger remembers the keys that were billed.
TOMBSTONE_RETENTION_S = 3_600.0
FENCE_RETENTION_S = 3_600.0
MAX_HELD_BYTES = 64 * 1024 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_RUNS = 20_000
MAX_FENCES = 20_000
# Memory reserved for an answer before its length is known: for each token
# of `max_tokens`, or in total if the order names no `max_tokens`.
ANSWER_BYTES_PER_TOKEN = 256
PLAIN_ANSWER_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Run:
    """Hold one run and its answer so far.

    After the answer has been dropped, the run is its key's tombstone.
    `reserved_bytes` is the memory reserved for the order's body and the
    answer until the run ends. `deadline` and `ended_at` are monotonic times
    in seconds. `expired` marks an answer that was complete and has been
    dropped, `delivered` one that a follower has received completely, and
    `followers` counts the connections that read the answer.
    """

    order: types.RunOrder
    reserved_bytes: int
    deadline: float
    phase: types.RunPhase = "queued"
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    answer: bytearray = dataclasses.field(default_factory=bytearray)
    usage: types.Usage = dataclasses.field(
        default_factory=lambda: types.Usage(prompt=0, completion=0)
    )
    refusal: types.Refusal | None = None
    ended_at: float = 0.0
    digest: str = ""
    expired: bool = False
    followers: int = 0
    delivered: bool = False

    @property
    def ended(self) -> bool:
        """Return whether the run has finished or failed."""
        return self.phase in {"done", "failed"}


class Fence(NamedTuple):
    """Refuse a key's attempts up to a number, also when they arrive late.

    `at` is the monotonic time in seconds at which the fence was last raised.
    """

    attempt: int
    at: float


@dataclasses.dataclass(slots=True)
class RunTable:
    """Hold a sidecar's runs by request key.

    `by_request` maps request ids to keys. `ended` lists ended runs whose
    answer may still be held, the oldest first. `reserved_bytes` sums up the
    reservations of unfinished runs, `held_bytes` the bodies and answers
    that are in memory.
    """

    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    fences: dict[str, Fence] = dataclasses.field(default_factory=dict)
    ended: collections.deque[Run] = dataclasses.field(
        default_factory=collections.deque
    )
    reserved_bytes: int = 0
    held_bytes: int = 0
    draining: bool = False


__all__ = (
    "ANSWER_BYTES_PER_TOKEN",
    "ANSWER_RETENTION_S",
    "FENCE_RETENTION_S",
    "MAX_ANSWER_BYTES",
    "MAX_FENCES",
    "MAX_HELD_BYTES",
    "MAX_RUNS",
    "PLAIN_ANSWER_BYTES",
    "TOMBSTONE_RETENTION_S",
    "Fence",
    "Run",
    "RunTable",
)
