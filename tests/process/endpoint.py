"""Endpoint stand-in that a test can hold back and that counts its runs."""

from __future__ import annotations

import asyncio
import collections
import gzip
import math
from typing import Any

import msgspec
from tornado import iostream

from cyclamenwing.transport import server

WORDS = 12
PLAIN_BODY = gzip.compress("décision № 1".encode(), mtime=0)


def make_events(request: str, words: int = WORDS) -> list[bytes]:
    def make_event(choices: list[Any], **more: Any) -> bytes:
        chunk = {"id": f"chatcmpl-{request}", "choices": choices} | more
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    events = [
        make_event([{"index": 0, "delta": {"content": f"põder {i} "}}])
        for i in range(words)
    ]
    usage = {"prompt_tokens": 5, "completion_tokens": words}
    return [*events, make_event([], usage=usage), b"data: [DONE]\n\n"]


def make_answer(request: str) -> bytes:
    """Return the stream that a client gets: without the usage event."""
    events = make_events(request)
    return b"".join([*events[:WORDS], events[-1]])


class EndpointHandler(server.CodedHandler):
    def initialize(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    async def post(self) -> None:
        request = self.request.headers["X-Request-Id"]
        self._endpoint.runs[request] += 1
        try:
            if self.request.path.startswith("/v1/"):
                await self._stream(request)
            else:
                await self._answer()
        except iostream.StreamClosedError:
            self._endpoint.cancelled[request] += 1

    async def _stream(self, request: str) -> None:
        self.set_header("Content-Type", "text/event-stream")
        for number, event in enumerate(make_events(request)):
            await self._endpoint.wait_for_limit(number)
            self.write(event)
            await self.flush()

    async def _answer(self) -> None:
        await self._endpoint.wait_for_limit(0)
        self.set_status(201)
        self.set_header("Content-Type", "application/x-decision")
        self.set_header("Content-Encoding", "gzip")
        self.set_header("X-Internal", "not for callers")
        self.finish(PLAIN_BODY)


class Endpoint:
    """Serve answers, but only the first `event_limit` events of each."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.cancelled: collections.Counter[str] = collections.Counter()
        self.event_limit = math.inf
        self._limit_changed = asyncio.Condition()
        self._listener = server.Listener(
            server.make_application([
                (r"/.*", EndpointHandler, {"endpoint": self})
            ]),
            "127.0.0.1:0",
        )
        self.address = self._listener.address

    async def set_event_limit(self, event_limit: float) -> None:
        async with self._limit_changed:
            self.event_limit = event_limit
            self._limit_changed.notify_all()

    async def wait_for_limit(self, number: int) -> None:
        async with self._limit_changed:
            await self._limit_changed.wait_for(
                lambda: number < self.event_limit
            )

    async def close(self) -> None:
        await self._listener.close()
