"""HTTP handlers for operators' queries to an entry."""

from __future__ import annotations

from typing import Any

from cyclamenwing.entry import blackboard
from cyclamenwing.transport import server


class ExplainHandler(server.PeerHandler):
    """Serve ``POST /peer/explain``."""

    def initialize(
        self,
        board: blackboard.EntryBoard,
    ) -> None:
        """Store the blackboard."""
        self._board = board

    async def post(self) -> None:
        """Return the recorded steps of a request at this entry."""
        query = self.decode_body(dict[str, str])
        request = query.get("request", "")
        self.write_json({
            "request": request,
            "host": self._board.host,
            "steps": self._board.journal.find(request),
        })


class StatusHandler(server.PeerHandler):
    """Serve ``POST /peer/status``."""

    def initialize(
        self,
        board: blackboard.EntryBoard,
    ) -> None:
        """Store the blackboard."""
        self._board = board

    async def post(self) -> None:
        """Return this entry's state and member view."""
        self.write_json({
            "host": self._board.host,
            "zone": self._board.zone,
            "session": self._board.session,
            "revision": self._board.catalog.revision,
            "in_progress": self._board.in_progress,
            "members": list(self._board.members.members.values()),
        })


class OperatorQueries:
    """Provide the handlers for operators' queries.

    :param board: the entry's state
    """

    def __init__(self, board: blackboard.EntryBoard) -> None:
        self._board = board

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"board": self._board}
        return [
            (r"/peer/explain", ExplainHandler, options),
            (r"/peer/status", StatusHandler, options),
        ]

    def start(self) -> None:
        """Do nothing; queries need no background work."""

    async def close(self) -> None:
        """Do nothing; queries need no background work."""


__all__ = (
    "ExplainHandler",
    "OperatorQueries",
    "StatusHandler",
)
