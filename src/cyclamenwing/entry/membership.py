"""Heartbeats of an entry."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import eliot

from cyclamenwing.entry import blackboard
from cyclamenwing.membership import news
from cyclamenwing.membership import types
from cyclamenwing.membership import view
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0


class HeartbeatHandler(server.PeerHandler):
    """Serve ``POST /peer/heartbeat``."""

    def initialize(self, membership: Membership) -> None:
        """Take the part that hears heartbeats."""
        self._membership = membership

    async def post(self) -> None:
        """Take over a heartbeat and answer with the own state."""
        beat = self.decode_body(types.Heartbeat)
        self.write_json(self._membership.hear(beat))


class Membership:
    """Send heartbeats to other entries and hear those of all.

    :param board: the entry's state
    :param client: HTTP client
    :param entries: peer addresses of entries, the own one among them
    :param find_address: returns the own peer address once it is bound
    :param sources: concerns that add to heartbeats
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        client: transport.Client,
        entries: list[str],
        find_address: Callable[[], str],
        sources: list[news.Source],
    ) -> None:
        self._board = board
        self._client = client
        self._entries = entries
        self._find_address = find_address
        self._sources = sources
        self._controller = view.MemberController()
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"membership": self}
        return [(r"/peer/heartbeat", HeartbeatHandler, options)]

    def start(self) -> None:
        """Start sending heartbeats."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending heartbeats."""
        if self._task is not None:
            self._task.cancel()

    def hear(self, beat: types.Heartbeat) -> types.HeartbeatReply:
        """Take over a heartbeat and return the reply."""
        now = time.monotonic()
        self._controller.hear(self._board.members, beat, now)
        news.spread_news(self._sources, beat, beat["news"])
        return {
            "host": self._board.host,
            "revision": self._board.catalog.revision,
            "news": news.gather_news(self._sources),
        }

    async def _run(self) -> None:
        while True:
            beat = self._make_beat()
            await asyncio.gather(
                *(
                    self._send(peer, beat)
                    for peer in self._entries
                    if peer != self._find_address()
                )
            )
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send(self, peer: str, beat: types.Heartbeat) -> None:
        try:
            reply = await self._client.call(
                f"http://{peer}/peer/heartbeat",
                beat,
                types.HeartbeatReply,
                HEARTBEAT_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message("entry:heartbeat", peer=peer, code=err.code)
            return
        news.spread_news(self._sources, None, reply["news"])

    def _make_beat(self) -> types.Heartbeat:
        return {
            "host": self._board.host,
            "role": "entry",
            "zone": self._board.zone,
            "address": self._find_address(),
            "incarnation": self._board.session,
            "route": "",
            "leaving": self._board.leaving,
            "revision": self._board.catalog.revision,
            "load": self._board.in_progress,
            "news": news.gather_news(self._sources),
        }


__all__ = ("Membership",)
