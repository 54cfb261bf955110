"""Load of streamed completions, and the times at which tokens arrive."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing.bench import errors
from cyclamenwing.transport import protocol as transport

SILENCE_S = 10.0
SEED = 17
EVENT_END = b"\n\n"
PROMPT = "summarise the dossier of a candidate " * 20


class Target(NamedTuple):
    """Describe where a load goes."""

    name: str
    url: str
    headers: dict[str, str]


class Timing(NamedTuple):
    """Hold one stream's times in seconds."""

    first_s: float
    gaps_s: list[float]


class Load:
    """Send streamed completions at a steady rate to several targets.

    :param client: HTTP client
    :param model: model to ask for
    :param tokens: tokens of each answer
    """

    def __init__(
        self, client: transport.Client, model: str, tokens: int
    ) -> None:
        self._client = client
        self._tokens = tokens
        self._body = msgspec.json.encode({
            "model": model,
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": PROMPT}],
        })

    async def run(
        self, targets: Sequence[Target], rate_per_s: float, duration_s: float
    ) -> dict[str, list[Timing]]:
        """Send to all targets side by side; return the times of each."""
        found = await asyncio.gather(
            *(
                self._send_all(target, rate_per_s, duration_s, number)
                for number, target in enumerate(targets)
            )
        )
        return {
            target.name: timings
            for target, timings in zip(targets, found, strict=True)
        }

    async def send(self, target: Target) -> Timing:
        """Send one request and time its tokens."""
        started = time.perf_counter()
        stream = self._client.open_stream(
            "POST", target.url, target.headers, self._body, SILENCE_S
        )
        arrivals: list[float] = []
        try:
            head = await stream.read_head()
            if head.status != 200:
                text = [chunk async for chunk in stream.read_chunks()]
                raise errors.BenchError(
                    f"{target.name}: {head.status} {b''.join(text)!r}"
                )
            async for chunk in stream.read_chunks():
                now = time.perf_counter()
                arrivals += [now] * chunk.count(EVENT_END)
        finally:
            stream.close()
        if len(arrivals) < self._tokens:
            raise errors.BenchError(f"{target.name}: {len(arrivals)} tokens")
        tokens = arrivals[: self._tokens]
        gaps = [later - sooner for sooner, later in itertools.pairwise(tokens)]
        return Timing(tokens[0] - started, gaps)

    async def _send_all(
        self,
        target: Target,
        rate_per_s: float,
        duration_s: float,
        number: int,
    ) -> list[Timing]:
        source = random.Random(SEED + number)
        tasks: list[asyncio.Task[Timing]] = []
        due = time.monotonic()
        ends_at = due + duration_s
        while due < ends_at:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(target)))
            due += source.expovariate(rate_per_s)
        return list(await asyncio.gather(*tasks))


def pick_percentile(values: Sequence[float], percent: float) -> float:
    """Return a percentile of values by nearest rank."""
    ranked = sorted(values)
    place = max(0, min(len(ranked) - 1, round(len(ranked) * percent / 100)))
    return ranked[place]


def flatten_gaps(timings: Sequence[Timing]) -> list[float]:
    """Return the gaps between tokens of all streams."""
    return [gap for timing in timings for gap in timing.gaps_s]


def describe_load(tokens: int, rate_per_s: float) -> dict[str, Any]:
    """Return what a load asks for."""
    return {
        "requests_per_s": rate_per_s,
        "tokens_per_s": rate_per_s * tokens,
        "tokens_per_request": tokens,
    }


__all__ = (
    "Load",
    "Target",
    "Timing",
    "describe_load",
    "flatten_gaps",
    "pick_percentile",
)
