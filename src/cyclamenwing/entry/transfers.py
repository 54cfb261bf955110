"""Transfers of grants between entries."""

from __future__ import annotations

import time
import uuid
from typing import Any

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import messages
from cyclamenwing.budget import peers
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import rank
from cyclamenwing.membership import types as member_types
from cyclamenwing.membership import view
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

TRANSFER_TIMEOUT_S = 0.5
MAX_DONORS = 16
ATTEMPTS = 2


class TransferHandler(server.PeerHandler):
    """Serve ``POST /peer/transfer``."""

    def initialize(self, part: Transfers) -> None:
        """Take the part that gives."""
        self._part = part

    async def post(self) -> None:
        """Give units to a peer."""
        ask = self.decode_body(messages.TransferRequest)
        self.write_json(self._part.give(ask))


class ClosingHandler(server.PeerHandler):
    """Serve ``POST /peer/transfers``."""

    def initialize(self, part: Transfers) -> None:
        """Take the part that knows transfers."""
        self._part = part

    async def post(self) -> None:
        """Tell transfers with a session, and take no more."""
        asked = self.decode_body(messages.SessionQuery)
        self.write_json(self._part.report_transfers(asked["session"]))


class Transfers:
    """Ask peers for units and give them.

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
            (r"/peer/transfers", ClosingHandler, options),
        ]

    def start(self) -> None:
        """Do nothing; transfers are asked for when they are needed."""

    async def close(self) -> None:
        """Do nothing; transfers are asked for when they are needed."""

    def give(self, ask: messages.TransferRequest) -> messages.TransferReply:
        """Deduct units for a peer."""
        return self._controller.give(self._board.holder, ask)

    def report_transfers(self, donor: str) -> messages.TransferReport:
        """Tell transfers with a session, and take no more."""
        return self._controller.report_transfers(self._board.holder, donor)

    async def gather(self, budget: str, amount: int, deadline: float) -> None:
        """Ask live peers until an amount is available or none is left."""
        account = self._board.holder.get_account(budget)
        for peer in self._rank_donors(budget):
            short = amount - account.count_available()
            if short <= 0 or time.monotonic() >= deadline:
                return
            ask: messages.TransferRequest = {
                "ask": uuid.uuid4().hex,
                "budget": budget,
                "session": self._board.session,
                "needed": short,
                "wanted": short * 2,
            }
            await self._ask(peer["address"], ask)

    async def _ask(self, address: str, ask: messages.TransferRequest) -> None:
        for _ in range(ATTEMPTS):
            try:
                reply = await self._client.call(
                    f"http://{address}/peer/transfer",
                    ask,
                    messages.TransferReply,
                    TRANSFER_TIMEOUT_S,
                )
            except base_errors.CodedError as err:
                eliot.log_message(
                    "entry:transfer", peer=address, code=err.code
                )
                continue
            for transfer in reply["transfers"]:
                self._controller.take(self._board.holder, transfer)
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
        ranked = rank.rank_members(f"donor/{budget}", by_host)
        return [by_host[host] for host in ranked[:MAX_DONORS]]


__all__ = ("Transfers",)
