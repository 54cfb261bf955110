"""Wiring of the entry role."""

from __future__ import annotations

import asyncio
import time
import uuid

from cyclamenwing.budget import coordinator
from cyclamenwing.budget import holder
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import callers
from cyclamenwing.entry import catalog
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import funding
from cyclamenwing.entry import inquiry
from cyclamenwing.entry import membership
from cyclamenwing.entry import serving
from cyclamenwing.membership import news
from cyclamenwing.routing import scoring
from cyclamenwing.settings import types as settings_types
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client
from cyclamenwing.transport import part
from cyclamenwing.transport import server

DRAIN_POLL_S = 0.05
DEFAULT_SHARDS = 4
DEFAULT_COMMIT_INTERVAL_MS = 20
DEFAULT_GRANT_CHUNK = 20_000


class EntryApp:
    """Run one entry.

    :param settings: the entry's checked settings
    """

    def __init__(self, settings: settings_types.EntrySettings) -> None:
        self._settings = settings
        session = f"{settings['host']}/{uuid.uuid4().hex}"
        self.board = blackboard.EntryBoard(
            settings["host"],
            settings["zone"],
            session,
            holder.HolderBoard(session),
        )
        self._client = client.CurlClient(settings["fleet_keys"][0])
        self._store = store_client.StoreClient(self._client, settings["store"])
        self._money = self._make_funding()
        choice = dispatch.Dispatch(
            self.board, scoring.ScoringPolicy(settings["zone"])
        )
        self._service = serving.Serving(
            self.board, self._money, choice, self._client
        )
        sources: list[news.Source] = []
        following = catalog.CatalogWatch(
            self.board, self._store, self._client, settings["entries"]
        )
        self._parts: list[part.Part] = [
            membership.Membership(
                self.board,
                self._client,
                settings["entries"],
                lambda: self.peer_address,
                sources,
                following,
                settings.get("hosts"),
            ),
            following,
            inquiry.Inquiry(self.board),
            self._money,
        ]
        self._callers = self._listen_callers()
        self._peers = self._listen_peers()
        self.address = self._callers.address
        self.peer_address = self._peers.address
        for item in self._parts:
            item.start()

    @classmethod
    def from_config(cls, settings: settings_types.EntrySettings) -> EntryApp:
        """Start an entry from its settings."""
        return cls(settings)

    async def close(self) -> None:
        """Finish the requests in progress, settle and stop."""
        self.board.leaving = True
        while self.board.in_progress:
            await asyncio.sleep(DRAIN_POLL_S)
        for item in self._parts:
            await item.close()
        await self._callers.close()
        await self._peers.close()
        await self._client.close()

    def _make_funding(self) -> funding.Funding:
        settings = self._settings
        interval_ms = settings.get(
            "commit_interval_ms", DEFAULT_COMMIT_INTERVAL_MS
        )
        return funding.Funding(
            self.board,
            holder.HolderController(
                settings.get("grant_chunk", DEFAULT_GRANT_CHUNK)
            ),
            coordinator.Coordinator(
                self._store, time.time, interval_ms / 1000
            ),
            self._client,
            settings.get("ledger_shards", DEFAULT_SHARDS),
        )

    def _listen_callers(self) -> server.Listener:
        options = {"board": self.board, "service": self._service}
        return server.Listener(
            server.make_application([
                (r"/v1/chat/completions", callers.ChatHandler, options),
                (r"/services/([^/]+)(/.*)", callers.PlainHandler, options),
            ]),
            self._settings["listen"],
        )

    def _listen_peers(self) -> server.Listener:
        handlers = [
            handler for item in self._parts for handler in item.list_handlers()
        ]
        return server.Listener(
            server.make_application(handlers, self._settings["fleet_keys"]),
            self._settings["peers"],
        )


__all__ = ("EntryApp",)
