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
WAIT_GOAL_FRACTION = 0.3
MIN_WAIT_S = 0.05
# One that only waits for a promise to grow waits this part of its time.
GROWTH_WAIT_FRACTION = 0.5
# A draw answers within a few round trips; peers are asked after that.
DRAW_WAIT_S = 0.04
ACQUIRE_PAUSE_S = 0.03
# A new process waits this long for what its predecessor held, and for the
# same of its peers if all of them were lost.
STARTUP_WAIT_S = 2.0
# The store has answered this lately, so that asking it makes sense.
MAX_PEER_STORE_AGE_S = 3.0

# A refused request comes back after this long, unless its promise is known
# to grow at a certain time.
RETRY_AFTER_S = 1.0
# Peers take notice of an outage within a round of their news.
OUTAGE_GOSSIP_S = 0.4
MIN_RETRY_AFTER_S = 0.5

RequestTokens = Callable[[blackboard.Peer, str, int], Awaitable[int]]


class Reservations:
    """Reserve and settle tokens of each workspace.

    :param request_tokens: asks a peer to hand over tokens, returns how many
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        pool_client: pools.PoolClient,
        request_tokens: RequestTokens,
    ) -> None:
        self._board = board
        self._pools = pool_client
        self._request_tokens = request_tokens
        self._transfer_locks: dict[str, asyncio.Lock] = {}

    async def reserve(
        self,
        workspace: str,
        prepaid: int,
        tokens: int,
        goal_s: float,
        remaining_s: float,
    ) -> None:
        """Set tokens aside, from peers or the pool if need be.

        :raises BudgetSpentError: if no budget is left for the request
        :raises BudgetUnreachableError: if what is left can't be reached
        """
        now_s = clock.read_time()
        account = self._board.escrow.open_account(workspace)
        if account.reserve(tokens, now_s):
            return
        if self._exceeds_budget(workspace, prepaid, tokens):
            raise self._make_refusal(workspace, prepaid, tokens, outage=False)
        account.wanted += tokens
        try:
            wait_s = max(goal_s * WAIT_GOAL_FRACTION, MIN_WAIT_S)
            startup_s = self._board.started_s + STARTUP_WAIT_S - now_s
            wait_s = max(
                wait_s, min(startup_s, remaining_s * GROWTH_WAIT_FRACTION)
            )
            growth_s = account.predict_wait(tokens, now_s)
            if growth_s is not None:
                wait_s = min(
                    max(wait_s, growth_s + wait_s),
                    remaining_s * GROWTH_WAIT_FRACTION,
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    if await self._acquire(workspace, prepaid, tokens):
                        return
            if account.reserve(tokens, clock.read_time()):
                return
        finally:
            account.wanted -= tokens
        outage = self._board.store_contact_s < now_s
        raise self._make_refusal(workspace, prepaid, tokens, outage)

    def settle(self, workspace: str, reserved: int, spent: int) -> None:
        """End a reservation."""
        self._board.escrow.open_account(workspace).settle(reserved, spent)

    async def transfer_to_peer(self, workspace: str, tokens: int) -> int:
        """Hand tokens to a peer; return how many.

        What only the promise holds back is released by a new one.
        """
        account = self._board.escrow.open_account(workspace)
        granted = account.give(tokens, clock.read_time())
        missing = min(tokens - granted, account.held)
        if missing <= 0 or not self._is_store_reachable(clock.read_time()):
            return granted
        account.wanted += missing
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DRAW_WAIT_S):
                    await self._pools.wait_for_draw()
        finally:
            account.wanted -= missing
        return granted + account.give(missing, clock.read_time())

    def _is_store_reachable(self, now_s: float) -> bool:
        return now_s - self._board.store_contact_s < MAX_PEER_STORE_AGE_S

    async def _acquire(
        self, workspace: str, prepaid: int, tokens: int
    ) -> bool:
        """Set tokens aside, sooner or later; False if there is no hope."""
        board = self._board
        account = board.escrow.open_account(workspace)
        while not self._exceeds_budget(workspace, prepaid, tokens):
            now_s = clock.read_time()
            short = account.held < account.wanted
            free = board.escrow.count_free(workspace, prepaid)
            useful = (
                free > 0 or not short or workspace not in board.pools_updated_s
            )
            if self._is_store_reachable(now_s) and useful:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(DRAW_WAIT_S):
                        await self._pools.wait_for_draw()
                if account.reserve(tokens, clock.read_time()):
                    return True
            lock = self._transfer_locks.setdefault(workspace, asyncio.Lock())
            async with lock:
                if await self._request_from_peers(workspace, account, tokens):
                    return True
            # A promise grows, and reservations of others end.
            await asyncio.sleep(ACQUIRE_PAUSE_S)
        return False

    async def _request_from_peers(
        self, workspace: str, account: escrow.Account, tokens: int
    ) -> bool:
        if account.reserve(tokens, clock.read_time()):
            return True
        # Within reach of the store a peer can hand over all that it holds.
        store_reachable = self._is_store_reachable(clock.read_time())
        offers = [
            (
                (peer.held if store_reachable else peer.available).get(
                    workspace, 0
                ),
                peer,
            )
            for peer in self._board.list_live_peers(clock.read_time())
        ]
        offers.sort(key=lambda offer: -offer[0])
        offered = sum(offer for offer, _ in offers)
        if offered + account.count_available(clock.read_time()) < tokens:
            return False
        for offer, peer in offers:
            available = account.count_available(clock.read_time())
            missing = max(account.wanted, tokens) - available
            if missing > 0 and offer > 0:
                # A request that is cancelled must not lose the tokens.
                await asyncio.shield(self._transfer(peer, workspace, missing))
            if account.reserve(tokens, clock.read_time()):
                return True
        return False

    async def _transfer(
        self, peer: blackboard.Peer, workspace: str, missing: int
    ) -> None:
        tokens = await self._request_tokens(peer, workspace, missing)
        self._board.escrow.open_account(workspace).receive(tokens)

    def _exceeds_budget(
        self, workspace: str, prepaid: int, tokens: int
    ) -> bool:
        """Tell whether pool and all holdings together are too little."""
        board = self._board
        now_s = clock.read_time()
        if tokens > prepaid:
            return True
        if now_s - board.started_s < STARTUP_WAIT_S:
            return False
        seen_s = board.pools_updated_s.get(workspace, 0.0)
        if now_s - seen_s > pools.MAX_POOL_AGE_S and self._is_store_reachable(
            now_s
        ):
            return False
        free = max(board.escrow.count_free(workspace, prepaid), 0)
        held = board.escrow.open_account(workspace).held
        others = sum(
            peer.held.get(workspace, 0)
            for peer in board.list_live_peers(now_s)
        )
        return (
            workspace in board.pools_updated_s
            and free + held + others < tokens
        )

    def _make_refusal(
        self, workspace: str, prepaid: int, tokens: int, outage: bool
    ) -> errors.GatewayError:
        now_s = clock.read_time()
        board = self._board
        account = board.escrow.open_account(workspace)
        final = self._exceeds_budget(workspace, prepaid, tokens)
        seen_s = now_s - board.pools_updated_s.get(workspace, 0.0)
        eliot.log_message(
            "funds:refused",
            workspace=workspace,
            tokens=tokens,
            held=account.held,
            available=account.count_available(now_s),
            free=board.escrow.count_free(workspace, prepaid),
            prepaid=prepaid,
            pool_age_s=round(seen_s, 2),
            peers=len(board.list_live_peers(now_s)),
            final=final,
        )
        if final:
            return errors.BudgetSpentError(f"{tokens} tokens are not left")
        refusal = errors.BudgetUnreachableError(
            f"{tokens} tokens not in reach"
        )
        if outage:
            refusal.retry_after_s = compute_retry_after(
                now_s - board.record_written_s
            )
        return refusal


def compute_retry_after(record_age_s: float) -> float:
    """Return when a request had better come back in an outage, in seconds.

    Holdings can be used once the record is older than the early part of its
    promise.
    """
    remaining_s = escrow.EARLY_S + OUTAGE_GOSSIP_S - record_age_s
    return (
        RETRY_AFTER_S
        if remaining_s <= 0
        else max(remaining_s, MIN_RETRY_AFTER_S)
    )


__all__ = (
    "Reservations",
    "compute_retry_after",
)
