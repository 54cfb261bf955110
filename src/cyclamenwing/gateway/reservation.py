"""Tokens reserved for one request, usable in steps as its answer grows.

A usage bound counts what running requests may use. If it counted all that is
reserved for long answers, a process that dies would leave that much counted as
used, though most answers end long before their limit.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors

# Output tokens that a request may use at once. Shorter answers never need more
# than that, and at 200 tokens a second it lasts for an outage of the store
# until the late phase of the usage bounds.
INITIAL_OUTPUT_TOKENS = 512
# Deferred tokens that are made usable at a time, half a step ahead.
STEP_TOKENS = 512
# Longest wait for a renewed usage bound before the present one, which grows,
# is tried again, and the pause before that.
RENEWAL_WAIT_S = 0.04
PAUSE_S = 0.03
# Longest wait of a call for pledged tokens.
FETCH_WAIT_S = 1.0

FetchTokens = Callable[[int, float], Awaitable[int]]


class UsageBoundRenewer(Protocol):
    """Renew the usage bounds of this gateway."""

    async def wait_for_draw(self) -> None:
        """Request a renewal; return when one has ended."""


class Reservation:
    """Hold the tokens of one request.

    :param tokens: the most that the request may cost
    :param usable: what it may cost without asking again
    """

    def __init__(
        self,
        account: escrow.WorkspaceAccount,
        renewer: UsageBoundRenewer,
        tokens: int,
        usable: int,
    ) -> None:
        self._account = account
        self._renewer = renewer
        self.tokens = tokens
        self.usable = usable

    async def cover(self, cost: int, until_s: float) -> None:
        """Return once the answer so far may cost as many tokens.

        :raises AnswerLateError: if the usage bound does not allow it by then
        """
        cost = min(cost, self.tokens)
        if self._extend(cost):
            return
        missing = cost - self.usable
        self._account.awaited += missing
        try:
            async with asyncio.timeout(max(until_s - clock.read_time(), 0.0)):
                while not self._extend(cost):
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(RENEWAL_WAIT_S):
                            await self._renewer.wait_for_draw()
                    if not self._extend(cost):
                        await asyncio.sleep(PAUSE_S)
        except TimeoutError as err:
            raise errors.AnswerLateError(
                "the usage bound does not allow the rest of the answer",
                "unknown",
            ) from err
        finally:
            self._account.awaited -= missing

    def settle(self, spent: int) -> None:
        """End the reservation, of which `spent` tokens were used."""
        self._account.settle(
            self.tokens, spent, self.tokens - self.usable, clock.read_time()
        )
        self.tokens = self.usable = 0

    def _extend(self, cost: int) -> bool:
        """Return whether the answer may cost as many tokens.

        More tokens are made usable before they are needed.
        """
        deferred = self.tokens - self.usable
        missing = max(cost - self.usable, 0)
        if not deferred or self.usable - cost >= STEP_TOKENS // 2:
            return True
        now_s = clock.read_time()
        for step in (min(max(STEP_TOKENS, missing), deferred), missing):
            if step and self._account.extend(step, now_s):
                self.usable += step
                return True
        return not missing


class PledgedReservation(Reservation):
    """Hold the tokens of one request, of which a delegate keeps a part.

    :param fetch: gets some of these from the delegate, or as many from
        another one; returns how many it added to the account
    :param end_pledge: tells the delegate that no more are needed
    """

    def __init__(
        self,
        account: escrow.WorkspaceAccount,
        renewer: UsageBoundRenewer,
        tokens: int,
        usable: int,
        fetch: FetchTokens,
        end_pledge: Callable[[], None],
    ) -> None:
        super().__init__(account, renewer, tokens, usable)
        self._fetch = fetch
        self._end_pledge = end_pledge
        self._fetching: asyncio.Task[None] | None = None
        self._ended = False

    async def cover(self, cost: int, until_s: float) -> None:
        """Return once the answer so far may cost as many tokens.

        :raises AnswerLateError: if the tokens do not come by then
        """
        cost = min(cost, self.tokens)
        while True:
            missing = max(cost - self.usable, 0)
            if self.usable - cost < STEP_TOKENS // 2:
                self._start_fetch(missing, until_s)
            if not missing:
                return
            remaining_s = until_s - clock.read_time()
            if remaining_s <= 0 or self._fetching is None:
                raise errors.AnswerLateError(
                    "the rest of the answer's tokens did not come", "unknown"
                )
            await asyncio.wait({self._fetching}, timeout=remaining_s)

    def settle(self, spent: int) -> None:
        """End the reservation, of which `spent` tokens were used."""
        self._ended = True
        self._account.settle(self.usable, spent, 0, clock.read_time())
        if self.usable < self.tokens:
            self._end_pledge()

    def _start_fetch(self, missing: int, until_s: float) -> None:
        """Get the next tokens in the background, one call at a time."""
        left = self.tokens - self.usable
        if left and (self._fetching is None or self._fetching.done()):
            step = min(max(STEP_TOKENS, missing), left)
            self._fetching = asyncio.ensure_future(
                self._add_tokens(step, until_s)
            )

    async def _add_tokens(self, step: int, until_s: float) -> None:
        wait_s = min(max(until_s - clock.read_time(), 0.0), FETCH_WAIT_S)
        tokens = await self._fetch(step, wait_s)
        tokens = min(tokens, self.tokens - self.usable)
        # After the end the account keeps them, and returns them when idle.
        if (
            not self._ended
            and tokens
            and self._account.reserve(tokens, clock.read_time())
        ):
            self.usable += tokens
        else:
            await asyncio.sleep(PAUSE_S)


def split_initial(prompt_tokens: int, output_tokens: int) -> int:
    """Return the tokens of a streamed request that it may use at once."""
    return prompt_tokens + min(output_tokens, INITIAL_OUTPUT_TOKENS)


__all__ = (
    "INITIAL_OUTPUT_TOKENS",
    "STEP_TOKENS",
    "FetchTokens",
    "PledgedReservation",
    "Reservation",
    "UsageBoundRenewer",
    "split_initial",
)
