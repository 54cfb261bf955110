"""Continuous batching of the engine stand-in; callers pass the time."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import NamedTuple
from typing import TypedDict

from cyclamenwing.standin import blocks


class EngineOptions(NamedTuple):
    """Set an engine's sizes, speeds and reporting delays.

    A step takes `step_s`, plus `prefill_token_s` for each prompt token
    prefilled and `sequence_s` for each sequence decoded in the step. Every
    `event_loss_interval`-th cache event is lost; 0 loses none.
    """

    max_batch: int = 32
    prefill_chunk_tokens: int = 512
    step_s: float = 0.012
    prefill_token_s: float = 0.0001
    sequence_s: float = 0.0002
    cache_blocks: int = 4096
    event_lag_s: float = 0.0
    event_loss_interval: int = 0
    load_lag_s: float = 0.0


class GenerationRequest(NamedTuple):
    """Describe a request to the engine; lower priorities run first.

    `produced` is the number of answer tokens generated before a stream
    was resumed. If `crashes` is set, the engine crashes when the request
    joins the batch.
    """

    request: str
    priority: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int
    produced: int = 0
    crashes: bool = False


class Emission(NamedTuple):
    """Hold one generated token of a request; `number` counts from 0."""

    request: str
    number: int
    last: bool


class Load(TypedDict):
    """Report an engine's load at the time `at`."""

    at: float
    running: int
    waiting: int
    max_running: int
    cache_used: float


@dataclasses.dataclass(slots=True)
class _Sequence:
    generation: GenerationRequest
    produced: int
    prefill_left: int = 0
    planned_prefill: int = 0


class EngineCrashError(Exception):
    """Raised when a request crashes the engine."""


class BatchModel:
    """Run requests step by step in a batch of limited size.

    :param options: sizes, speeds and reporting delays
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.slow_factor = 1.0
        self.cache = blocks.BlockCache(
            options.cache_blocks,
            options.event_lag_s,
            options.event_loss_interval,
        )
        self.hit_blocks = 0
        self.requested_blocks = 0
        self._waiting: list[tuple[int, int, _Sequence]] = []
        self._batch: dict[str, _Sequence] = {}
        self._arrivals = 0
        self._loads: collections.deque[Load] = collections.deque()

    @property
    def running(self) -> int:
        """Return the number of requests in the batch."""
        return len(self._batch)

    @property
    def waiting(self) -> int:
        """Return the number of requests queued for the batch."""
        return len(self._waiting)

    def submit(self, generation: GenerationRequest, now: float) -> None:
        """Queue a request by priority, then by arrival."""
        self._arrivals += 1
        sequence = _Sequence(generation, generation.produced)
        heapq.heappush(
            self._waiting, (generation.priority, self._arrivals, sequence)
        )
        self._record_load(now)

    def cancel(self, request: str, now: float) -> None:
        """Remove a request from the batch and the queue."""
        self._batch.pop(request, None)
        remaining = [
            row
            for row in self._waiting
            if row[2].generation.request != request
        ]
        if len(remaining) != len(self._waiting):
            heapq.heapify(remaining)
            self._waiting = remaining
        self._record_load(now)

    def begin_step(self, now: float) -> float | None:
        """Plan a step and return its length in seconds; None when idle.

        :raises EngineCrashError: if an admitted request crashes the engine
        """
        self._admit_waiting(now)
        if not self._batch:
            return None
        prefill_budget = self.options.prefill_chunk_tokens
        decoding = 0
        for sequence in self._order_batch():
            sequence.planned_prefill = min(
                prefill_budget, sequence.prefill_left
            )
            prefill_budget -= sequence.planned_prefill
            decoding += sequence.prefill_left == 0
        prefilled = self.options.prefill_chunk_tokens - prefill_budget
        return self.slow_factor * (
            self.options.step_s
            + prefilled * self.options.prefill_token_s
            + decoding * self.options.sequence_s
        )

    def finish_step(self, now: float) -> list[Emission]:
        """Finish the planned step and return the tokens generated in it."""
        emissions: list[Emission] = []
        for request, sequence in list(self._batch.items()):
            if sequence.prefill_left:
                sequence.prefill_left -= sequence.planned_prefill
                sequence.planned_prefill = 0
                if sequence.prefill_left:
                    continue
                self.cache.store(sequence.generation.blocks, now)
            sequence.produced += 1
            last = sequence.produced >= sequence.generation.answer_tokens
            emissions.append(Emission(request, sequence.produced - 1, last))
            if last:
                del self._batch[request]
        self._record_load(now)
        return emissions

    def crash(self, now: float) -> list[str]:
        """Drop all requests and the cache; return the dropped requests."""
        lost = [
            *self._batch,
            *(row[2].generation.request for row in self._waiting),
        ]
        self._batch.clear()
        self._waiting.clear()
        self.cache.clear()
        self._record_load(now)
        return lost

    def read_load(self, now: float) -> Load:
        """Return the load as of `load_lag_s` before `now`."""
        due = now - self.options.load_lag_s
        while len(self._loads) > 1 and self._loads[1]["at"] <= due:
            self._loads.popleft()
        if not self._loads or self._loads[0]["at"] > due:
            return self._make_load(due, 0, 0, 0.0)
        return self._loads[0]

    def _admit_waiting(self, now: float) -> None:
        while self._waiting and len(self._batch) < self.options.max_batch:
            sequence = heapq.heappop(self._waiting)[2]
            generation = sequence.generation
            if generation.crashes:
                raise EngineCrashError(generation.request)
            self._batch[generation.request] = sequence
            matched = self.cache.match(generation.blocks)
            self.hit_blocks += matched
            self.requested_blocks += len(generation.blocks)
            uncached_share = (
                1 - matched / len(generation.blocks)
                if generation.blocks
                else 1.0
            )
            sequence.prefill_left = max(
                1, round(generation.prompt_tokens * uncached_share)
            )

    def _order_batch(self) -> list[_Sequence]:
        return sorted(
            self._batch.values(), key=lambda item: item.generation.priority
        )

    def _record_load(self, now: float) -> None:
        used = self.cache.used / self.options.cache_blocks
        self._loads.append(
            self._make_load(now, len(self._batch), len(self._waiting), used)
        )
        self.read_load(now)

    def _make_load(
        self, at: float, running: int, waiting: int, used: float
    ) -> Load:
        return {
            "at": at,
            "running": running,
            "waiting": waiting,
            "max_running": self.options.max_batch,
            "cache_used": used,
        }


__all__ = (
    "BatchModel",
    "Emission",
    "EngineCrashError",
    "EngineOptions",
    "GenerationRequest",
    "Load",
)
