"""Chat completions of an engine stand-in."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from tornado import iostream

from cyclamenwing.standin import batch
from cyclamenwing.standin import faults
from cyclamenwing.standin import generation
from cyclamenwing.transport import errors
from cyclamenwing.transport import server

CUT_AFTER_TOKENS = 2


class EngineHandler(server.CodedHandler):
    """Serve one call of the engine, or the fault that the table sets."""

    def initialize(self, state: generation.EngineState) -> None:
        """Take the shared state."""
        self.state = state
        self.fault: faults.Fault | None = None
        self.gone = asyncio.Event()

    async def prepare(self) -> None:
        """Apply the faults that replace a whole answer."""
        self.fault = self.state.table.match(self.request.path)
        await self.state.table.delay(self.fault)
        if self.fault is not None and self.fault["kind"] in _REPLACED:
            _REPLACED[self.fault["kind"]](self)

    def on_connection_close(self) -> None:
        """Take note that the caller went away."""
        self.gone.set()

    def cut(self) -> None:
        """Close the connection in the middle of the answer."""
        self.request.connection.stream.close()  # type: ignore[union-attr]


class ChatHandler(EngineHandler):
    """Serve ``POST /v1/chat/completions``."""

    _name = ""

    async def post(self) -> None:
        """Answer a prompt, whole or streamed."""
        if self.fault is not None and self.fault["kind"] == "silent":
            await self.gone.wait()
            return
        body = self.decode_body(dict[str, Any])
        prompt = _read_prompt(body, self.request.headers)
        self._name = self.state.open(prompt)
        try:
            await self._answer(body, prompt)
        except iostream.StreamClosedError:
            return
        finally:
            self.state.close(self._name)
            self.state.forget(prompt.request)

    def on_connection_close(self) -> None:
        """Free the place of a caller that went away."""
        super().on_connection_close()
        self.state.close(self._name)

    async def _answer(
        self, body: dict[str, Any], prompt: generation.Prompt
    ) -> None:
        words = generation.make_words(prompt.text, prompt.answer_tokens)
        counted = generation.count_tokens(prompt.text)
        usage = {
            "prompt_tokens": counted,
            "completion_tokens": len(words),
            "total_tokens": counted + len(words),
        }
        if body.get("stream"):
            await self._stream(words, usage)
        else:
            await self._collect(words[prompt.produced :], usage)

    async def _collect(self, words: list[str], usage: dict[str, int]) -> None:
        while True:
            emission = await self.state.read(self._name)
            if emission is None:
                self.cut()
                return
            if emission.last:
                break
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(words)},
            "finish_reason": "stop",
        }
        message = self._make("chat.completion", choice)
        self.write_json(message | {"usage": usage})

    async def _stream(self, words: list[str], usage: dict[str, int]) -> None:
        self.set_header("Content-Type", "text/event-stream")
        cuts = self.fault is not None and self.fault["kind"] == "cut"
        while True:
            emission = await self.state.read(self._name)
            if emission is None or (cuts and _is_cut(emission)):
                self.cut()
                return
            delta = {"index": 0, "delta": {"content": words[emission.number]}}
            await self._send(self._make("chat.completion.chunk", delta))
            if emission.last:
                break
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
            "model": self.state.model,
            "choices": [choice] if choice else [],
        }


def _is_cut(emission: batch.Emission) -> bool:
    return emission.number >= CUT_AFTER_TOKENS


def _read_prompt(body: dict[str, Any], headers: Any) -> generation.Prompt:
    try:
        messages = msgspec.convert(body["messages"], list[dict[str, Any]])
        text = " ".join(message["content"] for message in messages)
        blocks = generation.make_blocks(messages)
    except (KeyError, TypeError, msgspec.ValidationError) as err:
        raise errors.MalformedMessageError(f"messages: {err}") from err
    return generation.Prompt(
        headers.get("X-Request-Id", ""),
        text,
        blocks,
        int(body.get("priority", 0)),
        int(body.get("max_tokens", 16)),
        int(body.get("resume_tokens", 0)),
    )


def _answer_down(handler: EngineHandler) -> None:
    handler.set_status(503)
    handler.write_json({"error": {"message": "unavailable"}})


def _answer_garbage(handler: EngineHandler) -> None:
    handler.set_header("Content-Type", "application/json")
    handler.finish(b'{"choices": [\xff')


_REPLACED = {
    "down": _answer_down,
    "garbage": _answer_garbage,
}

__all__ = (
    "ChatHandler",
    "EngineHandler",
)
