"""Heartbeats of a sidecar."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import eliot

from cyclamenwing.membership import news
from cyclamenwing.membership import types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_TIMEOUT_S = 1.0


class Membership:
    """Report a sidecar to entries.

    :param board: the sidecar's state
    :param client: HTTP client
    :param entries: peer addresses of entries
    :param find_address: returns the own address once it is bound
    :param sources: concerns that add to heartbeats
    """

    def __init__(
        self,
        board: blackboard.SidecarBoard,
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
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return []

    def start(self) -> None:
        """Start sending heartbeats."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending heartbeats."""
        if self._task is not None:
            self._task.cancel()

    async def announce(self) -> None:
        """Send a heartbeat to all entries at once."""
        beat = self._make_beat()
        await asyncio.gather(
            *(self._send(entry, beat) for entry in self._entries)
        )

    async def _run(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send(self, entry: str, beat: types.Heartbeat) -> None:
        try:
            reply = await self._client.call(
                f"http://{entry}/peer/heartbeat",
                beat,
                types.HeartbeatReply,
                HEARTBEAT_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message("sidecar:heartbeat", entry=entry, code=err.code)
            return
        self._board.revision = max(self._board.revision, reply["revision"])
        news.spread_news(self._sources, None, reply["news"])

    def _make_beat(self) -> types.Heartbeat:
        return {
            "host": self._board.host,
            "role": "sidecar",
            "zone": self._board.zone,
            "address": self._find_address(),
            "incarnation": self._board.incarnation,
            "route": self._board.route,
            "leaving": self._board.runs.leaving,
            "revision": self._board.revision,
            "load": self._board.running,
            "news": news.gather_news(self._sources),
        }


__all__ = ("Membership",)
