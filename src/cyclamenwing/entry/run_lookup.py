"""Lookup of the sidecar that has the run of an idempotency key."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

from cyclamenwing import errors as base_errors
from cyclamenwing.entry import admission
from cyclamenwing.entry import attempts
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import rendezvous
from cyclamenwing.membership import types as membership_types
from cyclamenwing.membership import view
from cyclamenwing.request import run_table
from cyclamenwing.request import types
from cyclamenwing.transport import protocol as transport

QUERY_TIMEOUT_S = 0.25
MAX_QUERIED_SIDECARS = 64


class LookupResult(NamedTuple):
    """Hold the address of the sidecar with a run, or None.

    `complete` is false if a sidecar that may have the run did not answer.
    """

    address: str | None
    complete: bool


class RunLookup:
    """Query the sidecars of a route, including those that are draining.

    :param board: the entry's state
    :param client: HTTP client
    """

    def __init__(
        self, board: blackboard.EntryBoard, client: transport.Client
    ) -> None:
        self._board = board
        self._client = client
        self._members = view.MemberController()

    async def find(self, admitted: admission.AdmittedRequest) -> LookupResult:
        """Query all sidecars at once; stop at the first that has the run."""
        query_tasks = [
            asyncio.create_task(self._query(admitted, beat))
            for beat in self._pick_sidecars(admitted)
        ]
        complete = not self._has_unreachable(admitted.route["name"])
        try:
            for answer in asyncio.as_completed(query_tasks):
                reply = await answer
                if reply.address is not None:
                    return reply
                complete = complete and reply.complete
        finally:
            for task in query_tasks:
                task.cancel()
        return LookupResult(None, complete)

    async def query_sidecar(
        self, address: str, query: types.KeyQuery
    ) -> types.KeyReply:
        """Query one sidecar; raise a coded error."""
        return await self._client.call(
            f"http://{address}/v1/runs/find",
            query,
            types.KeyReply,
            QUERY_TIMEOUT_S,
        )

    def _pick_sidecars(
        self, admitted: admission.AdmittedRequest
    ) -> list[membership_types.Heartbeat]:
        live = self._members.list_live(
            self._board.members, "sidecar", time.monotonic()
        )
        name = admitted.route["name"]
        beats = {beat["host"]: beat for beat in live if beat["route"] == name}
        ranked = rendezvous.rank_members(admitted.key, beats)
        return [beats[host] for host in ranked[:MAX_QUERIED_SIDECARS]]

    def _has_unreachable(self, route: str) -> bool:
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

    async def _query(
        self,
        admitted: admission.AdmittedRequest,
        beat: membership_types.Heartbeat,
    ) -> LookupResult:
        query = attempts.make_query(admitted, beat["incarnation"], 0)
        try:
            reply = await self.query_sidecar(beat["address"], query)
        except base_errors.CodedError:
            return LookupResult(None, False)
        return LookupResult(beat["address"] if reply["found"] else None, True)


__all__ = (
    "MAX_QUERIED_SIDECARS",
    "QUERY_TIMEOUT_S",
    "LookupResult",
    "RunLookup",
)
