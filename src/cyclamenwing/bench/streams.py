"""Load of streamed completions and the arrival times of their tokens."""

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

SILENCE_TIMEOUT_S = 10.0
SEED = 17
EVENT_END = b"\n\n"
PROMPT = "summarise the dossier of a candidate " * 20


class Target(NamedTuple):
    """Describe a URL that a load is sent to."""

    name: str
    url: str
    headers: dict[str, str]


class Timing(NamedTuple):
    """Hold the time to the first token and the gaps after it, in seconds."""

    first_s: float
    gaps_s: list[float]


class Load:
    """Send streamed completions to several targets.

    Requests to each target follow a Poisson process of the same rate.

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
        """Send to all targets at once; return the timings by target name."""
        timings_by_target = await asyncio.gather(
            *(
                self._send_all(target, rate_per_s, duration_s, number)
                for number, target in enumerate(targets)
            )
        )
        return {
            target.name: timings
            for target, timings in zip(targets, timings_by_target, strict=True)
        }

    async def send(self, target: Target) -> Timing:
        """Send one request and measure when its tokens arrive.

        :raises BenchError: when the status isn't 200 or tokens are missing
        """
        started = time.perf_counter()
        stream = self._client.open_stream(
            "POST", target.url, target.headers, self._body, SILENCE_TIMEOUT_S
        )
        arrivals: list[float] = []
        try:
            head = await stream.read_head()
            if head.status != 200:
                body = [chunk async for chunk in stream.read_chunks()]
                raise errors.BenchError(
                    f"{target.name}: status {head.status},"
                    f" body {b''.join(body)!r}"
                )
            async for chunk in stream.read_chunks():
                now = time.perf_counter()
                arrivals += [now] * chunk.count(EVENT_END)
        finally:
            stream.close()
        if len(arrivals) < self._tokens:
            raise errors.BenchError(
                f"{target.name}: stream ended after {len(arrivals)} tokens"
            )
        tokens = arrivals[: self._tokens]
        gaps = [
            later - earlier for earlier, later in itertools.pairwise(tokens)
        ]
        return Timing(tokens[0] - started, gaps)

    async def _send_all(
        self,
        target: Target,
        rate_per_s: float,
        duration_s: float,
        number: int,
    ) -> list[Timing]:
        rng = random.Random(SEED + number)
        tasks: list[asyncio.Task[Timing]] = []
        next_send_at = time.monotonic()
        ends_at = next_send_at + duration_s
        while next_send_at < ends_at:
            await asyncio.sleep(max(0.0, next_send_at - time.monotonic()))
            tasks.append(asyncio.create_task(self.send(target)))
            next_send_at += rng.expovariate(rate_per_s)
        return list(await asyncio.gather(*tasks))


def pick_percentile(values: Sequence[float], percent: float) -> float:
    """Return the value at the rounded rank of a percentile."""
    ordered = sorted(values)
    rank = max(0, min(len(ordered) - 1, round(len(ordered) * percent / 100)))
    return ordered[rank]


def flatten_gaps(timings: Sequence[Timing]) -> list[float]:
    """Return the gaps between tokens of all streams in one list."""
    return [gap for timing in timings for gap in timing.gaps_s]


def describe_load(tokens: int, rate_per_s: float) -> dict[str, Any]:
    """Return the request and token rates of a load."""
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
