"""Search of the sidecar that has a key's run."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import attempts
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import rank
from cyclamenwing.membership import types as membership_types
from cyclamenwing.membership import view
from cyclamenwing.request import run_table
from cyclamenwing.request import types
from cyclamenwing.transport import protocol as transport

FIND_TIMEOUT_S = 0.25
MAX_ASKED = 64


class Search(NamedTuple):
    """Hold where a key's run is; not `whole` if some did not answer."""

    address: str | None
    whole: bool


class Finder:
    """Ask a route's sidecars, those that are leaving among them.

    :param board: the entry's state
    :param client: HTTP client
    """

    def __init__(
        self, board: blackboard.EntryBoard, client: transport.Client
    ) -> None:
        self._board = board
        self._client = client
        self._members = view.MemberController()

    async def find(self, accepted: admission.Accepted) -> Search:
        """Ask all sidecars at once; the first that has the run ends it."""
        asked = [
            asyncio.create_task(self._ask(accepted, beat))
            for beat in self._pick_sidecars(accepted)
        ]
        whole = not self._has_lost(accepted.route["name"])
        try:
            for answer in asyncio.as_completed(asked):
                reply = await answer
                if reply.address is not None:
                    return reply
                whole = whole and reply.whole
        finally:
            for task in asked:
                task.cancel()
        return Search(None, whole)

    async def ask(self, address: str, query: types.KeyQuery) -> types.KeyReply:
        """Ask one sidecar; raise a coded error."""
        return await self._client.call(
            f"http://{address}/v1/runs/find",
            query,
            types.KeyReply,
            FIND_TIMEOUT_S,
        )

    def _pick_sidecars(
        self, accepted: admission.Accepted
    ) -> list[membership_types.Heartbeat]:
        live = self._members.list_live(
            self._board.members, "sidecar", time.monotonic()
        )
        name = accepted.route["name"]
        beats = {beat["host"]: beat for beat in live if beat["route"] == name}
        ranked = rank.rank_members(accepted.key, beats)
        return [beats[host] for host in ranked[:MAX_ASKED]]

    def _has_lost(self, route: str) -> bool:
        now = time.monotonic()
        ages = [
            now - member["heard_at"]
            for member in self._board.members.members.values()
            if member["beat"]["route"] == route
        ]
        return any(
            view.SUSPECT_AFTER_S <= age < run_table.ANSWER_RETENTION_S
            for age in ages
        )

    async def _ask(
        self,
        accepted: admission.Accepted,
        beat: membership_types.Heartbeat,
    ) -> Search:
        query = attempts.make_query(accepted, beat["incarnation"], 0)
        try:
            reply = await self.ask(beat["address"], query)
        except base_errors.CodedError:
            return Search(None, False)
        return Search(beat["address"] if reply["found"] else None, True)


__all__ = (
    "FIND_TIMEOUT_S",
    "MAX_ASKED",
    "Finder",
    "Search",
)
