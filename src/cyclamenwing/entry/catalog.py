"""Adoption of published revisions by an entry."""

from __future__ import annotations

import asyncio
from typing import Any

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.catalog import index
from cyclamenwing.catalog import publication
from cyclamenwing.entry import blackboard
from cyclamenwing.store import keys
from cyclamenwing.store import protocol

RETRY_DELAY_S = 0.5


class CatalogWatch:
    """Follow the head of the configuration and adopt higher revisions.

    :param board: the entry's state
    :param store: the platform's key-value service
    """

    def __init__(
        self, board: blackboard.EntryBoard, store: protocol.Store
    ) -> None:
        self._board = board
        self._store = store
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return []

    def start(self) -> None:
        """Start following."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._follow()
            except base_errors.CodedError as err:
                eliot.log_message("entry:catalog", code=err.code)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _follow(self) -> None:
        found = await self._store.get(keys.CATALOG_HEAD)
        if found is not None:
            await self._adopt(found)
        revision = found.revision if found else 0
        async for entry in self._store.watch(keys.CATALOG_HEAD, revision):
            await self._adopt(entry)

    async def _adopt(self, entry: protocol.Entry) -> None:
        head = publication.HeadCodec().decode(entry.value)
        if head["revision"] <= self._board.catalog.revision:
            return
        revision = await publication.read_revision(self._store, head)
        self._board.catalog = index.Index(revision)


__all__ = ("CatalogWatch",)
