"""Calls for the tokens of one request, and their replies."""

from __future__ import annotations

import msgspec


class GrantRequest(msgspec.Struct):
    """Ask a delegate to reserve tokens and hand them over.

    :param goal_s: latency goal of the request's route
    :param wait_s: longest time to wait for tokens
    :param attached: the asking gateway is no delegate, as far as it knows
    :param initial: tokens to hand over now, 0 for all; the others are pledged
    :param name: name of the pledge, unique among all gateways
    :param lasts_s: longest time for which the pledge is needed
    """

    host: str
    workspace: str
    tokens: int
    goal_s: float
    wait_s: float
    attached: bool = True
    initial: int = 0
    name: str = ""
    lasts_s: float = 0.0


class GrantReply(msgspec.Struct):
    """Hand over the tokens asked for, or none; they are lost with the reply.

    A delegate that knows no pledges hands over all at once.

    :param delegate: address to ask for pledged tokens
    :param spent: the budget has too few tokens left
    :param retry_after_s: time after which to ask again
    """

    tokens: int
    spent: bool = False
    retry_after_s: float = 0.0
    delegate: str = ""


class PledgeRequest(msgspec.Struct):
    """Ask for pledged tokens, or end the pledge with 0.

    :param wait_s: longest time to wait for them
    """

    name: str
    tokens: int
    wait_s: float


class PledgeReply(msgspec.Struct):
    """Hand over pledged tokens, 0 if there is no such pledge any more.

    It may be more than was asked for.
    """

    tokens: int


__all__ = (
    "GrantReply",
    "GrantRequest",
    "PledgeReply",
    "PledgeRequest",
)
