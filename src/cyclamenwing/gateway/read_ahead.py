"""Bounds on answers that are held for clients that do not read.

Handles the pattern of clients that stop reading their answers: endpoints are
read on, and what clients have not taken is held here. All answers together
stay within a share of the process's memory. When it is used up, the answer
whose client has read nothing for longest is dropped, and among these the
largest.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import NamedTuple

# Part of the process's memory for all held answers: 32 MB of 128 MB, where
# the process itself needs 25 to 40.
MEMORY_SHARE = 0.25
BYTES_PER_MB = 1024 * 1024
# Part of that for one stream; its endpoint is read no further until the
# client has taken some of it.
ANSWER_SHARE = 0.125
# Events are passed to the connection in blocks of this size. The events of
# one block are charged that the client may not get.
EVENT_BLOCK_BYTES = 4096
# Memory of a block beyond its data.
BLOCK_OVERHEAD_BYTES = 256
# Clients that stopped reading within the same span are told apart by what is
# held for them.
UNREAD_STEP_S = 1.0


class Block(NamedTuple):
    """Hold bytes of an answer that are passed to the connection together.

    :param events: events of the stream up to the end of these bytes
    """

    data: bytes
    events: int


class HeldAnswer:
    """Hold the part of an answer that its client has not taken.

    `held_bytes` includes the block that was passed to the connection last,
    until the client's socket has taken it.

    :param request: id of the request, for the log
    :param drop: called at most once, to close the client's connection
    """

    def __init__(self, request: str | None, drop: Callable[[], None]) -> None:
        self.request = request
        self.drop = drop
        self.held_bytes = 0
        # None while the client waits for the answer.
        self.unread_since_s: float | None = None
        self._blocks: collections.deque[tuple[bytes | bytearray, int]] = (
            collections.deque()
        )

    @property
    def empty(self) -> bool:
        """Return whether no block waits to be passed to the connection."""
        return not self._blocks

    def append(self, data: bytes, events: int) -> int:
        """Add bytes behind the others; return the memory that they take."""
        if self._blocks:
            last, _ = self._blocks[-1]
            if len(last) + len(data) <= EVENT_BLOCK_BYTES:
                assert isinstance(last, bytearray)
                last += data
                self._blocks[-1] = (last, events)
                return len(data)
        extensible = len(data) <= EVENT_BLOCK_BYTES
        self._blocks.append((bytearray(data) if extensible else data, events))
        return len(data) + BLOCK_OVERHEAD_BYTES

    def take(self) -> Block:
        """Remove the first block, which counts as held until released."""
        data, events = self._blocks.popleft()
        return Block(bytes(data), events)

    def clear(self) -> None:
        """Discard all blocks."""
        self._blocks.clear()
        self.held_bytes = 0
        self.unread_since_s = None

    def measure_unread(self, now_s: float) -> float:
        """Return the seconds since the client took anything, 0 if it reads."""
        if self.unread_since_s is None:
            return 0.0
        return max(now_s - self.unread_since_s, 0.0)


class ReadAhead:
    """Decide how much may be held for clients, and whose answer is dropped.

    :param max_bytes: memory for all held answers together
    :param max_answer_bytes: memory for one stream
    """

    def __init__(self, max_bytes: int, max_answer_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.max_answer_bytes = max_answer_bytes
        self.held_bytes = 0
        self._answers: set[HeldAnswer] = set()

    @classmethod
    def from_config(cls, memory_mb: float) -> ReadAhead:
        """Build bounds for a process that may use this much memory."""
        max_bytes = int(memory_mb * BYTES_PER_MB * MEMORY_SHARE)
        return cls(max_bytes, int(max_bytes * ANSWER_SHARE))

    def has_room(self, answer: HeldAnswer) -> bool:
        """Return whether the endpoint of a stream may be read further."""
        return answer.held_bytes < self.max_answer_bytes

    def add(self, answer: HeldAnswer, data: bytes, events: int) -> None:
        """Hold bytes of an answer."""
        self._count(answer, answer.append(data, events))

    def add_passed(
        self, answer: HeldAnswer, block: Block, now_s: float
    ) -> None:
        """Count a block that the client's socket has not taken at once."""
        if answer.unread_since_s is None:
            answer.unread_since_s = now_s
        self._count(answer, _measure(block))

    def release(self, answer: HeldAnswer, block: Block, now_s: float) -> None:
        """Record that the client's socket has taken a block."""
        if answer not in self._answers:
            return
        self._count(answer, -_measure(block))
        answer.unread_since_s = now_s
        if not answer.held_bytes:
            self.discard(answer)

    def discard(self, answer: HeldAnswer) -> None:
        """Forget an answer and all that is held of it."""
        if answer in self._answers:
            self._answers.remove(answer)
            self.held_bytes -= answer.held_bytes
        answer.clear()

    def choose_dropped(self, now_s: float) -> HeldAnswer | None:
        """Return the answer to drop; None while all are within the bound."""
        if self.held_bytes <= self.max_bytes:
            return None
        return max(
            self._answers,
            key=lambda answer: (
                answer.measure_unread(now_s) // UNREAD_STEP_S,
                answer.held_bytes,
            ),
        )

    def _count(self, answer: HeldAnswer, size: int) -> None:
        self._answers.add(answer)
        answer.held_bytes += size
        self.held_bytes += size


def _measure(block: Block) -> int:
    return len(block.data) + BLOCK_OVERHEAD_BYTES


__all__ = (
    "Block",
    "HeldAnswer",
    "ReadAhead",
)
