"""HTTP handlers for other processes of the fleet."""

from __future__ import annotations

import time

from cyclamenwing.budget import coordinator
from cyclamenwing.budget import types as budget_types
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import types as member_types
from cyclamenwing.membership import view
from cyclamenwing.transport import server


class HeartbeatHandler(server.PeerHandler):
    """Serve ``POST /peer/heartbeat``."""

    def initialize(
        self,
        board: blackboard.EntryBoard,
    ) -> None:
        """Take the shared state."""
        self._board = board
        self._members = view.MemberController()

    async def post(self) -> None:
        """Take over a heartbeat and answer with the own state."""
        beat = self.decode_body(member_types.Heartbeat)
        self._members.hear(self._board.members, beat, time.monotonic())
        reply: member_types.HeartbeatReply = {
            "host": self._board.host,
            "revision": self._board.catalog.revision,
        }
        self.write_json(reply)


class LedgerHandler(server.PeerHandler):
    """Serve ``POST /peer/ledger``."""

    def initialize(
        self,
        ledger: coordinator.Coordinator,
    ) -> None:
        """Take the shared state."""
        self._ledger = ledger

    async def post(self) -> None:
        """Commit a batch as the shard's coordinator."""
        batch = self.decode_body(budget_types.LedgerBatch)
        self.write_json(await self._ledger.submit(batch))


class ExplainHandler(server.PeerHandler):
    """Serve ``POST /peer/explain``."""

    def initialize(
        self,
        board: blackboard.EntryBoard,
    ) -> None:
        """Take the shared state."""
        self._board = board

    async def post(self) -> None:
        """Return a request's course at this entry."""
        asked = self.decode_body(dict[str, str])
        request = asked.get("request", "")
        self.write_json({
            "request": request,
            "entry": self._board.host,
            "steps": self._board.journal.find(request),
        })


class StatusHandler(server.PeerHandler):
    """Serve ``POST /peer/status``."""

    def initialize(
        self,
        board: blackboard.EntryBoard,
    ) -> None:
        """Take the shared state."""
        self._board = board

    async def post(self) -> None:
        """Return what this entry knows of the fleet."""
        self.write_json({
            "host": self._board.host,
            "zone": self._board.zone,
            "session": self._board.session,
            "revision": self._board.catalog.revision,
            "in_progress": self._board.in_progress,
            "members": list(self._board.members.members.values()),
        })


__all__ = (
    "ExplainHandler",
    "HeartbeatHandler",
    "LedgerHandler",
    "StatusHandler",
)
