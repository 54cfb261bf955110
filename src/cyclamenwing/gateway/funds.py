"""Reservation of prepaid tokens for requests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable

import eliot

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import pools

# A request waits this part of its goal for the pool and for peers.
WAIT_PART = 0.3
MIN_WAIT_S = 0.05
# One that only waits for a promise to grow waits this part of its time.
GROWTH_PART = 0.5
# A draw answers within a few round trips; peers are asked after that.
DRAW_WAIT_S = 0.04
GATHER_PAUSE_S = 0.03
# A new process waits this long for what its predecessor held, and for the
# same of its peers if all of them were lost.
SETTLING_S = 2.0
# The store has answered this lately, so that asking it makes sense.
NEAR_S = 3.0

# A refused request comes back after this long, unless its promise is known
# to grow at a certain time.
RETURN_S = 1.0
# Peers take notice of an outage within a round of their news.
NOTICE_S = 0.4
MIN_RETURN_S = 0.5

AskPeer = Callable[[blackboard.Peer, str, int], Awaitable[int]]


class Funds:
    """Reserve and settle tokens of each workspace.

    :param ask_peer: asks a peer to hand over tokens, returns how many
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        draws: pools.Pools,
        ask_peer: AskPeer,
    ) -> None:
        self._board = board
        self._pools = draws
        self._ask_peer = ask_peer
        self._asking: dict[str, asyncio.Lock] = {}

    async def reserve(
        self,
        workspace: str,
        prepaid: int,
        tokens: int,
        goal_s: float,
        left_s: float,
    ) -> None:
        """Set tokens aside, from peers or the pool if need be.

        :raises BudgetSpentError: if no budget is left for the request
        :raises BudgetUnreachableError: if what is left can't be reached
        """
        now_s = clock.read_time()
        account = self._board.escrow.open_account(workspace)
        if account.reserve(tokens, now_s):
            return
        if self._is_hopeless(workspace, prepaid, tokens):
            raise self._make_refusal(workspace, prepaid, tokens, outage=False)
        account.wanted += tokens
        try:
            wait_s = max(goal_s * WAIT_PART, MIN_WAIT_S)
            settling_s = self._board.began_s + SETTLING_S - now_s
            wait_s = max(wait_s, min(settling_s, left_s * GROWTH_PART))
            growth_s = account.predict_wait(tokens, now_s)
            if growth_s is not None:
                wait_s = min(
                    max(wait_s, growth_s + wait_s), left_s * GROWTH_PART
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    if await self._gather(workspace, prepaid, tokens):
                        return
            if account.reserve(tokens, clock.read_time()):
                return
        finally:
            account.wanted -= tokens
        outage = self._board.store_seen_s < now_s
        raise self._make_refusal(workspace, prepaid, tokens, outage)

    def settle(self, workspace: str, reserved: int, spent: int) -> None:
        """End a reservation."""
        self._board.escrow.open_account(workspace).settle(reserved, spent)

    async def give(self, workspace: str, tokens: int) -> int:
        """Hand tokens to a peer; return how many.

        What only the promise holds back is released by a new one.
        """
        account = self._board.escrow.open_account(workspace)
        granted = account.give(tokens, clock.read_time())
        lack = min(tokens - granted, account.held)
        if lack <= 0 or not self._is_store_near(clock.read_time()):
            return granted
        account.wanted += lack
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DRAW_WAIT_S):
                    await self._pools.wait_for_draw()
        finally:
            account.wanted -= lack
        return granted + account.give(lack, clock.read_time())

    def _is_store_near(self, now_s: float) -> bool:
        return now_s - self._board.store_seen_s < NEAR_S

    async def _gather(self, workspace: str, prepaid: int, tokens: int) -> bool:
        """Set tokens aside, sooner or later; False if there is no hope."""
        board = self._board
        account = board.escrow.open_account(workspace)
        while not self._is_hopeless(workspace, prepaid, tokens):
            now_s = clock.read_time()
            short = account.held < account.wanted
            free = board.escrow.count_free(workspace, prepaid)
            useful = (
                free > 0 or not short or workspace not in board.pools_seen_s
            )
            if self._is_store_near(now_s) and useful:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(DRAW_WAIT_S):
                        await self._pools.wait_for_draw()
                if account.reserve(tokens, clock.read_time()):
                    return True
            lock = self._asking.setdefault(workspace, asyncio.Lock())
            async with lock:
                if await self._ask_peers(workspace, account, tokens):
                    return True
            # A promise grows, and reservations of others end.
            await asyncio.sleep(GATHER_PAUSE_S)
        return False

    async def _ask_peers(
        self, workspace: str, account: escrow.WorkspaceAccount, tokens: int
    ) -> bool:
        if account.reserve(tokens, clock.read_time()):
            return True
        # Within reach of the store a peer can hand over all that it holds.
        near = self._is_store_near(clock.read_time())
        offers = [
            ((peer.held if near else peer.available).get(workspace, 0), peer)
            for peer in self._board.list_peers(clock.read_time())
        ]
        offers.sort(key=lambda offer: -offer[0])
        offered = sum(offer for offer, _ in offers)
        if offered + account.count_available(clock.read_time()) < tokens:
            return False
        for offer, peer in offers:
            available = account.count_available(clock.read_time())
            lack = max(account.wanted, tokens) - available
            if lack > 0 and offer > 0:
                # A request that is cancelled must not lose the tokens.
                await asyncio.shield(self._transfer(peer, workspace, lack))
            if account.reserve(tokens, clock.read_time()):
                return True
        return False

    async def _transfer(
        self, peer: blackboard.Peer, workspace: str, lack: int
    ) -> None:
        tokens = await self._ask_peer(peer, workspace, lack)
        self._board.escrow.open_account(workspace).receive(tokens)

    def _is_hopeless(self, workspace: str, prepaid: int, tokens: int) -> bool:
        """Tell whether pool and all holdings together are too little."""
        board = self._board
        now_s = clock.read_time()
        if tokens > prepaid:
            return True
        if now_s - board.began_s < SETTLING_S:
            return False
        seen_s = board.pools_seen_s.get(workspace, 0.0)
        if now_s - seen_s > pools.FRESH_S and self._is_store_near(now_s):
            return False
        free = max(board.escrow.count_free(workspace, prepaid), 0)
        held = board.escrow.open_account(workspace).held
        others = sum(
            peer.held.get(workspace, 0) for peer in board.list_peers(now_s)
        )
        return (
            workspace in board.pools_seen_s and free + held + others < tokens
        )

    def _make_refusal(
        self, workspace: str, prepaid: int, tokens: int, outage: bool
    ) -> errors.GatewayError:
        now_s = clock.read_time()
        board = self._board
        account = board.escrow.open_account(workspace)
        final = self._is_hopeless(workspace, prepaid, tokens)
        seen_s = now_s - board.pools_seen_s.get(workspace, 0.0)
        eliot.log_message(
            "funds:refused",
            workspace=workspace,
            tokens=tokens,
            held=account.held,
            available=account.count_available(now_s),
            free=board.escrow.count_free(workspace, prepaid),
            prepaid=prepaid,
            pool_age_s=round(seen_s, 2),
            peers=len(board.list_peers(now_s)),
            final=final,
        )
        if final:
            return errors.BudgetSpentError(f"{tokens} tokens are not left")
        refusal = errors.BudgetUnreachableError(
            f"{tokens} tokens not in reach"
        )
        if outage:
            refusal.retry_after_s = predict_return(now_s - board.record_at_s)
        return refusal


def predict_return(record_age_s: float) -> float:
    """Return when a request had better come back in an outage, in seconds.

    Holdings can be used once the record is older than the early part of its
    promise.
    """
    left_s = escrow.OUTAGE_AGE_S + NOTICE_S - record_age_s
    return RETURN_S if left_s <= 0 else max(left_s, MIN_RETURN_S)


__all__ = (
    "Funds",
    "predict_return",
)
