"""HTTP handlers for an entry's view of the fleet."""

from __future__ import annotations

import time
from collections.abc import Callable

from cyclamenwing.entry import blackboard
from cyclamenwing.entry import fleet_status
from cyclamenwing.entry import fleet_view
from cyclamenwing.membership import types
from cyclamenwing.transport import server


class SyncHandler(server.PeerHandler):
    """Serve ``POST /peer/members``: the whole view."""

    def initialize(self, gathered: fleet_view.FleetView) -> None:
        """Take the view."""
        self._gathered = gathered

    async def post(self) -> None:
        """Answer with the view unless it is the same."""
        asked = self.decode_body(types.SyncRequest)
        self.write_json(self._gathered.make_sync(asked["digest"]))


class FleetHandler(server.PeerHandler):
    """Serve ``POST /peer/fleet``: what operators ask of the fleet."""

    def initialize(
        self,
        board: blackboard.EntryBoard,
        find_address: Callable[[], str],
    ) -> None:
        """Take the shared state."""
        self._board = board
        self._find_address = find_address

    async def post(self) -> None:
        """Answer with this entry's state and view."""
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
