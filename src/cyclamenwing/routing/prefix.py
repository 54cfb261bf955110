"""Digests of a prompt's growing prefixes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

import msgspec
import xxhash

BLOCK_BYTES = 256
DIGEST_BITS = 32
# Block counts at which a prefix is digested; each is at most twice the last.
ANCHORS = (1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256)


class _Message(msgspec.Struct):
    role: Any = ""
    content: Any = ""


class _Chat(msgspec.Struct):
    messages: list[_Message] = []


def render_prompt(messages: Iterable[tuple[Any, Any]]) -> bytes:
    """Return the bytes of a prompt from its roles and contents."""
    return b"".join(
        f"{role}\0{content}\0".encode(errors="replace")
        for role, content in messages
    )


def chain_blocks(prompt: bytes) -> list[int]:
    """Return one digest a whole block, each over all bytes so far."""
    limit = min(len(prompt) // BLOCK_BYTES, ANCHORS[-1])
    state = xxhash.xxh64()
    digests: list[int] = []
    for number in range(limit):
        start = number * BLOCK_BYTES
        state.update(prompt[start : start + BLOCK_BYTES])
        digests.append(state.intdigest() >> (64 - DIGEST_BITS))
    return digests


def pick_anchors(blocks: Sequence[int]) -> tuple[int, ...]:
    """Return the digests at the anchors, the shortest prefix first."""
    return tuple(
        blocks[count - 1] for count in ANCHORS if count <= len(blocks)
    )


def digest_chat(body: bytes) -> tuple[int, ...]:
    """Return a chat body's prefix digests; none if it can't be read."""
    try:
        chat = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ()
    pairs = ((item.role, item.content) for item in chat.messages)
    return pick_anchors(chain_blocks(render_prompt(pairs)))


_DECODER = msgspec.json.Decoder(_Chat)

__all__ = (
    "ANCHORS",
    "BLOCK_BYTES",
    "DIGEST_BITS",
    "chain_blocks",
    "digest_chat",
    "pick_anchors",
    "render_prompt",
)
