"""Questions to sidecars and entries about sessions that are gone."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TypeVar

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import messages
from cyclamenwing.budget import recovery
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import transfers
from cyclamenwing.membership import view
from cyclamenwing.transport import protocol as transport

QUESTION_TIMEOUT_S = 1.0

T = TypeVar("T")


class Witnesses:
    """Ask those that may know what a session ran or gave.

    :param board: the entry's state
    :param client: HTTP client
    :param own: transfers that this entry took
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        client: transport.Client,
        own: transfers.Transfers,
    ) -> None:
        self._board = board
        self._client = client
        self._own = own
        self._members = view.MemberController()

    def list_live(self) -> dict[str, str]:
        """Return the addresses of other live entries by session."""
        beats = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        return {
            beat["incarnation"]: beat["address"]
            for beat in beats
            if beat["host"] != self._board.host
        }

    def list_heard(self) -> set[str]:
        """Return the live sessions, the own one among them."""
        return {self._board.session, *self.list_live()}

    async def ask_sidecars(self, inquest: recovery.ClosingSession) -> None:
        """Have the session's sidecars refuse it and tell what it ran."""
        question = {"session": inquest.record["session"]}
        answers = await asyncio.gather(
            *(
                self._ask(
                    f"{sidecar['address']}/v1/sessions/close",
                    question,
                    messages.SidecarReport,
                )
                for sidecar in inquest.record["sidecars"]
            )
        )
        for answer in answers:
            if answer is not None:
                inquest.answers[answer["incarnation"]] = answer

    async def ask_entries(self, inquest: recovery.ClosingSession) -> set[str]:
        """Find the session's transfers; return live sessions that fail."""
        donor = inquest.record["session"]
        inquest.transfers = self._own.report_transfers(donor)["transfers"]
        silent: set[str] = set()
        for session, address in self.list_live().items():
            answer = await self._ask(
                f"{address}/peer/transfers",
                {"session": donor},
                messages.TransferReport,
            )
            if answer is None or answer["session"] != session:
                silent.add(session)
            else:
                inquest.transfers.extend(answer["transfers"])
        return silent - {donor}

    async def tell_gone(self, inquest: recovery.ClosingSession) -> None:
        """Tell the session's sidecars that the ledger holds all of it."""
        note: messages.SettledNotice = {
            "session": inquest.record["session"],
            "gone": True,
            "settled": {},
        }
        await asyncio.gather(
            *(
                self._ask(
                    f"{sidecar['address']}/v1/sessions/settled",
                    note,
                    dict[str, Any],
                )
                for sidecar in inquest.record["sidecars"]
            )
        )

    async def _ask(self, path: str, message: Any, reply: type[T]) -> T | None:
        try:
            return await self._client.call(
                f"http://{path}", message, reply, QUESTION_TIMEOUT_S
            )
        except base_errors.CodedError as err:
            eliot.log_message("entry:witness", asked=path, code=err.code)
            return None


__all__ = ("Witnesses",)
