"""Reconciliation of reservations and runs with the sidecars."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TypeVar

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import account
from cyclamenwing.budget import holder
from cyclamenwing.budget import messages
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import types as member_types
from cyclamenwing.membership import view
from cyclamenwing.transport import component
from cyclamenwing.transport import protocol as transport

REPORT_INTERVAL_S = 2.0
REPORT_TIMEOUT_S = 1.0
MAX_QUERIED_RESERVATIONS = 1_000

T = TypeVar("T")


class Reconciliation(component.LoopComponent):
    """Resolve reservations in doubt and report settled runs to sidecars.

    :param board: the entry's state
    :param client: HTTP client
    """

    def __init__(
        self, board: blackboard.EntryBoard, client: transport.Client
    ) -> None:
        self._board = board
        self._client = client
        self._controller = holder.HolderController()
        self._members = view.MemberController()

    async def resolve_in_doubt(self) -> None:
        """Ask the sidecars about reservations whose runs are in doubt.

        A reservation is released once every sidecar of the session has
        answered that it did not run the request and has fenced it.
        """
        board = self._board.holder
        reservations = list(board.in_doubt)[:MAX_QUERIED_RESERVATIONS]
        if not reservations:
            return
        query: messages.FenceRequest = {
            "session": board.session,
            "reservations": reservations,
        }
        answers = await self._query_all("bar", query, messages.SidecarReport)
        answered = {answer["incarnation"] for answer in answers}
        records = {
            (record["budget"], record["sequence"]): record
            for answer in answers
            for record in answer["records"]
        }
        complete = self._board.served <= answered
        for reservation in reservations:
            self._resolve(
                board, reservation, records.get(reservation), complete
            )

    def _resolve(
        self,
        board: account.HolderBoard,
        reservation: tuple[str, int],
        record: Any,
        complete: bool,
    ) -> None:
        if record is not None:
            if not record["running"]:
                self._controller.resolve(board, reservation, record["used"])
        elif complete:
            self._controller.resolve(board, reservation, None)

    async def send_settled(self) -> None:
        """Report the runs that the ledger has settled to the sidecars."""
        board = self._board.holder
        settled_message: messages.SettledNotice = {
            "session": board.session,
            "gone": False,
            "settled": {
                budget: (
                    budget_account.confirmed_sequences[0],
                    list(budget_account.confirmed_sequences[1]),
                )
                for budget, budget_account in board.accounts.items()
                if budget_account.confirmed_sequences[0] > 1
            },
        }
        if settled_message["settled"]:
            await self._query_all("settled", settled_message, dict[str, Any])

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await self.resolve_in_doubt()
            await self.send_settled()

    async def _query_all(
        self, path: str, message: object, reply: type[T]
    ) -> list[T]:
        live = self._members.list_live(
            self._board.members, "sidecar", time.monotonic()
        )
        answers = await asyncio.gather(
            *(
                self._query(beat, path, message, reply)
                for beat in live
                if beat["incarnation"] in self._board.served
            )
        )
        return [answer for answer in answers if answer is not None]

    async def _query(
        self,
        beat: member_types.Heartbeat,
        path: str,
        message: object,
        reply: type[T],
    ) -> T | None:
        try:
            return await self._client.call(
                f"http://{beat['address']}/v1/sessions/{path}",
                message,
                reply,
                REPORT_TIMEOUT_S,
            )
        except base_errors.CodedError as err:
            eliot.log_message(
                "entry:sidecar_query_failed",
                sidecar=beat["host"],
                code=err.code,
            )
            return None


__all__ = ("Reconciliation",)
