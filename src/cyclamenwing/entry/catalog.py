"""Adoption of published catalog revisions by an entry."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing import tasks
from cyclamenwing.catalog import adoption
from cyclamenwing.catalog import delta
from cyclamenwing.catalog import errors
from cyclamenwing.catalog import index
from cyclamenwing.catalog import revisions
from cyclamenwing.catalog import types
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import topology
from cyclamenwing.membership import view
from cyclamenwing.store import keys
from cyclamenwing.store import protocol
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

RETRY_DELAY_S = 0.5
CHECK_INTERVAL_S = 0.5
RECHECK_AGE_S = adoption.CONFIRMATION_MAX_AGE_S / 2
PEER_TIMEOUT_S = 1.0
MAX_STARTUP_PEERS = 16


class DeltaHandler(server.PeerHandler):
    """Serve ``POST /peer/catalog``: the changes since a revision."""

    def initialize(self, board: blackboard.EntryBoard) -> None:
        """Store the blackboard."""
        self._board = board

    async def post(self) -> None:
        """Return the services changed since the given revision."""
        request = self.decode_body(types.DeltaRequest)
        source = self._board.catalog.source
        self.write_json(delta.make_delta(source, request["since"]))


class CatalogWatch:
    """Follow the catalog through the store or through other entries.

    :param board: the entry's state
    :param store: the platform's key-value service
    :param client: HTTP client
    :param seeds: peer addresses of entries from the settings
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        store: protocol.Store,
        client: transport.Client,
        seeds: list[str],
    ) -> None:
        self._board = board
        self._store = store
        self._client = client
        self._seeds = seeds
        self._controller = adoption.AdoptionController()
        self._members = view.MemberController()
        self._listeners: list[Callable[[], None]] = []
        self._started = False
        self._read_at = 0.0
        self._task: asyncio.Task[None] | None = None
        self._watch: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return [(r"/peer/catalog", DeltaHandler, {"board": self._board})]

    def start(self) -> None:
        """Start following the catalog."""
        self._task = tasks.start_loop(self._run)

    async def close(self) -> None:
        """Stop following the catalog."""
        for task in (self._task, self._watch, self._fetch):
            if task is not None:
                task.cancel()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a listener to call after each adoption."""
        self._listeners.append(listener)

    def find_confirmation_age_s(self) -> float | None:
        """Return the time since the revision was last confirmed as current."""
        return self._controller.find_confirmation_age_s(
            self._board.adoption, time.monotonic()
        )

    def record_peer(
        self, address: str, revision: int, age_s: float | None
    ) -> None:
        """Record a peer's revision and fetch it if it is higher.

        :param age_s: age of the peer's confirmation; None if it has none
        """
        higher = self._controller.record_peer_revision(
            self._board.adoption, revision, age_s, time.monotonic()
        )
        if not higher or not self._started:
            return
        if self._fetch is None or self._fetch.done():
            self._fetch = asyncio.create_task(self._fetch_from(address))

    def make_rules(self, route: str) -> types.SidecarRules:
        """Return the rules that the sidecars of a route need."""
        catalog = self._board.catalog
        return {
            "revision": catalog.revision,
            "route": catalog.routes.get(route),
        }

    async def _run(self) -> None:
        while not self._started:
            await self._load_first_revision()
        while True:
            self._update_watch()
            self._set_strict()
            await self._confirm()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _load_first_revision(self) -> None:
        peers = self._list_peers()[:MAX_STARTUP_PEERS]
        loaded_revisions = await asyncio.gather(
            self._read_store(),
            *(self._fetch_whole(peer) for peer in peers),
        )
        best = adoption.choose_initial_revision(loaded_revisions)
        if best is not None:
            self._adopt(best)
        # An empty store counts as an answer too: the entry then waits for the
        # first publication.
        self._started = best is not None or loaded_revisions[0] is not None
        if not self._started:
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read_store(self) -> types.Revision | None:
        try:
            head = await revisions.read_head(self._store)
            current = self._board.catalog.source
            revision = await revisions.read_revision(
                self._store, head, current
            )
        except base_errors.CodedError as err:
            eliot.log_message("entry:catalog_read_failed", code=err.code)
            return None
        self._record_store(head["revision"])
        return revision

    async def _fetch_whole(self, address: str) -> types.Revision | None:
        try:
            return await self._fetch_revision(
                address, {"revision": 0, "services": {}}
            )
        except base_errors.CodedError as err:
            eliot.log_message(
                "entry:catalog_fetch_failed", peer=address, code=err.code
            )
            return None

    async def _fetch_revision(
        self, address: str, base: types.Revision
    ) -> types.Revision:
        request: types.DeltaRequest = {"since": base["revision"]}
        changes = await self._client.call(
            f"http://{address}/peer/catalog",
            request,
            types.Delta,
            PEER_TIMEOUT_S,
        )
        return delta.apply_delta(base, changes)

    async def _fetch_from(self, address: str) -> None:
        try:
            try:
                fetched = await self._fetch_revision(
                    address, self._board.catalog.source
                )
            except errors.DeltaMismatchError:
                empty: types.Revision = {"revision": 0, "services": {}}
                fetched = await self._fetch_revision(address, empty)
        except base_errors.CodedError as err:
            eliot.log_message(
                "entry:catalog_fetch_failed", peer=address, code=err.code
            )
            return
        self._adopt(fetched)

    async def _follow(self) -> None:
        while True:
            try:
                await self._follow_once()
            except base_errors.CodedError as err:
                eliot.log_message("entry:catalog_watch_failed", code=err.code)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _follow_once(self) -> None:
        stored_head = await self._store.get(keys.CATALOG_HEAD)
        if stored_head is not None:
            await self._apply_head(stored_head)
        revision = stored_head.revision if stored_head else 0
        async for entry in self._store.watch(keys.CATALOG_HEAD, revision):
            await self._apply_head(entry)

    async def _apply_head(self, entry: protocol.Entry) -> None:
        head = revisions.HeadCodec().decode(entry.value)
        if not self._record_store(head["revision"]):
            return
        current = self._board.catalog.source
        self._adopt(await revisions.read_revision(self._store, head, current))
        self._record_store(head["revision"])

    def _record_store(self, revision: int) -> bool:
        board = self._board.adoption
        self._read_at = time.monotonic()
        if revision < board.revision:
            eliot.log_message(
                "entry:store_behind", store=revision, own=board.revision
            )
        return self._controller.record_store_revision(
            board, revision, self._read_at
        )

    def _adopt(self, revision: types.Revision) -> None:
        board = self._board
        if not self._controller.adopt(board.adoption, revision["revision"]):
            return
        board.catalog = index.Index(
            revision, board.catalog, board.catalog.strict
        )
        eliot.log_message(
            "entry:catalog_adopted", revision=revision["revision"]
        )
        for listener in self._listeners:
            listener()

    def _update_watch(self) -> None:
        elected = self._board.host in self._list_watchers()
        running = self._watch is not None and not self._watch.done()
        if elected and not running:
            self._watch = asyncio.create_task(self._follow())
        elif running and not elected and self._watch is not None:
            self._watch.cancel()

    def _set_strict(self) -> None:
        standing = self._controller.find_standing(
            self._board.adoption, time.monotonic()
        )
        strict = standing == "unconfirmed"
        if self._board.catalog.strict != strict:
            eliot.log_message("entry:catalog_standing", standing=standing)
            self._board.catalog = self._board.catalog.with_strict(strict)

    async def _confirm(self) -> None:
        # Read the store only if neither a watch nor a peer has confirmed the
        # revision lately.
        now = time.monotonic()
        age_s = self.find_confirmation_age_s()
        unconfirmed = age_s is None or age_s > RECHECK_AGE_S
        if unconfirmed and now - self._read_at > RECHECK_AGE_S:
            self._read_at = now
            fetched = await self._read_store()
            if fetched is not None:
                self._adopt(fetched)
                self._record_store(fetched["revision"])

    def _list_watchers(self) -> list[str]:
        board = self._board
        beats = self._members.list_live(
            board.members, "entry", time.monotonic()
        )
        same_zone = {
            beat["host"] for beat in beats if beat["zone"] == board.zone
        }
        return topology.list_watchers(board.zone, same_zone | {board.host})

    def _list_peers(self) -> list[str]:
        beats = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        return list({*self._seeds, *(beat["address"] for beat in beats)})


__all__ = (
    "CatalogWatch",
    "DeltaHandler",
)
