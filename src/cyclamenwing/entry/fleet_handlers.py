"""HTTP handlers that return an entry's view of the fleet."""

from __future__ import annotations

import time
from collections.abc import Callable

from cyclamenwing.entry import blackboard
from cyclamenwing.entry import fleet_status
from cyclamenwing.entry import fleet_view
from cyclamenwing.membership import types
from cyclamenwing.transport import server


class SyncHandler(server.PeerHandler):
    """Serve ``POST /peer/members``: the whole member view."""

    def initialize(self, gathered: fleet_view.FleetView) -> None:
        """Store the fleet view."""
        self._fleet_view = gathered

    async def post(self) -> None:
        """Return the view unless its digest equals the given one."""
        request = self.decode_body(types.SyncRequest)
        self.write_json(self._fleet_view.make_sync_reply(request["digest"]))


class FleetHandler(server.PeerHandler):
    """Serve ``POST /peer/fleet``: the fleet status for operators."""

    def initialize(
        self,
        board: blackboard.EntryBoard,
        find_address: Callable[[], str],
    ) -> None:
        """Store the blackboard and the address lookup."""
        self._board = board
        self._find_address = find_address

    async def post(self) -> None:
        """Return this entry's status and view of the fleet."""
        self.decode_body(dict[str, str])
        self.write_json(
            fleet_status.describe_fleet(
                self._board, self._find_address(), time.monotonic()
            )
        )


__all__ = (
    "FleetHandler",
    "SyncHandler",
)
