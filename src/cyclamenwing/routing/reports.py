"""Report of an endpoint's load and prefix cache, for heartbeats."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Literal
from typing import NotRequired
from typing import TypedDict

from cyclamenwing.routing import prefix
from cyclamenwing.routing import types

MAX_CACHED_DIGESTS = 8192
MAX_PENDING_DIGESTS = 64
MAX_STORED_PER_REPORT = 8
MAX_REMOVED_PER_REPORT = 4
ANCHORS_PER_EVENT = 3


class CacheEvent(TypedDict):
    """Describe cache blocks that an engine has stored or removed.

    `start` is the position of the first block in its prompt.
    """

    seq: int
    kind: Literal["stored", "removed"]
    start: int
    blocks: list[int]


class EngineLoad(TypedDict):
    """Describe an engine's load and, if it reports that, its limit."""

    running: int
    waiting: int
    max_running: NotRequired[int]


class ReportBoard:
    """Hold an endpoint's state and the cache changes not yet reported.

    `cached` holds the digests of cached prefixes, the latest last.
    """

    def __init__(self) -> None:
        self.up = True
        self.load = EngineLoad(running=0, waiting=0)
        self.epoch = 0
        self.last_seq = 0
        self.cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.pending_stored: collections.deque[int] = collections.deque(
            maxlen=MAX_PENDING_DIGESTS
        )
        self.pending_removed: collections.deque[int] = collections.deque(
            maxlen=MAX_PENDING_DIGESTS
        )


class ReportController:
    """Collect an endpoint's cache events and make bounded reports."""

    def apply_events(
        self, board: ReportBoard, events: Iterable[CacheEvent]
    ) -> None:
        """Apply cache events; gaps in their sequence are not detected."""
        for event in events:
            board.last_seq = max(board.last_seq, event["seq"])
            _APPLIERS[event["kind"]](board, event)

    def record_cache_loss(self, board: ReportBoard) -> None:
        """Mark the endpoint as down and its cache as lost; start an epoch."""
        board.up = False
        board.epoch += 1
        board.last_seq = 0
        board.cached.clear()
        board.pending_stored.clear()
        board.pending_removed.clear()

    def make_report(self, board: ReportBoard) -> types.EndpointReport:
        """Return the next report; its digests are not reported again."""
        # The newest first, as their prompts are the likeliest to come again.
        stored = [
            board.pending_stored.pop()
            for _ in range(
                min(MAX_STORED_PER_REPORT, len(board.pending_stored))
            )
        ]
        removed = [
            board.pending_removed.popleft()
            for _ in range(
                min(MAX_REMOVED_PER_REPORT, len(board.pending_removed))
            )
        ]
        return {
            "up": board.up,
            "running": board.load["running"],
            "waiting": board.load["waiting"],
            "max_running": board.load.get("max_running", 0),
            "epoch": board.epoch,
            "stored": stored,
            "removed": removed,
        }


def _apply_stored(board: ReportBoard, event: CacheEvent) -> None:
    numbered = enumerate(event["blocks"], event["start"] + 1)
    anchors = [
        digest for block_count, digest in numbered if block_count in _ANCHORS
    ]
    for digest in anchors[-ANCHORS_PER_EVENT:]:
        if digest not in board.cached:
            board.pending_stored.append(digest)
        board.cached[digest] = None
        board.cached.move_to_end(digest)
    while len(board.cached) > MAX_CACHED_DIGESTS:
        board.cached.popitem(last=False)


def _apply_removed(board: ReportBoard, event: CacheEvent) -> None:
    for digest in event["blocks"]:
        if digest in board.cached:
            del board.cached[digest]
            board.pending_removed.append(digest)


_ANCHORS = frozenset(prefix.ANCHORS)
_APPLIERS = {
    "stored": _apply_stored,
    "removed": _apply_removed,
}

__all__ = (
    "CacheEvent",
    "EngineLoad",
    "ReportBoard",
    "ReportController",
)
