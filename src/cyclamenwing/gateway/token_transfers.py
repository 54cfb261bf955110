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
from cyclamenwing.budget import sharing
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import budget_rest
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import gossip_messages
from cyclamenwing.gateway import pools

# A draw takes a few round trips to the store. Peers are asked for tokens if it
# has not ended after this time.
DRAW_WAIT_S = 0.04
ACQUIRE_PAUSE_S = 0.03
# A peer that gave less than it was asked for is not asked again for this time,
# about half a round of gossip: its usage bound has to grow or be renewed.
DENIED_PAUSE_S = 0.1
# A holder that got no share asks the same peer again after this time, in which
# the other's usage bound is renewed.
SHARE_PAUSE_S = 1.0
# Bound on the shares that a holder asks for at once, the largest first.
MAX_SHARE_REQUESTS = 8

T = TypeVar("T")
RequestTokens = Callable[
    [blackboard.Peer, gossip_messages.TransferRequest], Awaitable[int]
]


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
        # Times until which peers are not asked, by host and workspace.
        self._denied_until_s: dict[tuple[str, str], float] = {}
        # Workspaces of which a share is asked for now, one call at a time.
        self._asked_shares: set[str] = set()
        # Times from which peers are asked for shares, by host and workspace.
        self._next_share_s: dict[tuple[str, str], float] = {}
        # Calls that may bring tokens, whether their request still waits.
        self._incoming: set[asyncio.Task[Any]] = set()

    async def acquire(self, workspace: str, prepaid: int, tokens: int) -> bool:
        """Reserve tokens, retrying until the budget has too few left.

        Return whether they were reserved.
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
                if account.reserve(tokens, clock.read_time()):
                    return True
            lock = self._transfer_locks.setdefault(workspace, asyncio.Lock())
            async with lock:
                if await self._request_from_peers(workspace, account, tokens):
                    return True
            # Meanwhile the usage bound grows and other requests settle.
            await asyncio.sleep(ACQUIRE_PAUSE_S)
        return False

    def request_shares(self) -> None:
        """Ask other holders for tokens that suit the demand here.

        The answers arrive after the return.
        """
        if self._board.drain_started_s is not None:
            # An answer could arrive once the process has stopped.
            return
        now_s = clock.read_time()
        shares = [
            share
            for name, account in self._board.escrow.accounts.items()
            if account.rate > 0
            and name not in self._asked_shares
            and (share := self._plan_share(name, account, now_s)) is not None
        ]
        shares.sort(key=lambda share: -share[1].tokens)
        for peer, request in shares[:MAX_SHARE_REQUESTS]:
            self.start_incoming(self._request_share(peer, request))

    def _plan_share(
        self, workspace: str, account: escrow.WorkspaceAccount, now_s: float
    ) -> tuple[blackboard.Peer, gossip_messages.TransferRequest] | None:
        # A peer with demand of its own gives nothing, however much it holds.
        peer = max(
            (
                p
                for p in self._board.list_live_peers(now_s)
                if now_s >= self._next_share_s.get((p.host, workspace), 0.0)
            ),
            key=lambda p: p.held.get(workspace, 0),
            default=None,
        )
        if peer is None or not self._board.roster.holds(workspace):
            return None
        rate = account.measure_rate(now_s)
        tokens = sharing.plan_share(
            account.held, peer.held.get(workspace, 0), rate, 0.0
        )
        if not tokens:
            return None
        request = self._make_request(workspace, tokens)
        request.rate, request.held = rate, account.held
        return peer, request

    async def _request_share(
        self, peer: blackboard.Peer, request: gossip_messages.TransferRequest
    ) -> None:
        workspace = request.workspace
        self._asked_shares.add(workspace)
        received = 0
        try:
            received = await self._transfer(peer, request)
        finally:
            self._asked_shares.discard(workspace)
            pause_s = 0.0 if received else SHARE_PAUSE_S
            self._next_share_s[peer.host, workspace] = (
                clock.read_time() + pause_s
            )

    async def _give_share(
        self, request: gossip_messages.TransferRequest
    ) -> int:
        """Transfer a share of the holdings; return how many tokens.

        What the usage bound does not allow yet is covered by the next one,
        and transferred as soon as the store has it. Covered earlier, it would
        be lost with this host. No renewal is made for it.
        """
        now_s = clock.read_time()
        account = self._board.escrow.open_account(request.workspace)
        tokens = sharing.plan_share(
            request.held,
            account.held,
            request.rate,
            account.measure_rate(now_s),
        )
        deducted = account.deduct_transfer(tokens, now_s)
        missing = tokens - deducted
        if missing <= 0 or not self._board.is_store_reachable(now_s):
            return deducted
        until_s = now_s + sharing.PROMISE_S
        account.promise(missing, until_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(sharing.PROMISE_S):
                await self._pools.wait_for_renewal(now_s)
        self._board.check_leaving()
        now_s = clock.read_time()
        missing = min(missing, account.count_promised(now_s))
        account.promise(0, now_s)
        return deducted + account.deduct_transfer(missing, now_s)

    async def transfer_to_peer(
        self, request: gossip_messages.TransferRequest
    ) -> int:
        """Transfer tokens to a peer; return how many.

        Tokens that are held but exceed the usage bound need a renewed bound
        first, which takes a reachable store.

        :raises LeavingError: if the process stops
        """
        self._board.check_leaving()
        if request.rate > 0:
            return await self._give_share(request)
        tokens = request.tokens
        account = self._board.escrow.open_account(request.workspace)
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
        self, workspace: str, account: escrow.WorkspaceAccount, tokens: int
    ) -> bool:
        if account.reserve(tokens, clock.read_time()):
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
        if offered + account.count_available(clock.read_time()) < tokens:
            return False
        for offer, peer in offers:
            available = account.count_available(clock.read_time())
            missing = max(account.wanted, tokens) - available
            denied_s = self._denied_until_s.get((peer.host, workspace), 0.0)
            if missing > 0 and offer > 0 and clock.read_time() >= denied_s:
                # If the request is cancelled, the tokens that the peer has
                # transferred must still be received.
                await asyncio.shield(
                    self.start_incoming(
                        self._transfer(
                            peer, self._make_request(workspace, missing)
                        )
                    )
                )
            if account.reserve(tokens, clock.read_time()):
                return True
        return False

    def _make_request(
        self, workspace: str, tokens: int
    ) -> gossip_messages.TransferRequest:
        return gossip_messages.TransferRequest(
            workspace, tokens, self._board.escrow.holder
        )

    async def _transfer(
        self, peer: blackboard.Peer, request: gossip_messages.TransferRequest
    ) -> int:
        tokens = await self._request_tokens(peer, request)
        account = self._board.escrow.open_account(request.workspace)
        account.add_transfer(tokens)
        if tokens < request.tokens:
            self._denied_until_s[peer.host, request.workspace] = (
                clock.read_time() + DENIED_PAUSE_S
            )
        return tokens


__all__ = (
    "RequestTokens",
    "TokenTransfers",
)
