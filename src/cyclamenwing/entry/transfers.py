"""Transfers of granted units between entries."""

from __future__ import annotations

import time
import uuid
from typing import Any

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import messages
from cyclamenwing.budget import peers
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import rendezvous
from cyclamenwing.membership import types as member_types
from cyclamenwing.membership import view
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

TRANSFER_TIMEOUT_S = 0.5
MAX_DONORS = 16
ATTEMPTS_PER_DONOR = 2


class TransferHandler(server.PeerHandler):
    """Serve ``POST /peer/transfer``."""

    def initialize(self, part: Transfers) -> None:
        """Store the transfer service."""
        self._transfers = part

    async def post(self) -> None:
        """Transfer units to a peer."""
        request = self.decode_body(messages.TransferRequest)
        self.write_json(self._transfers.deduct_transfer(request))


class SessionTransfersHandler(server.PeerHandler):
    """Serve ``POST /peer/transfers``."""

    def initialize(self, part: Transfers) -> None:
        """Store the transfer service."""
        self._transfers = part

    async def post(self) -> None:
        """Return the transfers with a session and accept no more from it."""
        question = self.decode_body(messages.SessionQuery)
        self.write_json(self._transfers.close_transfers(question["session"]))


class Transfers:
    """Request units from peers and transfer units to them.

    :param board: the entry's state
    :param client: HTTP client
    """

    def __init__(
        self, board: blackboard.EntryBoard, client: transport.Client
    ) -> None:
        self._board = board
        self._client = client
        self._controller = peers.PeerController()
        self._members = view.MemberController()

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"part": self}
        return [
            (r"/peer/transfer", TransferHandler, options),
            (r"/peer/transfers", SessionTransfersHandler, options),
        ]

    def start(self) -> None:
        """Do nothing; transfers are requested on demand."""

    async def close(self) -> None:
        """Do nothing; transfers are requested on demand."""

    def deduct_transfer(
        self, request: messages.TransferRequest
    ) -> messages.TransferReply:
        """Deduct units for a peer and return the reply."""
        return self._controller.deduct_transfer(self._board.holder, request)

    def close_transfers(self, donor: str) -> messages.TransferReport:
        """Return the transfers with a session and accept no more from it."""
        return self._controller.report_transfers(self._board.holder, donor)

    async def collect(self, budget: str, amount: int, deadline: float) -> None:
        """Request units from live peers until enough are available.

        Stop at the deadline or once every ranked donor was asked.

        :param amount: units that must be available
        :param deadline: latest start of a request, in monotonic seconds
        """
        account = self._board.holder.get_account(budget)
        for peer in self._rank_donors(budget):
            missing = amount - account.count_available()
            if missing <= 0 or time.monotonic() >= deadline:
                return
            request: messages.TransferRequest = {
                "ask": uuid.uuid4().hex,
                "budget": budget,
                "session": self._board.session,
                "needed": missing,
                "wanted": missing * 2,
            }
            await self._request_transfer(peer["address"], request)

    async def _request_transfer(
        self, address: str, request: messages.TransferRequest
    ) -> None:
        for _ in range(ATTEMPTS_PER_DONOR):
            try:
                reply = await self._client.call(
                    f"http://{address}/peer/transfer",
                    request,
                    messages.TransferReply,
                    TRANSFER_TIMEOUT_S,
                )
            except base_errors.CodedError as err:
                eliot.log_message(
                    "entry:transfer_failed", peer=address, code=err.code
                )
                continue
            for transfer in reply["transfers"]:
                self._controller.add_transfer(self._board.holder, transfer)
            return

    def _rank_donors(self, budget: str) -> list[member_types.Heartbeat]:
        live = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        by_host = {
            beat["host"]: beat
            for beat in live
            if beat["host"] != self._board.host
        }
        ranked = rendezvous.rank_members(f"donor/{budget}", by_host)
        return [by_host[host] for host in ranked[:MAX_DONORS]]


__all__ = ("Transfers",)
