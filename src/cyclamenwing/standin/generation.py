"""State of the engine stand-in and the loop that runs its batch."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from cyclamenwing.routing import prefix
from cyclamenwing.standin import batch
from cyclamenwing.standin import faults
from cyclamenwing.standin import orders

TOKEN_INTERVAL_S = 0.005
PREFILL_TOKEN_S = 0.00002
PREFILL_CHUNK_TOKENS = 2048
MAX_BATCH = 64
RESTART_DELAY_S = 5.0
CRASH_MARKER = "crash-this-engine"


class Prompt(NamedTuple):
    """Hold a parsed chat request; see `batch.GenerationRequest`."""

    request: str
    text: str
    blocks: tuple[int, ...]
    priority: int
    answer_tokens: int
    produced: int


class EngineState:
    """Hold the engine's batch, its streams and the runs by request.

    :param model: name of the model that is served
    :param table: faults by path
    :param token_interval_s: time between tokens of one stream; ignored if
        `options` are given
    :param options: sizes and speeds of the engine
    :param checks_fence: whether orders with stale fencing tokens are refused
    :param restart_delay_s: how long the engine is down after a crash
    """

    def __init__(
        self,
        model: str,
        table: faults.FaultTable,
        token_interval_s: float = TOKEN_INTERVAL_S,
        options: batch.EngineOptions | None = None,
        checks_fence: bool = False,
        restart_delay_s: float = RESTART_DELAY_S,
    ) -> None:
        self.table = table
        self.restart_delay_s = restart_delay_s
        self.orders = orders.OrderBook(model, checks_fence)
        self.batch = batch.BatchModel(
            options or make_options(token_interval_s)
        )
        self.runs: collections.Counter[str] = collections.Counter()
        self.crashes = 0
        self._streams: dict[str, asyncio.Queue[batch.Emission | None]] = {}
        self._generation_ids: dict[str, str] = {}
        self._generation_count = 0
        self._submitted = asyncio.Event()

    @property
    def model(self) -> str:
        """Return the name of the model that is served."""
        return self.orders.model

    @property
    def running(self) -> int:
        """Return the number of unfinished generations."""
        return len(self._streams)

    def open(self, prompt: Prompt) -> str:
        """Queue a prompt and return the id of its generation."""
        self._generation_count += 1
        self.runs[prompt.request] += 1
        generation_id = str(self._generation_count)
        self._generation_ids[prompt.request] = generation_id
        self._streams[generation_id] = asyncio.Queue()
        generation_request = batch.GenerationRequest(
            generation_id,
            prompt.priority,
            prompt.blocks,
            count_tokens(prompt.text),
            prompt.answer_tokens,
            prompt.produced,
            CRASH_MARKER in prompt.text,
        )
        self.batch.submit(generation_request, time.monotonic())
        self._submitted.set()
        return generation_id

    async def read(self, generation_id: str) -> batch.Emission | None:
        """Return a generation's next token; None if it was ended."""
        queue = self._streams.get(generation_id)
        return await queue.get() if queue else None

    def close(self, generation_id: str) -> None:
        """End a generation and remove it from the batch."""
        queue = self._streams.pop(generation_id, None)
        if queue is None:
            return
        queue.put_nowait(None)
        self.batch.cancel(generation_id, time.monotonic())

    def cancel(self, request: str) -> bool:
        """Cancel a request by id; return False if it is not running."""
        generation_id = self._generation_ids.get(request, "")
        if generation_id not in self._streams:
            return False
        self.close(generation_id)
        return True

    def release_request(self, request: str) -> None:
        """Forget which generation belongs to a finished request."""
        self._generation_ids.pop(request, None)

    async def run(self, restart: Callable[[], Awaitable[None]]) -> None:
        """Run batch steps until cancelled; call `restart` after a crash."""
        while True:
            try:
                length_s = self.batch.begin_step(time.monotonic())
            except batch.EngineCrashError:
                self._crash()
                await restart()
                continue
            if length_s is None:
                await self._submitted.wait()
                self._submitted.clear()
                continue
            await asyncio.sleep(length_s)
            for emission in self.batch.finish_step(time.monotonic()):
                if emission.request in self._streams:
                    self._streams[emission.request].put_nowait(emission)

    def _crash(self) -> None:
        self.crashes += 1
        self.batch.crash(time.monotonic())
        for queue in self._streams.values():
            queue.put_nowait(None)
        self._streams.clear()


def make_options(token_interval_s: float) -> batch.EngineOptions:
    """Return engine options with a time between tokens in seconds."""
    return batch.EngineOptions(
        max_batch=MAX_BATCH,
        prefill_chunk_tokens=PREFILL_CHUNK_TOKENS,
        step_s=token_interval_s,
        prefill_token_s=PREFILL_TOKEN_S,
        sequence_s=0.0,
    )


def count_tokens(text: str) -> int:
    """Return the number of tokens in a text; each word is a token."""
    return len(text.split())


def make_words(prompt: str, count: int) -> list[str]:
    """Return the answer to a prompt: its words, repeated in order."""
    words = prompt.split() or ["empty"]
    return [f"{words[i % len(words)]} " for i in range(count)]


def make_blocks(messages: list[dict[str, str]]) -> tuple[int, ...]:
    """Return the digests of a prompt's prefix cache blocks."""
    pairs = [(item.get("role", ""), item["content"]) for item in messages]
    return tuple(prefix.chain_blocks(prefix.render_prompt(pairs)))


__all__ = (
    "CRASH_MARKER",
    "EngineState",
    "Prompt",
    "count_tokens",
    "make_blocks",
    "make_options",
    "make_words",
)
