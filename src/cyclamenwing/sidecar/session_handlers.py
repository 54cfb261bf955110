"""HTTP handlers with which entries close and settle sessions."""

from __future__ import annotations

from typing import Any

from cyclamenwing.budget import messages
from cyclamenwing.sidecar import accounts
from cyclamenwing.transport import server


class AccountsHandler(server.PeerHandler):
    """Serve requests about the run records of sessions."""

    def initialize(self, held: accounts.Accounts) -> None:
        """Set the session accounts."""
        self._accounts = held


class CloseSessionHandler(AccountsHandler):
    """Serve ``POST /v1/sessions/close``."""

    async def post(self) -> None:
        """Close a session and return its run records."""
        question = self.decode_body(messages.SessionQuery)
        self.write_json(self._accounts.close_session(question["session"]))


class FenceReservationsHandler(AccountsHandler):
    """Serve ``POST /v1/sessions/bar``."""

    async def post(self) -> None:
        """Return run records of reservations and fence those without one."""
        question = self.decode_body(messages.FenceRequest)
        self.write_json(self._accounts.fence_reservations(question))


class SettledHandler(AccountsHandler):
    """Serve ``POST /v1/sessions/settled``."""

    async def post(self) -> None:
        """Drop the records that the ledger has settled."""
        self._accounts.drop_settled(self.decode_body(messages.SettledNotice))
        self.write_json({})


class SessionService:
    """Provide the handlers for the session accounts.

    :param session_accounts: session accounts of the sidecar
    """

    def __init__(self, session_accounts: accounts.Accounts) -> None:
        self._accounts = session_accounts

    def list_handlers(self) -> list[Any]:
        """Return the HTTP handlers for peers as Tornado rules."""
        options = {"held": self._accounts}
        return [
            (r"/v1/sessions/close", CloseSessionHandler, options),
            (r"/v1/sessions/bar", FenceReservationsHandler, options),
            (r"/v1/sessions/settled", SettledHandler, options),
        ]

    def start(self) -> None:
        """Do nothing; the handlers need no background work."""

    async def close(self) -> None:
        """Do nothing; the handlers need no background work."""


__all__ = ("SessionService",)
