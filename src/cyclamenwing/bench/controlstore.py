"""Other ways to spread a change, side by side on one store stand-in."""

from __future__ import annotations

import asyncio
import contextlib
import time
import uuid
from typing import TypedDict

from cyclamenwing.bench import controlfleet
from cyclamenwing.catalog import audit
from cyclamenwing.catalog import publication
from cyclamenwing.catalog import revisions
from cyclamenwing.catalog import types
from cyclamenwing.standin import store
from cyclamenwing.store import client as store_client
from cyclamenwing.store import errors
from cyclamenwing.store import keys
from cyclamenwing.transport import client

POLL_S = 2.0
RETRY_S = 0.2
NOTHING: types.Revision = {"revision": 0, "services": {}}


class WayFigures(TypedDict):
    """Hold what a way costs the store; calls are those of one change."""

    way: str
    processes: int
    watches: int
    calls_a_change: float
    calls_a_second: float
    in_force_ms: list[float]


class Reader:
    """Follow the head as one process that asks the store itself."""

    def __init__(self, source: store_client.StoreClient) -> None:
        self._store = source
        self.revision = NOTHING

    async def follow(self, way: str) -> None:
        """Follow in one of the ways, through refused connections."""
        follow = self._poll if way == "polling" else self._watch
        while True:
            with contextlib.suppress(errors.StoreError):
                await follow()
            await asyncio.sleep(RETRY_S)

    async def _watch(self) -> None:
        async for entry in self._store.watch(keys.CATALOG_HEAD, 0):
            await self._take(revisions.HeadCodec().decode(entry.value))

    async def _poll(self) -> None:
        while True:
            await self._take(await revisions.read_head(self._store))
            await asyncio.sleep(POLL_S)

    async def _take(self, head: types.Head) -> None:
        if head["revision"] > self.revision["revision"]:
            self.revision = await revisions.read_revision(
                self._store, head, self.revision
            )


async def measure_way(way: str, processes: int, changes: int) -> WayFigures:
    """Measure some changes under one way of following."""
    standin = store.StoreStandin("127.0.0.1:0")
    http = client.CurlClient("bench")
    source = store_client.StoreClient(http, standin.address)
    await _publish(source, 0)
    readers = [Reader(source) for _ in range(processes)]
    tasks = [asyncio.create_task(reader.follow(way)) for reader in readers]
    try:
        await _wait(readers, 1)
        began_at = time.monotonic()
        first = sum(standin.state.calls.values())
        took: list[float] = []
        for number in range(1, changes + 1):
            revision = await _publish(source, number)
            accepted_at = time.monotonic()
            await _wait(readers, revision)
            took.append((time.monotonic() - accepted_at) * 1000)
        window_s = time.monotonic() - began_at
        calls = sum(standin.state.calls.values()) - first
        return {
            "way": way,
            "processes": processes,
            "watches": standin.state.open_watches,
            "calls_a_change": calls / changes,
            "calls_a_second": calls / window_s,
            "in_force_ms": took,
        }
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await standin.close()
        await http.close()


async def _publish(source: store_client.StoreClient, number: int) -> int:
    change = audit.Change(
        time.time(), "bench", "bench", "publish", "", "", None, None
    )
    head = await publication.publish_files(
        source, [controlfleet.make_file(number)], change, uuid.uuid4().hex
    )
    return head["revision"]


async def _wait(readers: list[Reader], revision: int) -> None:
    async with asyncio.timeout(60.0):
        while any(item.revision["revision"] < revision for item in readers):
            await asyncio.sleep(0.005)


__all__ = (
    "WayFigures",
    "measure_way",
)
