"""What an entry and its sidecars tell each other about runs."""

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
from cyclamenwing.transport import part
from cyclamenwing.transport import protocol as transport

REPORT_INTERVAL_S = 2.0
REPORT_TIMEOUT_S = 1.0
MAX_QUESTIONS = 1_000

T = TypeVar("T")


class Reports(part.LoopPart):
    """Tell sidecars what the ledger holds, and settle unknown runs.

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

    async def resolve_doubts(self) -> None:
        """Ask the sidecars about reservations whose run is unknown.

        One is given back once every sidecar of the session has told that
        it did not run it and will not.
        """
        board = self._board.holder
        names = list(board.in_doubt)[:MAX_QUESTIONS]
        if not names:
            return
        question: messages.FenceRequest = {
            "session": board.session,
            "reservations": names,
        }
        answers = await self._ask_all("bar", question, messages.SidecarReport)
        told = {answer["incarnation"] for answer in answers}
        records = {
            (record["budget"], record["sequence"]): record
            for answer in answers
            for record in answer["records"]
        }
        complete = self._board.served <= told
        for name in names:
            self._resolve(board, name, records.get(name), complete)

    def _resolve(
        self,
        board: account.HolderBoard,
        name: tuple[str, int],
        record: Any,
        complete: bool,
    ) -> None:
        if record is not None:
            if not record["running"]:
                self._controller.resolve(board, name, record["used"])
        elif complete:
            self._controller.resolve(board, name, None)

    async def tell_settled(self) -> None:
        """Tell the sidecars what the ledger holds of the session."""
        board = self._board.holder
        note: messages.SettledNotice = {
            "session": board.session,
            "gone": False,
            "settled": {
                budget: (
                    held.confirmed_sequences[0],
                    list(held.confirmed_sequences[1]),
                )
                for budget, held in board.accounts.items()
                if held.confirmed_sequences[0] > 1
            },
        }
        if note["settled"]:
            await self._ask_all("settled", note, dict[str, Any])

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await self.resolve_doubts()
            await self.tell_settled()

    async def _ask_all(
        self, path: str, message: object, reply: type[T]
    ) -> list[T]:
        live = self._members.list_live(
            self._board.members, "sidecar", time.monotonic()
        )
        answers = await asyncio.gather(
            *(
                self._ask(beat, path, message, reply)
                for beat in live
                if beat["incarnation"] in self._board.served
            )
        )
        return [answer for answer in answers if answer is not None]

    async def _ask(
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
                "entry:report", sidecar=beat["host"], code=err.code
            )
            return None


__all__ = ("Reports",)
