"""Tokens that a delegate keeps for running requests of other gateways.

A gateway that does not hold a budget gets the tokens of a long answer in
parts. What is pledged stays with the delegate, so that the death of either
process leaves little counted as used. A pledge that is lost costs a request
for new tokens, and never more than the delegate holds.
"""

from __future__ import annotations

import dataclasses

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing.budget import escrow
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import grant_messages
from cyclamenwing.gateway import reservation

# A pledge is kept for this long after the longest time of its request.
EXPIRY_SLACK_S = 1.0


@dataclasses.dataclass(slots=True)
class Pledge:
    """Hold the tokens that are pledged to one request.

    :param expires_s: time by which its request has ended
    """

    account: escrow.WorkspaceAccount
    reserved: reservation.Reservation
    expires_s: float


class PledgeBook:
    """Keep the pledges of one delegate."""

    def __init__(self) -> None:
        self._pledges: dict[str, Pledge] = {}

    def add(
        self,
        name: str,
        account: escrow.WorkspaceAccount,
        reserved: reservation.Reservation,
        lasts_s: float,
    ) -> int:
        """Keep what is not usable yet; return what is, to be handed over."""
        expires_s = clock.read_time() + lasts_s + EXPIRY_SLACK_S
        pledge = Pledge(account, reserved, expires_s)
        tokens = _hand_over(pledge)
        if reserved.tokens:
            self._pledges[name] = pledge
        return tokens

    async def answer(self, body: bytes) -> bytes:
        """Hand over pledged tokens, or end a pledge."""
        request = decoding.decode(body, grant_messages.PledgeRequest)
        pledge = self._pledges.get(request.name)
        tokens = 0
        if pledge is not None and request.tokens > 0:
            try:
                await pledge.reserved.cover(
                    request.tokens, clock.read_time() + request.wait_s
                )
            except errors.AnswerLateError as err:
                eliot.log_message(
                    "pledge:not_allowed",
                    pledge=request.name,
                    tokens=request.tokens,
                    reason=err.message,
                )
            # Nothing is left of it if it has ended meanwhile.
            tokens = _hand_over(pledge)
        if request.tokens <= 0 or (pledge and not pledge.reserved.tokens):
            self.end(request.name)
        return msgspec.json.encode(grant_messages.PledgeReply(tokens))

    def end(self, name: str) -> None:
        """Free the tokens of a pledge."""
        pledge = self._pledges.pop(name, None)
        if pledge is not None:
            pledge.reserved.settle(0)

    def expire(self) -> None:
        """End the pledges whose request can't run any more."""
        now_s = clock.read_time()
        expired = [n for n, p in self._pledges.items() if p.expires_s < now_s]
        for name in expired:
            eliot.log_message("pledge:expired", pledge=name)
            self.end(name)

    def end_all(self) -> None:
        """Free all pledged tokens, as the process stops."""
        for name in list(self._pledges):
            self.end(name)


def _hand_over(pledge: Pledge) -> int:
    tokens = pledge.reserved.usable
    pledge.account.hand_over(tokens)
    pledge.reserved.usable = 0
    pledge.reserved.tokens -= tokens
    return tokens


__all__ = (
    "Pledge",
    "PledgeBook",
)
