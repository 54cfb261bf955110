"""Calls of attached gateways to delegates for prepaid tokens."""

from __future__ import annotations

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing import errors
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import grant_messages
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import pooled_client

GRANT_PATH = "/peers/grant"
RETURN_PATH = "/peers/return"
PLEDGE_PATH = "/peers/pledge"
# Time for the call itself, on top of the delegate's wait for tokens.
CALL_TIMEOUT_S = 0.15
RETURN_TIMEOUT_S = 0.5
MAX_DELEGATES_ASKED = 3


class GrantClient:
    """Ask delegates for tokens and give them back."""

    def __init__(
        self, board: blackboard.Blackboard, http: pooled_client.PooledClient
    ) -> None:
        self._board = board
        self._caller = http

    async def request_grant(
        self, request: grant_messages.GrantRequest
    ) -> grant_messages.GrantReply | None:
        """Return the reply of the first delegate that answers, if any."""
        roster = self._board.roster
        body = msgspec.json.encode(request)
        holders = roster.find_holders(request.workspace, clock.read_time())
        for member in holders[:MAX_DELEGATES_ASKED]:
            try:
                status, answer = await self._caller.call(
                    member.address,
                    "POST",
                    GRANT_PATH,
                    body,
                    request.wait_s + CALL_TIMEOUT_S,
                )
                if status != 200:
                    continue
                reply = decoding.decode(answer, grant_messages.GrantReply)
            except (errors.CodedError, msgspec.DecodeError) as err:
                roster.record_failure(member.host, clock.read_time())
                eliot.log_message(
                    "grant:delegate_failed",
                    delegate=member.host,
                    workspace=request.workspace,
                    tokens=request.tokens,
                    reason=str(err),
                )
                continue
            roster.record_contact(member.host, clock.read_time())
            return reply
        return None

    async def ask_pledged(
        self, address: str, request: grant_messages.PledgeRequest
    ) -> int:
        """Return how many pledged tokens a delegate has handed over."""
        try:
            status, answer = await self._caller.call(
                address,
                "POST",
                PLEDGE_PATH,
                msgspec.json.encode(request),
                request.wait_s + CALL_TIMEOUT_S,
            )
            if status != 200:
                return 0
            reply = decoding.decode(answer, grant_messages.PledgeReply)
        except (errors.CodedError, msgspec.DecodeError) as err:
            eliot.log_message(
                "pledge:failed",
                delegate=address,
                pledge=request.name,
                tokens=request.tokens,
                reason=str(err),
            )
            return 0
        return max(reply.tokens, 0)

    async def return_tokens(self, workspace: str, tokens: int) -> bool:
        """Give tokens to a delegate that holds the workspace's.

        Return False if none has received them for certain. They are lost if
        the answer is.
        """
        holders = self._board.roster.find_holders(workspace, clock.read_time())
        for member in holders[:MAX_DELEGATES_ASKED]:
            try:
                status, _ = await self._caller.call(
                    member.address,
                    "POST",
                    RETURN_PATH,
                    msgspec.json.encode({workspace: tokens}),
                    RETURN_TIMEOUT_S,
                )
            except transport_errors.ConnectFailedError:
                continue
            except errors.CodedError as err:
                eliot.log_message(
                    "grant:return_in_doubt",
                    delegate=member.host,
                    workspace=workspace,
                    tokens=tokens,
                    reason=err.message,
                )
                return True
            if status == 200:
                return True
        return False


__all__ = (
    "GRANT_PATH",
    "PLEDGE_PATH",
    "RETURN_PATH",
    "GrantClient",
)
