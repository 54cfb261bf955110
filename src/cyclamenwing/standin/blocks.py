"""Prefix cache of the engine stand-in, in blocks of limited number."""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import Literal
from typing import TypedDict

MAX_STORED_EVENTS = 4096


class CacheEvent(TypedDict):
    """Report blocks that were stored in the cache or removed from it.

    `start` is the first block's index in its prompt. `seq` counts all
    events, including lost ones, so a reader can detect a loss.
    """

    seq: int
    at: float
    kind: Literal["stored", "removed"]
    start: int
    blocks: list[int]


class BlockCache:
    """Hold the most recently used blocks.

    :param capacity: maximum number of blocks
    :param event_lag_s: delay until an event can be read
    :param event_loss_interval: every n-th event is lost; 0 loses none
    """

    def __init__(
        self, capacity: int, event_lag_s: float, event_loss_interval: int
    ) -> None:
        self._capacity = capacity
        self._event_lag_s = event_lag_s
        self._event_loss_interval = event_loss_interval
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_STORED_EVENTS
        )
        self._seq = 0

    @property
    def used(self) -> int:
        """Return the number of blocks held."""
        return len(self._blocks)

    def match(self, blocks: Sequence[int]) -> int:
        """Return the number of leading blocks that are cached."""
        for number, block in enumerate(blocks):
            if block not in self._blocks:
                return number
        return len(blocks)

    def store(self, blocks: Sequence[int], now: float) -> None:
        """Cache a prompt's blocks; evict the least recently used ones."""
        matched = self.match(blocks)
        # The first block becomes the most recently used, so that the start of
        # a prompt, which other prompts share, is evicted last.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if matched < len(blocks):
            self._append_event("stored", matched, list(blocks[matched:]), now)
        removed: list[int] = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        if removed:
            self._append_event("removed", 0, removed, now)

    def clear(self) -> None:
        """Drop all blocks and stored events, as a crash does."""
        self._blocks.clear()
        self._events.clear()

    def read_events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the readable events after a sequence number.

        An event is readable once the event delay has passed.
        """
        return [
            event
            for event in self._events
            if event["seq"] > after and event["at"] + self._event_lag_s <= now
        ]

    def _append_event(
        self,
        kind: Literal["stored", "removed"],
        start: int,
        blocks: list[int],
        now: float,
    ) -> None:
        self._seq += 1
        if (
            self._event_loss_interval
            and self._seq % self._event_loss_interval == 0
        ):
            return
        self._events.append({
            "seq": self._seq,
            "at": now,
            "kind": kind,
            "start": start,
            "blocks": blocks,
        })


__all__ = (
    "BlockCache",
    "CacheEvent",
)
