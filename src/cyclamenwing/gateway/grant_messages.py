"""Calls for the tokens of one request, and their replies."""

from __future__ import annotations

import msgspec


class GrantRequest(msgspec.Struct):
    """Ask a delegate to reserve tokens and hand them over.

    :param goal_s: latency goal of the request's route
    :param wait_s: longest time to wait for tokens
    :param attached: the asking gateway is no delegate, as far as it knows
    """

    host: str
    workspace: str
    tokens: int
    goal_s: float
    wait_s: float
    attached: bool = True


class GrantReply(msgspec.Struct):
    """Hand over all tokens asked for, or none; they are lost with the reply.

    :param spent: the budget has too few tokens left
    :param retry_after_s: time after which to ask again
    """

    tokens: int
    spent: bool = False
    retry_after_s: float = 0.0


__all__ = (
    "GrantReply",
    "GrantRequest",
)
