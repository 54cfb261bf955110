"""Obtain prepaid tokens from the pools and from peers, and give them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import budget_rest
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import pools

# A draw takes a few round trips to the store. Peers are asked for tokens if it
# has not ended after this time.
DRAW_WAIT_S = 0.04
ACQUIRE_PAUSE_S = 0.03

T = TypeVar("T")
RequestTokens = Callable[[blackboard.Peer, str, int], Awaitable[int]]


class TokenTransfers:
    """Draw tokens for waiting requests and exchange them with peers.

    :param rest: judges whether a budget can cover a request
    :param request_tokens: asks a peer for tokens of a workspace; returns how
        many it transferred
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        pool_client: pools.PoolClient,
        rest: budget_rest.BudgetRest,
        request_tokens: RequestTokens,
    ) -> None:
        self._board = board
        self._pools = pool_client
        self._rest = rest
        self._request_tokens = request_tokens
        self._transfer_locks: dict[str, asyncio.Lock] = {}
        # Calls that may bring tokens, whether their request still waits.
        self._incoming: set[asyncio.Task[Any]] = set()

    async def acquire(
        self, workspace: str, prepaid: int, tokens: int, initial: int
    ) -> bool:
        """Reserve tokens, retrying until the budget has too few left.

        Return whether they were reserved.

        :param initial: tokens that the request may use at once
        """
        board = self._board
        account = board.escrow.open_account(workspace)
        while not self._rest.exceeds(workspace, prepaid, tokens):
            now_s = clock.read_time()
            short = account.held < account.wanted
            free = board.escrow.count_free(workspace, prepaid)
            useful = (
                free > 0 or not short or workspace not in board.pools_updated_s
            )
            if board.is_store_reachable(now_s) and useful:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(DRAW_WAIT_S):
                        await self._pools.wait_for_draw()
                if account.reserve(tokens, clock.read_time(), initial):
                    return True
            lock = self._transfer_locks.setdefault(workspace, asyncio.Lock())
            async with lock:
                if await self._request_from_peers(
                    workspace, account, tokens, initial
                ):
                    return True
            # Meanwhile the usage bound grows and other requests settle.
            await asyncio.sleep(ACQUIRE_PAUSE_S)
        return False

    async def transfer_to_peer(self, workspace: str, tokens: int) -> int:
        """Transfer tokens to a peer; return how many.

        Tokens that are held but exceed the usage bound need a renewed bound
        first, which takes a reachable store.

        :raises LeavingError: if the process stops
        """
        self._board.check_leaving()
        account = self._board.escrow.open_account(workspace)
        deducted = account.deduct_transfer(tokens, clock.read_time())
        missing = min(tokens - deducted, account.held)
        if missing <= 0 or not self._board.is_store_reachable(
            clock.read_time()
        ):
            return deducted
        account.wanted += missing
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DRAW_WAIT_S):
                    await self._pools.wait_for_draw()
        finally:
            account.wanted -= missing
        return deducted + account.deduct_transfer(missing, clock.read_time())

    def start_incoming(
        self, coroutine: Coroutine[Any, Any, T]
    ) -> asyncio.Task[T]:
        """Start a call that may bring tokens."""
        task = asyncio.ensure_future(coroutine)
        self._incoming.add(task)
        task.add_done_callback(self._incoming.discard)
        return task

    async def wait_for_incoming(self, timeout_s: float) -> None:
        """Wait until no call that may bring tokens is under way."""
        if self._incoming:
            await asyncio.wait(self._incoming, timeout=timeout_s)

    async def _request_from_peers(
        self,
        workspace: str,
        account: escrow.WorkspaceAccount,
        tokens: int,
        initial: int,
    ) -> bool:
        if account.reserve(tokens, clock.read_time(), initial):
            return True
        # While the store is reachable, a peer can renew its usage bound and
        # transfer all that it holds, otherwise only what the bound allows.
        store_reachable = self._board.is_store_reachable(clock.read_time())
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
        if offered < account.count_missing(tokens, initial, clock.read_time()):
            return False
        for offer, peer in offers:
            missing = account.count_missing(
                max(account.wanted, tokens),
                max(account.wanted - account.wanted_later, initial),
                clock.read_time(),
            )
            if missing > 0 and offer > 0:
                # If the request is cancelled, the tokens that the peer has
                # transferred must still be received.
                await asyncio.shield(
                    self.start_incoming(
                        self._transfer(peer, workspace, missing)
                    )
                )
            if account.reserve(tokens, clock.read_time(), initial):
                return True
        return False

    async def _transfer(
        self, peer: blackboard.Peer, workspace: str, missing: int
    ) -> None:
        tokens = await self._request_tokens(peer, workspace, missing)
        self._board.escrow.open_account(workspace).add_transfer(tokens)


__all__ = (
    "RequestTokens",
    "TokenTransfers",
)
