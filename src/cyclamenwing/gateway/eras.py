"""Era of the store, which rises when it returns from an older copy.

Revisions are reused in the new era, so nothing that was read in an earlier
one may be followed or expected any more.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any
from typing import TypeVar

import eliot

from cyclamenwing.metrics import recorder
from cyclamenwing.metrics import types
from cyclamenwing.store import errors
from cyclamenwing.store import protocol

ERA_CHANGES = types.Counter(
    "gateway_store_era_changes_total",
    "Returns of the store from an older copy that were noticed.",
)
# In a commit's expected keys, the absent marker of the next era proves that
# nothing has been written in that era yet.
MARKER_PREFIX = "cyclamenwing/eras/"
# Markers of earlier eras are written again, as a copy may lack them.
MARKERS_WRITTEN = 3

T = TypeVar("T")


class EraTracker:
    """Track the highest era that any answer named.

    :ivar known: this era, 0 if no answer named one
    :ivar first: the first one that this process learned of
    """

    def __init__(self, metrics: recorder.Recorder) -> None:
        self.first = 0
        self.known = 0
        self._metrics = metrics
        self._changed = asyncio.Event()

    def observe(self, era: int, source: str) -> None:
        """Adopt a higher era.

        :param source: "store", "relay" or the host of a peer, for the log
        """
        if era <= self.known:
            return
        before, self.known = self.known, era
        if not before:
            self.first = era
            return
        eliot.log_message(
            "store:era_changed", before=before, after=era, source=source
        )
        self._metrics.count(ERA_CHANGES)
        self._changed.set()
        self._changed = asyncio.Event()

    def check(self, era: int, source: str) -> None:
        """Adopt the era of an answer.

        :raises StoreAnswerLostError: if the answer is of an earlier era
        """
        self.observe(era, source)
        if era < self.known:
            raise errors.StoreAnswerLostError(
                f"answer of era {era} came in era {self.known}"
            )

    async def wait(self, era: int, timeout_s: float) -> bool:
        """Wait while an era is the newest one; return whether it is not."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.known == era:
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def run_within(self, era: int, call: Coroutine[Any, Any, T]) -> T:
        """Await a call of an era.

        :raises StoreHistoryLostError: if the era ends first
        """
        task = asyncio.ensure_future(call)
        changed = asyncio.ensure_future(self._wait_for_change(era))
        try:
            await asyncio.wait(
                (task, changed), return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                return task.result()
            raise errors.StoreHistoryLostError(f"era {era} has ended")
        finally:
            task.cancel()
            changed.cancel()

    async def _wait_for_change(self, era: int) -> None:
        while self.known == era:
            await self._changed.wait()


async def commit(
    store: protocol.TransactionStore,
    era: int,
    expected: Sequence[tuple[str, int]],
    writes: Sequence[tuple[str, bytes]],
) -> protocol.Committed | protocol.Conflict:
    """Commit writes that rest on what was read in an era.

    :raises StoreAnswerLostError: if a later era has begun, so that the commit
        may have taken effect on what the older copy holds
    """
    outcome = await store.commit([*expected, *make_guard(era)], writes)
    if outcome.era == era:
        return outcome
    if isinstance(outcome, protocol.Conflict):
        return protocol.Conflict([], outcome.era)
    raise errors.StoreAnswerLostError(
        f"commit of era {era} came in era {outcome.era}"
    )


def make_guard(era: int) -> list[tuple[str, int]]:
    """Return the expected keys by which a commit fails in a later era."""
    return [(f"{MARKER_PREFIX}{era + 1}", 0)] if era else []


def make_markers(era: int) -> list[tuple[str, bytes]]:
    """Return the writes after which no commit of an earlier era can succeed.

    They must precede the first write of an era whose loss would matter.
    """
    first = max(era - MARKERS_WRITTEN + 1, 1)
    return [
        (f"{MARKER_PREFIX}{number}", b"{}") for number in range(first, era + 1)
    ]


__all__ = (
    "ERA_CHANGES",
    "EraTracker",
    "commit",
    "make_guard",
    "make_markers",
)
