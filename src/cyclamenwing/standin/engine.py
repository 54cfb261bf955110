"""Stand-in of a model engine with the chat-completions API."""

from __future__ import annotations

import asyncio
import collections
from typing import Any

import msgspec
from tornado import iostream

from cyclamenwing.standin import faults
from cyclamenwing.transport import server

TOKEN_INTERVAL_S = 0.005
MAX_BATCH = 64


class EngineState:
    """Hold the engine's batch and the count of runs by request.

    :param model: name that the engine answers to
    :param table: faults by path
    :param token_interval_s: time between tokens of one stream
    """

    def __init__(
        self,
        model: str,
        table: faults.FaultTable,
        token_interval_s: float = TOKEN_INTERVAL_S,
    ) -> None:
        self.model = model
        self.table = table
        self.token_interval_s = token_interval_s
        self.slots = asyncio.Semaphore(MAX_BATCH)
        self.running = 0
        self.runs: collections.Counter[str] = collections.Counter()


def make_words(prompt: str, count: int) -> list[str]:
    """Return the words that the engine answers to a prompt."""
    seeds = prompt.split() or ["empty"]
    return [f"{seeds[i % len(seeds)]} " for i in range(count)]


class ChatHandler(server.CodedHandler):
    """Serve ``POST /v1/chat/completions``."""

    def initialize(self, state: EngineState) -> None:
        """Take the shared state."""
        self._state = state

    async def post(self) -> None:
        """Answer a prompt, whole or streamed."""
        body = self.decode_body(dict[str, Any])
        self._state.runs[self.request.headers.get("X-Request-Id", "")] += 1
        async with self._state.slots:
            self._state.running += 1
            try:
                await self._answer(body)
            except iostream.StreamClosedError:
                return
            finally:
                self._state.running -= 1

    async def _answer(self, body: dict[str, Any]) -> None:
        prompt = " ".join(m["content"] for m in body["messages"])
        words = make_words(prompt, int(body.get("max_tokens", 16)))
        usage = {
            "prompt_tokens": len(prompt.split()),
            "completion_tokens": len(words),
            "total_tokens": len(prompt.split()) + len(words),
        }
        if body.get("stream"):
            await self._stream(words, usage)
            return
        await asyncio.sleep(self._state.token_interval_s * len(words))
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(words)},
            "finish_reason": "stop",
        }
        self.write_json(
            self._make("chat.completion", choice) | {"usage": usage}
        )

    async def _stream(self, words: list[str], usage: dict[str, int]) -> None:
        self.set_header("Content-Type", "text/event-stream")
        for word in words:
            await asyncio.sleep(self._state.token_interval_s)
            delta = {"index": 0, "delta": {"content": word}}
            await self._send(self._make("chat.completion.chunk", delta))
        last = {"index": 0, "delta": {}, "finish_reason": "stop"}
        await self._send(self._make("chat.completion.chunk", last))
        closing = self._make("chat.completion.chunk", None)
        await self._send(closing | {"usage": usage})
        self.write(b"data: [DONE]\n\n")
        self.finish()

    async def _send(self, message: object) -> None:
        self.write(b"data: " + msgspec.json.encode(message) + b"\n\n")
        await self.flush()

    def _make(self, kind: str, choice: object) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{self.request.headers.get('X-Request-Id', '')}",
            "object": kind,
            "model": self._state.model,
            "choices": [choice] if choice else [],
        }


class EngineStandin:
    """Serve the engine API on one address.

    :param address: ``ip:port`` to bind
    :param state: the engine's state
    """

    def __init__(self, address: str, state: EngineState) -> None:
        self.state = state
        self._listener = server.Listener(
            server.make_application([
                (r"/v1/chat/completions", ChatHandler, {"state": state}),
            ]),
            address,
        )
        self.address = self._listener.address

    async def close(self) -> None:
        """Stop serving."""
        await self._listener.close()


__all__ = (
    "EngineStandin",
    "EngineState",
    "make_words",
)
