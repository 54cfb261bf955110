"""Adoption of published revisions by an entry."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import eliot

from cyclamenwing import errors as base_errors
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
MAX_START_PEERS = 16


class DeltaHandler(server.PeerHandler):
    """Serve ``POST /peer/catalog``: what changed after a revision."""

    def initialize(self, board: blackboard.EntryBoard) -> None:
        """Take the shared state."""
        self._board = board

    async def post(self) -> None:
        """Answer with the changed services."""
        asked = self.decode_body(types.DeltaRequest)
        source = self._board.catalog.source
        self.write_json(delta.make_delta(source, asked["since"]))


class CatalogWatch:
    """Follow the configuration by the store or by other entries.

    :param board: the entry's state
    :param store: the platform's key-value service
    :param client: HTTP client
    :param seeds: peer addresses of entries
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
        """Start following."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        for task in (self._task, self._watch, self._fetch):
            if task is not None:
                task.cancel()

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener after each adoption."""
        self._listeners.append(listener)

    def find_age_s(self) -> float | None:
        """Return the age of the revision's confirmation."""
        return self._controller.find_age_s(
            self._board.adoption, time.monotonic()
        )

    def note_peer(
        self, address: str, revision: int, age_s: float | None
    ) -> None:
        """Take note of a peer's revision and fetch a higher one."""
        higher = self._controller.record_peer_revision(
            self._board.adoption, revision, age_s, time.monotonic()
        )
        if not higher or not self._started:
            return
        if self._fetch is None or self._fetch.done():
            self._fetch = asyncio.create_task(self._fetch_from(address))

    def make_rules(self, route: str) -> types.SidecarRules:
        """Return what the sidecars of a route need of the revision."""
        catalog = self._board.catalog
        return {
            "revision": catalog.revision,
            "route": catalog.routes.get(route),
        }

    async def _run(self) -> None:
        while not self._started:
            await self._find_start()
        while True:
            self._choose_watch()
            self._set_strict()
            await self._confirm()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _find_start(self) -> None:
        peers = self._list_peers()[:MAX_START_PEERS]
        found = await asyncio.gather(
            self._read_store(),
            *(self._ask_start(peer) for peer in peers),
        )
        best = adoption.choose_initial_revision(found)
        if best is not None:
            self._adopt(best)
        # A store without any revision has answered as well.
        self._started = best is not None or found[0] is not None
        if not self._started:
            await asyncio.sleep(RETRY_DELAY_S)

    async def _read_store(self) -> types.Revision | None:
        try:
            head = await revisions.read_head(self._store)
            known = self._board.catalog.source
            revision = await revisions.read_revision(self._store, head, known)
        except base_errors.CodedError as err:
            eliot.log_message("entry:catalog", code=err.code)
            return None
        self._note_store(head["revision"])
        return revision

    async def _ask_start(self, address: str) -> types.Revision | None:
        try:
            return await self._ask(address, {"revision": 0, "services": {}})
        except base_errors.CodedError as err:
            eliot.log_message("entry:catalog", peer=address, code=err.code)
            return None

    async def _ask(self, address: str, base: types.Revision) -> types.Revision:
        request: types.DeltaRequest = {"since": base["revision"]}
        step = await self._client.call(
            f"http://{address}/peer/catalog",
            request,
            types.Delta,
            PEER_TIMEOUT_S,
        )
        return delta.apply_delta(base, step)

    async def _fetch_from(self, address: str) -> None:
        try:
            try:
                found = await self._ask(address, self._board.catalog.source)
            except errors.DeltaMismatchError:
                nothing: types.Revision = {"revision": 0, "services": {}}
                found = await self._ask(address, nothing)
        except base_errors.CodedError as err:
            eliot.log_message("entry:catalog", peer=address, code=err.code)
            return
        self._adopt(found)

    async def _follow(self) -> None:
        while True:
            try:
                await self._follow_once()
            except base_errors.CodedError as err:
                eliot.log_message("entry:catalog", code=err.code)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _follow_once(self) -> None:
        found = await self._store.get(keys.CATALOG_HEAD)
        if found is not None:
            await self._take_head(found)
        revision = found.revision if found else 0
        async for entry in self._store.watch(keys.CATALOG_HEAD, revision):
            await self._take_head(entry)

    async def _take_head(self, entry: protocol.Entry) -> None:
        head = revisions.HeadCodec().decode(entry.value)
        if not self._note_store(head["revision"]):
            return
        known = self._board.catalog.source
        self._adopt(await revisions.read_revision(self._store, head, known))
        self._note_store(head["revision"])

    def _note_store(self, revision: int) -> bool:
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
        eliot.log_message("entry:adopted", revision=revision["revision"])
        for listener in self._listeners:
            listener()

    def _choose_watch(self) -> None:
        chosen = self._board.host in self._list_watchers()
        running = self._watch is not None and not self._watch.done()
        if chosen and not running:
            self._watch = asyncio.create_task(self._follow())
        elif running and not chosen and self._watch is not None:
            self._watch.cancel()

    def _set_strict(self) -> None:
        standing = self._controller.find_standing(
            self._board.adoption, time.monotonic()
        )
        strict = standing == "unconfirmed"
        if self._board.catalog.strict != strict:
            eliot.log_message("entry:standing", standing=standing)
            self._board.catalog = self._board.catalog.with_strict(strict)

    async def _confirm(self) -> None:
        # Only when neither the own watch nor any peer could confirm.
        now = time.monotonic()
        age_s = self.find_age_s()
        unsure = age_s is None or age_s > RECHECK_AGE_S
        if unsure and now - self._read_at > RECHECK_AGE_S:
            self._read_at = now
            found = await self._read_store()
            if found is not None:
                self._adopt(found)
                self._note_store(found["revision"])

    def _list_watchers(self) -> list[str]:
        board = self._board
        beats = self._members.list_live(
            board.members, "entry", time.monotonic()
        )
        near = {beat["host"] for beat in beats if beat["zone"] == board.zone}
        return topology.list_watchers(board.zone, near | {board.host})

    def _list_peers(self) -> list[str]:
        beats = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        return list({*self._seeds, *(beat["address"] for beat in beats)})


__all__ = (
    "CatalogWatch",
    "DeltaHandler",
)
