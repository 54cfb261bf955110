"""Queries to sidecars and entries about sessions to close."""

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

QUERY_TIMEOUT_S = 1.0

T = TypeVar("T")


class SessionQueries:
    """Query the processes that may know a session's runs and transfers.

    :param board: the entry's state
    :param client: HTTP client
    :param own_transfers: transfers that this entry received
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        client: transport.Client,
        own_transfers: transfers.Transfers,
    ) -> None:
        self._board = board
        self._client = client
        self._transfers = own_transfers
        self._members = view.MemberController()

    def list_live(self) -> dict[str, str]:
        """Return the peer addresses of other live entries by session."""
        beats = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        return {
            beat["incarnation"]: beat["address"]
            for beat in beats
            if beat["host"] != self._board.host
        }

    def list_live_sessions(self) -> set[str]:
        """Return the live sessions, including this entry's."""
        return {self._board.session, *self.list_live()}

    async def close_at_sidecars(
        self, evidence: recovery.ClosingSession
    ) -> None:
        """Make the session's sidecars refuse it and collect its runs."""
        question = {"session": evidence.record["session"]}
        sidecar_reports = await asyncio.gather(
            *(
                self._query(
                    f"{sidecar['address']}/v1/sessions/close",
                    question,
                    messages.SidecarReport,
                )
                for sidecar in evidence.record["sidecars"]
            )
        )
        for answer in sidecar_reports:
            if answer is not None:
                evidence.sidecar_reports[answer["incarnation"]] = answer

    async def collect_transfers(
        self, evidence: recovery.ClosingSession
    ) -> set[str]:
        """Collect the session's transfers from live entries.

        Return the live sessions that did not answer.
        """
        donor = evidence.record["session"]
        evidence.transfers = self._transfers.close_transfers(donor)[
            "transfers"
        ]
        silent: set[str] = set()
        for session, address in self.list_live().items():
            answer = await self._query(
                f"{address}/peer/transfers",
                {"session": donor},
                messages.TransferReport,
            )
            if answer is None or answer["session"] != session:
                silent.add(session)
            else:
                evidence.transfers.extend(answer["transfers"])
        return silent - {donor}

    async def announce_settled(
        self, evidence: recovery.ClosingSession
    ) -> None:
        """Tell the session's sidecars that the ledger has settled all."""
        message: messages.SettledNotice = {
            "session": evidence.record["session"],
            "gone": True,
            "settled": {},
        }
        await asyncio.gather(
            *(
                self._query(
                    f"{sidecar['address']}/v1/sessions/settled",
                    message,
                    dict[str, Any],
                )
                for sidecar in evidence.record["sidecars"]
            )
        )

    async def _query(
        self, path: str, message: Any, reply: type[T]
    ) -> T | None:
        try:
            return await self._client.call(
                f"http://{path}", message, reply, QUERY_TIMEOUT_S
            )
        except base_errors.CodedError as err:
            eliot.log_message(
                "entry:session_query_failed", address=path, code=err.code
            )
            return None


__all__ = ("SessionQueries",)
