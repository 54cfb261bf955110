"""Continuous batching of an engine stand-in, without a clock."""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import NamedTuple
from typing import TypedDict

from cyclamenwing.standin import blocks


class EngineOptions(NamedTuple):
    """Set an engine's sizes, speeds and lags.

    A step takes `step_s`, and more for each prompt token prefilled and
    each sequence decoded in it. Every `event_loss_interval`-th cache event
    is lost.
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
    """Describe a request to the engine; a lower priority goes first.

    `produced` tokens of the answer exist already when a stream resumes;
    a request that `crashes` takes the engine down with it.
    """

    request: str
    priority: int
    blocks: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int
    produced: int = 0
    crashes: bool = False


class Emission(NamedTuple):
    """Tell of one token of a request's answer."""

    request: str
    number: int
    last: bool


class Load(TypedDict):
    """Report an engine's load as it was at a time."""

    at: float
    running: int
    waiting: int
    max_running: int
    cache_used: float


@dataclasses.dataclass(slots=True)
class _Sequence:
    work: GenerationRequest
    produced: int
    prefill_left: int = 0
    planned: int = 0


class EngineCrashError(Exception):
    """Report that a request crashed the engine."""


class BatchModel:
    """Run requests step by step in a bounded batch.

    :param options: sizes, speeds and lags
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
        """Return the number of requests that wait for a place."""
        return len(self._waiting)

    def submit(self, work: GenerationRequest, now: float) -> None:
        """Queue a request by its priority."""
        self._arrivals += 1
        made = _Sequence(work, work.produced)
        heapq.heappush(self._waiting, (work.priority, self._arrivals, made))
        self._note_load(now)

    def cancel(self, request: str, now: float) -> None:
        """Free a request's place."""
        self._batch.pop(request, None)
        kept = [row for row in self._waiting if row[2].work.request != request]
        if len(kept) != len(self._waiting):
            heapq.heapify(kept)
            self._waiting = kept
        self._note_load(now)

    def begin_step(self, now: float) -> float | None:
        """Plan a step and return its length in seconds; None when idle.

        Raise `EngineCrashError` when a request takes the engine down.
        """
        self._fill(now)
        if not self._batch:
            return None
        room = self.options.prefill_chunk_tokens
        decoding = 0
        for sequence in self._order_batch():
            sequence.planned = min(room, sequence.prefill_left)
            room -= sequence.planned
            decoding += sequence.prefill_left == 0
        prefilled = self.options.prefill_chunk_tokens - room
        return self.slow_factor * (
            self.options.step_s
            + prefilled * self.options.prefill_token_s
            + decoding * self.options.sequence_s
        )

    def finish_step(self, now: float) -> list[Emission]:
        """End the planned step and return the tokens that it made."""
        made: list[Emission] = []
        for request, sequence in list(self._batch.items()):
            if sequence.prefill_left:
                sequence.prefill_left -= sequence.planned
                sequence.planned = 0
                if sequence.prefill_left:
                    continue
                self.cache.store(sequence.work.blocks, now)
            sequence.produced += 1
            last = sequence.produced >= sequence.work.answer_tokens
            made.append(Emission(request, sequence.produced - 1, last))
            if last:
                del self._batch[request]
        self._note_load(now)
        return made

    def crash(self, now: float) -> list[str]:
        """Lose all requests and the cache; return the requests lost."""
        lost = [*self._batch, *(row[2].work.request for row in self._waiting)]
        self._batch.clear()
        self._waiting.clear()
        self.cache.clear()
        self._note_load(now)
        return lost

    def read_load(self, now: float) -> Load:
        """Return the load as it was before the lag."""
        due = now - self.options.load_lag_s
        while len(self._loads) > 1 and self._loads[1]["at"] <= due:
            self._loads.popleft()
        if not self._loads or self._loads[0]["at"] > due:
            return self._make_load(due, 0, 0, 0.0)
        return self._loads[0]

    def _fill(self, now: float) -> None:
        while self._waiting and len(self._batch) < self.options.max_batch:
            sequence = heapq.heappop(self._waiting)[2]
            work = sequence.work
            if work.crashes:
                raise EngineCrashError(work.request)
            self._batch[work.request] = sequence
            matched = self.cache.match(work.blocks)
            self.hit_blocks += matched
            self.requested_blocks += len(work.blocks)
            fresh = 1 - matched / len(work.blocks) if work.blocks else 1.0
            sequence.prefill_left = max(1, round(work.prompt_tokens * fresh))

    def _order_batch(self) -> list[_Sequence]:
        return sorted(
            self._batch.values(), key=lambda item: item.work.priority
        )

    def _note_load(self, now: float) -> None:
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
