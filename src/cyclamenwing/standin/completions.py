"""Chat completions handler of the engine stand-in."""

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
    """Serve one engine call and apply the fault chosen by the table."""

    def initialize(self, state: generation.EngineState) -> None:
        """Store the state that all handlers share."""
        self.state = state
        self.fault: faults.Fault | None = None
        self.disconnected = asyncio.Event()

    async def prepare(self) -> None:
        """Choose the call's fault; apply it if it replaces the answer."""
        self.fault = self.state.table.match(self.request.path)
        await self.state.table.delay(self.fault)
        if (
            self.fault is not None
            and self.fault["kind"] in _WHOLE_ANSWER_FAULTS
        ):
            _WHOLE_ANSWER_FAULTS[self.fault["kind"]](self)

    def on_connection_close(self) -> None:
        """Record that the client closed the connection."""
        self.disconnected.set()

    def close_connection(self) -> None:
        """Close the connection before the answer is complete."""
        self.request.connection.stream.close()  # type: ignore[union-attr]


class ChatHandler(EngineHandler):
    """Serve ``POST /v1/chat/completions``."""

    _generation_id = ""

    async def post(self) -> None:
        """Answer a prompt as one message or as a stream."""
        if self.fault is not None and self.fault["kind"] == "silent":
            await self.disconnected.wait()
            return
        body = self.decode_body(dict[str, Any])
        prompt = _parse_prompt(body, self.request.headers)
        self._generation_id = self.state.open(prompt)
        try:
            await self._answer(body, prompt)
        except iostream.StreamClosedError:
            return
        finally:
            self.state.close(self._generation_id)
            self.state.release_request(prompt.request)

    def on_connection_close(self) -> None:
        """Cancel the generation when the client disconnects."""
        super().on_connection_close()
        self.state.close(self._generation_id)

    async def _answer(
        self, body: dict[str, Any], prompt: generation.Prompt
    ) -> None:
        words = generation.make_words(prompt.text, prompt.answer_tokens)
        prompt_tokens = generation.count_tokens(prompt.text)
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(words),
            "total_tokens": prompt_tokens + len(words),
        }
        if body.get("stream"):
            await self._stream(words, usage)
        else:
            await self._send_whole(words[prompt.produced :], usage)

    async def _send_whole(
        self, words: list[str], usage: dict[str, int]
    ) -> None:
        while True:
            emission = await self.state.read(self._generation_id)
            if emission is None:
                self.close_connection()
                return
            if emission.last:
                break
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": "".join(words)},
            "finish_reason": "stop",
        }
        message = self._make_message("chat.completion", choice)
        self.write_json(message | {"usage": usage})

    async def _stream(self, words: list[str], usage: dict[str, int]) -> None:
        self.set_header("Content-Type", "text/event-stream")
        cut_stream = self.fault is not None and self.fault["kind"] == "cut"
        while True:
            emission = await self.state.read(self._generation_id)
            if emission is None or (cut_stream and _is_past_cut(emission)):
                self.close_connection()
                return
            delta = {"index": 0, "delta": {"content": words[emission.number]}}
            await self._send(
                self._make_message("chat.completion.chunk", delta)
            )
            if emission.last:
                break
        final_choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
        await self._send(
            self._make_message("chat.completion.chunk", final_choice)
        )
        usage_chunk = self._make_message("chat.completion.chunk", None)
        await self._send(usage_chunk | {"usage": usage})
        self.write(b"data: [DONE]\n\n")
        self.finish()

    async def _send(self, message: object) -> None:
        self.write(b"data: " + msgspec.json.encode(message) + b"\n\n")
        await self.flush()

    def _make_message(self, kind: str, choice: object) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{self.request.headers.get('X-Request-Id', '')}",
            "object": kind,
            "model": self.state.model,
            "choices": [choice] if choice else [],
        }


def _is_past_cut(emission: batch.Emission) -> bool:
    return emission.number >= CUT_AFTER_TOKENS


def _parse_prompt(body: dict[str, Any], headers: Any) -> generation.Prompt:
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


def _send_unavailable(handler: EngineHandler) -> None:
    handler.set_status(503)
    handler.write_json({"error": {"message": "unavailable"}})


def _send_garbage(handler: EngineHandler) -> None:
    handler.set_header("Content-Type", "application/json")
    handler.finish(b'{"choices": [\xff')


_WHOLE_ANSWER_FAULTS = {
    "down": _send_unavailable,
    "garbage": _send_garbage,
}

__all__ = (
    "ChatHandler",
    "EngineHandler",
)
