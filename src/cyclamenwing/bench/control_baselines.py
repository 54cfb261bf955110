"""Baselines for distributing a change: every process calls the store."""

from __future__ import annotations

import asyncio
import contextlib
import time
import uuid
from typing import TypedDict

from cyclamenwing.bench import control_fleet
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
EMPTY_REVISION: types.Revision = {"revision": 0, "services": {}}


class DistributionFigures(TypedDict):
    """Hold the store calls and the delays of one distribution method."""

    way: str
    processes: int
    watches: int
    calls_a_change: float
    calls_a_second: float
    in_force_ms: list[float]


class CatalogFollower:
    """Follow the catalog head by direct store calls, as one process."""

    def __init__(self, source: store_client.StoreClient) -> None:
        self._store = source
        self.revision = EMPTY_REVISION

    async def follow_head(self, method: str) -> None:
        """Follow by polling or by a watch; retry after each store error."""
        follow_once = self._poll if method == "polling" else self._watch
        while True:
            with contextlib.suppress(errors.StoreError):
                await follow_once()
            await asyncio.sleep(RETRY_S)

    async def _watch(self) -> None:
        async for entry in self._store.watch(keys.CATALOG_HEAD, 0):
            await self._adopt(revisions.HeadCodec().decode(entry.value))

    async def _poll(self) -> None:
        while True:
            await self._adopt(await revisions.read_head(self._store))
            await asyncio.sleep(POLL_S)

    async def _adopt(self, head: types.Head) -> None:
        if head["revision"] > self.revision["revision"]:
            self.revision = await revisions.read_revision(
                self._store, head, self.revision
            )


async def measure_distribution(
    method: str, processes: int, changes: int
) -> DistributionFigures:
    """Measure the distribution of a number of changes by one method.

    :param method: ``polling`` or ``every process watches``
    """
    standin = store.StoreStandin("127.0.0.1:0")
    http = client.CurlClient("bench")
    source = store_client.StoreClient(http, standin.address)
    await _publish(source, 0)
    followers = [CatalogFollower(source) for _ in range(processes)]
    tasks = [
        asyncio.create_task(follower.follow_head(method))
        for follower in followers
    ]
    try:
        await _wait_adopted(followers, 1)
        began_at = time.monotonic()
        initial_calls = sum(standin.state.calls.values())
        delays_ms: list[float] = []
        for number in range(1, changes + 1):
            revision = await _publish(source, number)
            accepted_at = time.monotonic()
            await _wait_adopted(followers, revision)
            delays_ms.append((time.monotonic() - accepted_at) * 1000)
        window_s = time.monotonic() - began_at
        calls = sum(standin.state.calls.values()) - initial_calls
        return {
            "way": method,
            "processes": processes,
            "watches": standin.state.open_watches,
            "calls_a_change": calls / changes,
            "calls_a_second": calls / window_s,
            "in_force_ms": delays_ms,
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
        source, [control_fleet.make_file(number)], change, uuid.uuid4().hex
    )
    return head["revision"]


async def _wait_adopted(
    followers: list[CatalogFollower], revision: int
) -> None:
    async with asyncio.timeout(60.0):
        while any(
            follower.revision["revision"] < revision for follower in followers
        ):
            await asyncio.sleep(0.005)


__all__ = (
    "DistributionFigures",
    "measure_distribution",
)
