"""State of an engine stand-in and the loop that steps its batch."""

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
DOWN_S = 5.0
CRASH_MARKER = "crash-this-engine"


class Prompt(NamedTuple):
    """Hold what a request asks the engine for."""

    request: str
    text: str
    blocks: tuple[int, ...]
    priority: int
    answer_tokens: int
    produced: int


class EngineState:
    """Hold the engine's batch and the count of runs by request.

    :param model: name that the engine answers to
    :param table: faults by path
    :param token_interval_s: time between tokens of one stream
    :param options: sizes and speeds instead of those of the interval
    :param checks_fence: whether old fencing numbers are refused
    :param restart_delay_s: how long the engine is down after a crash
    """

    def __init__(
        self,
        model: str,
        table: faults.FaultTable,
        token_interval_s: float = TOKEN_INTERVAL_S,
        options: batch.EngineOptions | None = None,
        checks_fence: bool = False,
        restart_delay_s: float = DOWN_S,
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
        self._names: dict[str, str] = {}
        self._started = 0
        self._wake = asyncio.Event()

    @property
    def model(self) -> str:
        """Return the name that the engine answers to."""
        return self.orders.model

    @property
    def running(self) -> int:
        """Return the number of requests that the engine holds."""
        return len(self._streams)

    def open(self, prompt: Prompt) -> str:
        """Queue a prompt and return the name of its generation."""
        self._started += 1
        self.runs[prompt.request] += 1
        name = str(self._started)
        self._names[prompt.request] = name
        self._streams[name] = asyncio.Queue()
        work = batch.GenerationRequest(
            name,
            prompt.priority,
            prompt.blocks,
            count_tokens(prompt.text),
            prompt.answer_tokens,
            prompt.produced,
            CRASH_MARKER in prompt.text,
        )
        self.batch.submit(work, time.monotonic())
        self._wake.set()
        return name

    async def read(self, name: str) -> batch.Emission | None:
        """Return the generation's next token; None after a crash."""
        queue = self._streams.get(name)
        return await queue.get() if queue else None

    def close(self, name: str) -> None:
        """Free a generation's place."""
        queue = self._streams.pop(name, None)
        if queue is None:
            return
        queue.put_nowait(None)
        self.batch.cancel(name, time.monotonic())

    def cancel(self, request: str) -> bool:
        """Cancel a request by its id; False if it does not run."""
        name = self._names.get(request, "")
        if name not in self._streams:
            return False
        self.close(name)
        return True

    def forget(self, request: str) -> None:
        """Drop a request's name at its end."""
        self._names.pop(request, None)

    async def run(self, restart: Callable[[], Awaitable[None]]) -> None:
        """Step the batch for ever; `restart` follows a crash."""
        while True:
            try:
                length_s = self.batch.begin_step(time.monotonic())
            except batch.EngineCrashError:
                self._crash()
                await restart()
                continue
            if length_s is None:
                await self._wake.wait()
                self._wake.clear()
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
    """Return options for a time between tokens in seconds."""
    return batch.EngineOptions(
        max_batch=MAX_BATCH,
        prefill_chunk_tokens=PREFILL_CHUNK_TOKENS,
        step_s=token_interval_s,
        prefill_token_s=PREFILL_TOKEN_S,
        sequence_s=0.0,
    )


def count_tokens(text: str) -> int:
    """Return the tokens of a text; each word is one."""
    return len(text.split())


def make_words(prompt: str, count: int) -> list[str]:
    """Return the words that the engine answers to a prompt."""
    seeds = prompt.split() or ["empty"]
    return [f"{seeds[i % len(seeds)]} " for i in range(count)]


def make_blocks(messages: list[dict[str, str]]) -> tuple[int, ...]:
    """Return the digests of a prompt's cache blocks."""
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
