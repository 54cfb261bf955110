"""Runs and answers that a sidecar holds."""

from __future__ import annotations

import collections
import dataclasses
from typing import NamedTuple

from cyclamenwing.request import types

ANSWER_RETENTION_S = 600.0
TOMBSTONE_RETENTION_S = 3_600.0
FENCE_RETENTION_S = 3_600.0
MAX_HELD_BYTES = 64 * 1024 * 1024
MAX_RUN_BYTES = 8 * 1024 * 1024
MAX_RUNS = 20_000
MAX_FENCES = 20_000
EVENT_BYTES = 256
PLAIN_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Run:
    """Hold one run and the answer so far.

    `booked` bytes are set aside for the order and the answer while the
    run lasts; `expired` marks an answer that was dropped, `delivered`
    one that a follower has whole.
    """

    order: types.RunOrder
    booked: int
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
        """Tell whether the run came to an end."""
        return self.phase in {"done", "failed"}


class Fence(NamedTuple):
    """Bar a key's attempts up to a number from ever running here."""

    attempt: int
    at: float


@dataclasses.dataclass(slots=True)
class RunTable:
    """Hold a sidecar's runs by request key."""

    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    fences: dict[str, Fence] = dataclasses.field(default_factory=dict)
    ended: collections.deque[Run] = dataclasses.field(
        default_factory=collections.deque
    )
    booked_bytes: int = 0
    held_bytes: int = 0
    draining: bool = False


__all__ = (
    "EVENT_BYTES",
    "FENCE_RETENTION_S",
    "MAX_FENCES",
    "MAX_HELD_BYTES",
    "MAX_RUNS",
    "MAX_RUN_BYTES",
    "PLAIN_BYTES",
    "ANSWER_RETENTION_S",
    "TOMBSTONE_RETENTION_S",
    "Fence",
    "Run",
    "RunTable",
)
