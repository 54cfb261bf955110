"""Wiring of the entry role."""

from __future__ import annotations

import asyncio
import time
import uuid

import eliot

from cyclamenwing.budget import coordinator
from cyclamenwing.budget import holder
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import callers
from cyclamenwing.entry import catalog
from cyclamenwing.entry import funding
from cyclamenwing.entry import peers
from cyclamenwing.entry import serving
from cyclamenwing.membership import types as member_types
from cyclamenwing.routing import scoring
from cyclamenwing.settings import types as settings_types
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import server

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0
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
        interval_ms = settings.get(
            "commit_interval_ms", DEFAULT_COMMIT_INTERVAL_MS
        )
        self._ledger = coordinator.Coordinator(
            self._store, time.time, interval_ms / 1000
        )
        self._money = funding.Funding(
            self.board,
            holder.HolderController(
                settings.get("grant_chunk", DEFAULT_GRANT_CHUNK)
            ),
            self._ledger,
            self._client,
            settings.get("ledger_shards", DEFAULT_SHARDS),
        )
        self._service = serving.Serving(
            self.board,
            self._money,
            scoring.ScoringPolicy(settings["zone"]),
            self._client,
        )
        self._callers = self._listen_callers()
        self._peers = self._listen_peers()
        self.address = self._callers.address
        self.peer_address = self._peers.address
        self._catalog = catalog.CatalogWatch(self.board, self._store)
        self._beating = asyncio.create_task(self._beat())

    @classmethod
    def from_config(cls, settings: settings_types.EntrySettings) -> EntryApp:
        """Start an entry from its settings."""
        return cls(settings)

    async def close(self) -> None:
        """Finish the requests in progress, settle and stop."""
        self.board.leaving = True
        while self.board.in_progress:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._money.close()
        self._catalog.close()
        self._beating.cancel()
        await self._callers.close()
        await self._peers.close()
        await self._client.close()

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
        board = {"board": self.board}
        ledger = {"ledger": self._ledger}
        return server.Listener(
            server.make_application(
                [
                    (r"/peer/heartbeat", peers.HeartbeatHandler, board),
                    (r"/peer/ledger", peers.LedgerHandler, ledger),
                    (r"/peer/explain", peers.ExplainHandler, board),
                    (r"/peer/status", peers.StatusHandler, board),
                ],
                self._settings["fleet_keys"],
            ),
            self._settings["peers"],
        )

    async def _beat(self) -> None:
        while True:
            beat = self._make_beat()
            await asyncio.gather(
                *(
                    self._send_beat(peer, beat)
                    for peer in self._settings["entries"]
                    if peer != self.peer_address
                )
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_beat(
        self, peer: str, beat: member_types.Heartbeat
    ) -> None:
        try:
            await self._client.call(
                f"http://{peer}/peer/heartbeat",
                beat,
                member_types.HeartbeatReply,
                HEARTBEAT_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message("entry:heartbeat", peer=peer, code=err.code)

    def _make_beat(self) -> member_types.Heartbeat:
        return {
            "host": self.board.host,
            "role": "entry",
            "zone": self.board.zone,
            "address": self.peer_address,
            "incarnation": self.board.session,
            "route": "",
            "leaving": self.board.leaving,
            "revision": self.board.catalog.revision,
            "load": self.board.in_progress,
        }


__all__ = ("EntryApp",)
