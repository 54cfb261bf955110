"""Assembly of an entry from its components."""

from __future__ import annotations

import asyncio
import random
import time
import uuid

from cyclamenwing.budget import account
from cyclamenwing.budget import coordinator
from cyclamenwing.budget import exchange as budget_exchange
from cyclamenwing.budget import layout
from cyclamenwing.budget import sizing
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import callers
from cyclamenwing.entry import catalog
from cyclamenwing.entry import claim_commits
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import funding
from cyclamenwing.entry import ledger_client
from cyclamenwing.entry import limits
from cyclamenwing.entry import membership
from cyclamenwing.entry import metrics
from cyclamenwing.entry import operator_queries
from cyclamenwing.entry import orders
from cyclamenwing.entry import quarantine
from cyclamenwing.entry import quarantine_audit
from cyclamenwing.entry import reconciliation
from cyclamenwing.entry import recovery
from cyclamenwing.entry import serving
from cyclamenwing.entry import session_closer
from cyclamenwing.entry import session_queries
from cyclamenwing.entry import sessions
from cyclamenwing.entry import transfers
from cyclamenwing.membership import gossip_sources
from cyclamenwing.metrics import operator_server
from cyclamenwing.routing import scoring
from cyclamenwing.settings import types as settings_types
from cyclamenwing.store import client as store_client
from cyclamenwing.transport import client
from cyclamenwing.transport import component
from cyclamenwing.transport import delegates
from cyclamenwing.transport import request_filter
from cyclamenwing.transport import server

DRAIN_POLL_S = 0.05
DRAIN_DELAY_S = 0.5
DEFAULT_COMMIT_INTERVAL_MS = 20


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
            account.HolderBoard(session),
        )
        self._client = client.CurlClient(settings["fleet_keys"][0])
        self._store = store_client.StoreClient(self._client, settings["store"])
        self._transfers = transfers.Transfers(self.board, self._client)
        self._budgets = self._make_funding()
        crash_quarantine = quarantine.Quarantine(
            self.board,
            self._client,
            quarantine_audit.LiftRecorder(self._store),
        )
        dispatcher = dispatch.Dispatch(
            self.board,
            scoring.ScoringPolicy(settings["zone"]),
            crash_quarantine,
            random.Random(),
        )
        self._claims = claim_commits.ClaimCommitter(self._store)
        self._service = serving.Serving(
            self.board, self._budgets, dispatcher, self._client, self._claims
        )
        catalog_watch = catalog.CatalogWatch(
            self.board, self._store, self._client, settings["entries"]
        )
        sources: list[gossip_sources.GossipSource] = [
            dispatcher,
            crash_quarantine,
        ]
        self._parts: list[component.Component] = [
            membership.Membership(
                self.board,
                self._client,
                settings["entries"],
                lambda: self.peer_address,
                sources,
                catalog_watch,
                settings.get("hosts"),
            ),
            catalog_watch,
            orders.OrderService(self.board, self._store, self._client),
            operator_queries.OperatorQueries(self.board),
            self._claims,
            dispatcher,
            crash_quarantine,
            sessions.Sessions(self.board, self._store),
            self._transfers,
            self._budgets,
            reconciliation.Reconciliation(self.board, self._client),
            self._make_recovery(),
            self._open_operators(),
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
        """Drain requests in progress, settle with the ledger and stop."""
        self.board.leaving = True
        # The load balancer keeps sending requests until its health check
        # fails.
        await asyncio.sleep(DRAIN_DELAY_S)
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
        size = sizing.Sizing.from_weight(
            settings.get("budget_weight", sizing.DEFAULT_WEIGHT)
        )
        self._ledger = ledger_client.LedgerClient(
            self.board,
            budget_exchange.ExchangeController(size),
            coordinator.Coordinator(
                self._store, time.time, interval_ms / 1000
            ),
            self._client,
            self._store,
            settings.get("ledger_shards", layout.DEFAULT_SHARDS),
        )
        return funding.Funding(self.board, self._ledger, self._transfers, size)

    def _make_recovery(self) -> recovery.Recovery:
        queries = session_queries.SessionQueries(
            self.board, self._client, self._transfers
        )
        closer = session_closer.SessionCloser(
            self._ledger, self._store, queries
        )
        return recovery.Recovery(self.board, self._store, queries, closer)

    def _open_operators(self) -> operator_server.OperatorServer:
        board = self.board
        board.recorder.register_gauge(
            metrics.IN_PROGRESS, lambda: board.in_progress
        )
        board.recorder.register_gauge(
            metrics.REVISION, lambda: board.catalog.revision
        )
        address = self._settings.get("operators")
        port = operator_server.OperatorServer(
            address, board.recorder, self._read_health
        )
        self.operators_address = port.address
        return port

    def _read_health(self) -> operator_server.Health:
        board = self.board
        return {
            "ready": board.catalog.revision > 0 and not board.leaving,
            "role": "entry",
            "host": board.host,
            "zone": board.zone,
            "revision": board.catalog.revision,
            "leaving": board.leaving,
            "in_progress": board.in_progress,
        }

    def _listen_callers(self) -> server.Listener:
        options = {"board": self.board, "service": self._service}
        return server.Listener(
            server.make_application([
                (r"/v1/chat/completions", callers.ChatHandler, options),
                (r"/services/([^/]+)(/.*)", callers.PlainHandler, options),
            ]),
            self._settings["listen"],
            limits.CallerGate(
                self.board,
                self._settings.get(
                    "max_body_bytes", request_filter.MAX_BODY_BYTES
                ),
            ),
            self._settings.get("body_timeout_s", delegates.BODY_TIMEOUT_S),
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
