"""Prefix cache of an engine stand-in, in blocks and limited memory."""

from __future__ import annotations

import collections
from collections.abc import Sequence
from typing import Literal
from typing import TypedDict

LOG_EVENTS = 4096


class CacheEvent(TypedDict):
    """Tell of blocks stored or removed.

    `start` is the first block's place in its prompt; `seq` counts all
    events, so a reader sees a gap.
    """

    seq: int
    at: float
    kind: Literal["stored", "removed"]
    start: int
    blocks: list[int]


class BlockCache:
    """Keep the blocks used last.

    :param capacity: blocks that fit
    :param event_lag_s: time until an event can be read
    :param event_loss_interval: every n-th event is missing; 0 for none
    """

    def __init__(
        self, capacity: int, event_lag_s: float, event_loss_interval: int
    ) -> None:
        self._capacity = capacity
        self._lag_s = event_lag_s
        self._gap = event_loss_interval
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=LOG_EVENTS
        )
        self._seq = 0

    @property
    def used(self) -> int:
        """Return the number of blocks held."""
        return len(self._blocks)

    def match(self, blocks: Sequence[int]) -> int:
        """Return how many leading blocks are held."""
        for number, block in enumerate(blocks):
            if block not in self._blocks:
                return number
        return len(blocks)

    def store(self, blocks: Sequence[int], now: float) -> None:
        """Hold a prompt's blocks; drop those unused for longest."""
        matched = self.match(blocks)
        # The first block is touched last, so that a prefix outlives its end.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if matched < len(blocks):
            self._log("stored", matched, list(blocks[matched:]), now)
        removed: list[int] = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        if removed:
            self._log("removed", 0, removed, now)

    def clear(self) -> None:
        """Lose all blocks and the events not yet read, as a crash does."""
        self._blocks.clear()
        self._events.clear()

    def read_events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events behind a sequence number that are due."""
        return [
            event
            for event in self._events
            if event["seq"] > after and event["at"] + self._lag_s <= now
        ]

    def _log(
        self,
        kind: Literal["stored", "removed"],
        start: int,
        blocks: list[int],
        now: float,
    ) -> None:
        self._seq += 1
        if self._gap and self._seq % self._gap == 0:
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
