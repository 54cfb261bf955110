"""Digests of the prefixes of a prompt."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

import msgspec
import xxhash

from cyclamenwing import decoding

BLOCK_BYTES = 256
DIGEST_BITS = 32
# Lengths, in blocks, of the prefixes that are compared. Each is at most twice
# the previous one, so a match covers at least half of the common prefix.
ANCHORS = (1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256)


class _Message(msgspec.Struct):
    role: Any = ""
    content: Any = ""


class _Chat(msgspec.Struct):
    messages: list[_Message] = []


def render_prompt(messages: Iterable[tuple[Any, Any]]) -> bytes:
    """Return the bytes of a prompt, given its roles and contents."""
    return b"".join(
        f"{role}\0{content}\0".encode(errors="replace")
        for role, content in messages
    )


def chain_blocks(prompt: bytes) -> list[int]:
    """Return a digest for each full block, over all bytes up to its end."""
    limit = min(len(prompt) // BLOCK_BYTES, ANCHORS[-1])
    state = xxhash.xxh64()
    digests: list[int] = []
    for number in range(limit):
        start = number * BLOCK_BYTES
        state.update(prompt[start : start + BLOCK_BYTES])
        digests.append(state.intdigest() >> (64 - DIGEST_BITS))
    return digests


def pick_anchors(blocks: Sequence[int]) -> tuple[int, ...]:
    """Return the digests of the prefixes in `ANCHORS`, shortest first."""
    return tuple(
        blocks[count - 1] for count in ANCHORS if count <= len(blocks)
    )


def digest_chat(body: bytes) -> tuple[int, ...]:
    """Return the prefix digests of a chat request; none if malformed."""
    try:
        chat = _DECODER.decode(body)
    except msgspec.DecodeError:
        return ()
    pairs = ((item.role, item.content) for item in chat.messages)
    return pick_anchors(chain_blocks(render_prompt(pairs)))


_DECODER = decoding.Decoder(_Chat)

__all__ = (
    "ANCHORS",
    "BLOCK_BYTES",
    "DIGEST_BITS",
    "chain_blocks",
    "digest_chat",
    "pick_anchors",
    "render_prompt",
)
