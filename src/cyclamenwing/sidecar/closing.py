"""HTTP handlers through which entries close sessions at a sidecar."""

from __future__ import annotations

from typing import Any

from cyclamenwing.budget import messages
from cyclamenwing.sidecar import accounts
from cyclamenwing.transport import server


class AccountsHandler(server.PeerHandler):
    """Serve one question about what sessions ran."""

    def initialize(self, held: accounts.Accounts) -> None:
        """Take the sidecar's accounts."""
        self._accounts = held


class CloseHandler(AccountsHandler):
    """Serve ``POST /v1/sessions/close``."""

    async def post(self) -> None:
        """Close a session and tell what it ran."""
        asked = self.decode_body(messages.SessionQuery)
        self.write_json(self._accounts.close_session(asked["session"]))


class BarHandler(AccountsHandler):
    """Serve ``POST /v1/sessions/bar``."""

    async def post(self) -> None:
        """Tell what became of reservations; refuse those not known."""
        asked = self.decode_body(messages.FenceRequest)
        self.write_json(self._accounts.bar(asked))


class SettledHandler(AccountsHandler):
    """Serve ``POST /v1/sessions/settled``."""

    async def post(self) -> None:
        """Drop what the ledger holds."""
        self._accounts.drop_settled(self.decode_body(messages.SettledNotice))
        self.write_json({})


class Closing:
    """Answer entries about what sessions ran.

    :param held: the sidecar's accounts
    """

    def __init__(self, held: accounts.Accounts) -> None:
        self._accounts = held

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"held": self._accounts}
        return [
            (r"/v1/sessions/close", CloseHandler, options),
            (r"/v1/sessions/bar", BarHandler, options),
            (r"/v1/sessions/settled", SettledHandler, options),
        ]

    def start(self) -> None:
        """Do nothing; questions need no background work."""

    async def close(self) -> None:
        """Do nothing; questions need no background work."""


__all__ = ("Closing",)
