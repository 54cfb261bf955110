"""Reservations of prepaid tokens for requests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import eliot
import msgspec

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import pools

# A request waits up to this fraction of its latency goal for tokens from the
# pool and from peers.
WAIT_GOAL_FRACTION = 0.3
MIN_WAIT_S = 0.05
# Where the holdings suffice but the usage bound does not allow them yet, a
# request waits for the bound to grow, up to this fraction of the time left
# until its answer has to begin.
GROWTH_WAIT_FRACTION = 0.5
# A draw takes a few round trips to the store. Peers are asked for tokens if it
# has not ended after this time.
DRAW_WAIT_S = 0.04
ACQUIRE_PAUSE_S = 0.03
# For this long after the start of the process, requests that lack tokens wait
# and are not refused for good: the process first releases the holdings of its
# predecessor, and so do its peers if all gateways were lost at once.
STARTUP_WAIT_S = 2.0
# The store counts as reachable if it has answered within this time.
STORE_REACHABLE_S = 3.0

# Retry-After of a request that lacks tokens. During an outage of the store, it
# is the time until the late phase of the usage bound instead, if that lies
# ahead.
RETRY_AFTER_S = 1.0
# Interval at which idle tokens go back to the holders, and the time without
# a request after which they count as idle.
IDLE_RETURN_INTERVAL_S = 0.5
# Peers learn of an outage of the store within a round of gossip.
OUTAGE_GOSSIP_S = 0.4
MIN_RETRY_AFTER_S = 0.5

T = TypeVar("T")
RequestTokens = Callable[[blackboard.Peer, str, int], Awaitable[int]]


class GrantRequest(msgspec.Struct):
    """Ask a delegate to reserve tokens and hand them over.

    :param goal_s: latency goal of the request's route
    :param wait_s: longest time to wait for tokens
    """

    host: str
    workspace: str
    tokens: int
    goal_s: float
    wait_s: float


class GrantReply(msgspec.Struct):
    """Hand over all tokens asked for, or none; they are lost with the reply.

    :param spent: the budget has too few tokens left
    :param retry_after_s: time after which to ask again
    """

    tokens: int
    spent: bool = False
    retry_after_s: float = 0.0


RequestGrant = Callable[[GrantRequest], Awaitable[GrantReply | None]]
ReturnTokens = Callable[[str, int], Awaitable[bool]]


class Reservations:
    """Reserve and settle prepaid tokens of workspaces.

    The holders of a workspace reserve from what they hold, all other gateways
    through one of them.

    :param request_tokens: asks a peer for tokens of a workspace; returns how
        many it transferred
    :param request_grant: asks a delegate for the tokens of one request
    :param return_tokens: gives tokens of a workspace to a holder; returns
        False if it has certainly not received them
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        pool_client: pools.PoolClient,
        request_tokens: RequestTokens,
        request_grant: RequestGrant,
        return_tokens: ReturnTokens,
    ) -> None:
        self._board = board
        self._pools = pool_client
        self._request_tokens = request_tokens
        self._request_grant = request_grant
        self._return_tokens = return_tokens
        self._transfer_locks: dict[str, asyncio.Lock] = {}
        # Calls that may bring tokens, whether their request still waits.
        self._incoming: set[asyncio.Task[Any]] = set()

    async def reserve(
        self,
        workspace: str,
        prepaid: int,
        tokens: int,
        goal_s: float,
        remaining_s: float,
        max_wait_s: float | None = None,
    ) -> None:
        """Reserve tokens, obtaining them from the pool or peers if needed.

        :param prepaid: tokens that the workspace has paid for
        :param goal_s: latency goal of the request's route
        :param remaining_s: time until the answer has to begin
        :param max_wait_s: longest wait; None for what suits the request
        :raises BudgetSpentError: if the budget has too few tokens left
        :raises BudgetUnreachableError: if enough may be left but can't be
            obtained in time
        """
        now_s = clock.read_time()
        account = self._board.escrow.open_account(workspace)
        if account.reserve(tokens, now_s):
            return
        if max_wait_s is None and not self._board.roster.holds(workspace):
            await self._reserve_by_grant(
                workspace, tokens, goal_s, remaining_s
            )
            return
        if self._exceeds_budget(workspace, prepaid, tokens):
            raise self._make_refusal(workspace, prepaid, tokens, outage=False)
        account.wanted += tokens
        try:
            wait_s = plan_wait(
                goal_s,
                remaining_s,
                self._board.started_s + STARTUP_WAIT_S - now_s,
                account.predict_wait(tokens, now_s),
                self._is_store_reachable(now_s),
            )
            if max_wait_s is not None:
                wait_s = min(wait_s, max_wait_s)
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
        """End a reservation, of which `spent` tokens were used."""
        self._board.escrow.open_account(workspace).settle(reserved, spent)

    async def answer_grant(self, body: bytes) -> bytes:
        """Reserve tokens for an attached gateway and hand them over.

        :raises LeavingError: if the process stops
        """
        self._check_leaving()
        request = msgspec.json.decode(body, type=GrantRequest)
        board = self._board
        board.roster.record_attached(request.host, clock.read_time())
        config = board.configuration
        workspace = config and config.workspaces.get(request.workspace)
        if not workspace or workspace.prepaid_tokens is None:
            # The configuration here is older than the asking gateway's.
            return msgspec.json.encode(
                GrantReply(0, retry_after_s=MIN_RETRY_AFTER_S)
            )
        try:
            await self.reserve(
                request.workspace,
                workspace.prepaid_tokens,
                request.tokens,
                request.goal_s,
                request.wait_s / GROWTH_WAIT_FRACTION,
                request.wait_s,
            )
        except errors.BudgetSpentError:
            return msgspec.json.encode(GrantReply(0, spent=True))
        except errors.BudgetUnreachableError as err:
            return msgspec.json.encode(
                GrantReply(0, retry_after_s=err.retry_after_s or RETRY_AFTER_S)
            )
        account = board.escrow.open_account(request.workspace)
        account.hand_over(request.tokens)
        return msgspec.json.encode(GrantReply(request.tokens))

    async def answer_return(self, body: bytes) -> bytes:
        """Take back tokens that an attached gateway does not need.

        :raises LeavingError: if the process stops
        """
        self._check_leaving()
        returned = msgspec.json.decode(body, type=dict[str, int])
        for workspace, tokens in returned.items():
            account = self._board.escrow.open_account(workspace)
            account.add_transfer(max(tokens, 0))
        return b"{}"

    async def return_idle(self, idle_s: float) -> None:
        """Give tokens that no request uses to the workspaces' holders.

        :param idle_s: only of workspaces without requests for this long
        """
        now_s = clock.read_time()
        escrows = self._board.escrow
        surplus = {
            name: tokens
            for name, account in escrows.accounts.items()
            if not self._board.roster.holds(name)
            and now_s - account.rate_at_s >= idle_s
            and not account.reserved
            and (tokens := account.deduct_transfer(account.held, now_s))
        }
        for name, tokens in surplus.items():
            if not await self._return_tokens(name, tokens):
                escrows.open_account(name).add_transfer(tokens)
        if surplus:
            eliot.log_message("funds:returned_idle", tokens=surplus)

    async def wait_for_incoming(self, timeout_s: float) -> None:
        """Wait until no call that may bring tokens is under way."""
        if self._incoming:
            await asyncio.wait(self._incoming, timeout=timeout_s)

    async def run(self) -> None:
        """Return idle tokens to their holders until cancelled."""
        while True:
            await asyncio.sleep(IDLE_RETURN_INTERVAL_S)
            await self.return_idle(IDLE_RETURN_INTERVAL_S)

    async def transfer_to_peer(self, workspace: str, tokens: int) -> int:
        """Transfer tokens to a peer; return how many.

        Tokens that are held but exceed the usage bound need a renewed bound
        first, which takes a reachable store.

        :raises LeavingError: if the process stops
        """
        self._check_leaving()
        account = self._board.escrow.open_account(workspace)
        deducted = account.deduct_transfer(tokens, clock.read_time())
        missing = min(tokens - deducted, account.held)
        if missing <= 0 or not self._is_store_reachable(clock.read_time()):
            return deducted
        account.wanted += missing
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DRAW_WAIT_S):
                    await self._pools.wait_for_draw()
        finally:
            account.wanted -= missing
        return deducted + account.deduct_transfer(missing, clock.read_time())

    def _check_leaving(self) -> None:
        # Tokens that a process takes or draws while it returns its holdings
        # would be lost with it.
        if self._board.admission_closed:
            raise errors.LeavingError("the process stops")

    def _start_incoming(
        self, coroutine: Coroutine[Any, Any, T]
    ) -> asyncio.Task[T]:
        task = asyncio.ensure_future(coroutine)
        self._incoming.add(task)
        task.add_done_callback(self._incoming.discard)
        return task

    async def _reserve_by_grant(
        self, workspace: str, tokens: int, goal_s: float, remaining_s: float
    ) -> None:
        """Reserve tokens that a delegate hands over.

        A delegate that can name a time at which it may have the tokens, as in
        an outage of the store, is asked again then.
        """
        account = self._board.escrow.open_account(workspace)
        until_s = clock.read_time() + remaining_s * GROWTH_WAIT_FRACTION
        wait_s = max(goal_s * WAIT_GOAL_FRACTION, MIN_WAIT_S)
        request = GrantRequest(
            self._board.settings.host, workspace, tokens, goal_s, wait_s
        )
        while True:
            # Tokens must be received even if the request is cancelled.
            reply = await asyncio.shield(
                self._start_incoming(self._receive_grant(request))
            )
            now_s = clock.read_time()
            if account.reserve(tokens, now_s):
                return
            if reply is not None and reply.spent:
                raise errors.BudgetSpentError(
                    f"{tokens} tokens exceed the rest of the budget"
                )
            retry_after_s = reply.retry_after_s if reply else RETRY_AFTER_S
            if reply is None or now_s + retry_after_s >= until_s:
                refusal = errors.BudgetUnreachableError(
                    f"{tokens} tokens can't be obtained in time"
                )
                refusal.retry_after_s = retry_after_s
                raise refusal
            await asyncio.sleep(retry_after_s)

    async def _receive_grant(self, request: GrantRequest) -> GrantReply | None:
        reply = await self._request_grant(request)
        if reply is not None and reply.tokens > 0:
            account = self._board.escrow.open_account(request.workspace)
            account.add_transfer(reply.tokens)
        eliot.log_message(
            "funds:grant",
            workspace=request.workspace,
            asked=request.tokens,
            tokens=reply.tokens if reply else None,
            spent=reply.spent if reply else None,
            retry_after_s=reply.retry_after_s if reply else None,
        )
        return reply

    def _is_store_reachable(self, now_s: float) -> bool:
        return now_s - self._board.store_contact_s < STORE_REACHABLE_S

    async def _acquire(
        self, workspace: str, prepaid: int, tokens: int
    ) -> bool:
        """Reserve tokens, retrying until the budget has too few left.

        Return whether they were reserved.
        """
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
            # Meanwhile the usage bound grows and other requests settle.
            await asyncio.sleep(ACQUIRE_PAUSE_S)
        return False

    async def _request_from_peers(
        self, workspace: str, account: escrow.WorkspaceAccount, tokens: int
    ) -> bool:
        if account.reserve(tokens, clock.read_time()):
            return True
        # While the store is reachable, a peer can renew its usage bound and
        # transfer all that it holds, otherwise only what the bound allows.
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
                # If the request is cancelled, the tokens that the peer has
                # transferred must still be received.
                await asyncio.shield(
                    self._start_incoming(
                        self._transfer(peer, workspace, missing)
                    )
                )
            if account.reserve(tokens, clock.read_time()):
                return True
        return False

    async def _transfer(
        self, peer: blackboard.Peer, workspace: str, missing: int
    ) -> None:
        tokens = await self._request_tokens(peer, workspace, missing)
        self._board.escrow.open_account(workspace).add_transfer(tokens)

    def _exceeds_budget(
        self, workspace: str, prepaid: int, tokens: int
    ) -> bool:
        """Return whether a request needs more tokens than the budget has left.

        These are the free tokens of the pool and the holdings of all live
        gateways. Return False while they are not known: just after the start,
        before the pool was read or restored, while holdings of predecessors
        may still be released, or if the state of the pool is outdated although
        the store is reachable.
        """
        board = self._board
        now_s = clock.read_time()
        if tokens > prepaid:
            return True
        if now_s - board.started_s < STARTUP_WAIT_S:
            return False
        if workspace in board.escrow.unopened:
            return False
        if board.release_pending and any(
            predecessor.holder in board.escrow.open_pool(workspace).holders
            for predecessor in board.predecessors
        ):
            return False
        updated_s = board.pools_updated_s.get(workspace, 0.0)
        if (
            now_s - updated_s > pools.MAX_POOL_AGE_S
            and self._is_store_reachable(now_s)
        ):
            return False
        free = max(board.escrow.count_free(workspace, prepaid), 0)
        held = board.escrow.open_account(workspace).held
        peers_held = sum(
            peer.held.get(workspace, 0)
            for peer in board.list_live_peers(now_s)
        )
        return (
            workspace in board.pools_updated_s
            and free + held + peers_held < tokens
        )

    def _make_refusal(
        self, workspace: str, prepaid: int, tokens: int, outage: bool
    ) -> errors.GatewayError:
        now_s = clock.read_time()
        board = self._board
        account = board.escrow.open_account(workspace)
        final = self._exceeds_budget(workspace, prepaid, tokens)
        pool_age_s = now_s - board.pools_updated_s.get(workspace, 0.0)
        eliot.log_message(
            "funds:refused",
            workspace=workspace,
            tokens=tokens,
            held=account.held,
            available=account.count_available(now_s),
            free=board.escrow.count_free(workspace, prepaid),
            prepaid=prepaid,
            pool_age_s=round(pool_age_s, 2),
            peers=len(board.list_live_peers(now_s)),
            final=final,
        )
        if final:
            return errors.BudgetSpentError(
                f"{tokens} tokens exceed the rest of the budget"
            )
        refusal = errors.BudgetUnreachableError(
            f"{tokens} tokens can't be obtained in time"
        )
        if outage:
            # Requests that still wait are served first.
            growth_s = account.predict_wait(account.wanted + tokens, now_s)
            refusal.retry_after_s = (
                compute_retry_after(now_s - board.record_written_s)
                if growth_s is None
                else max(growth_s, MIN_RETRY_AFTER_S)
            )
        return refusal


def plan_wait(
    goal_s: float,
    remaining_s: float,
    startup_s: float,
    growth_s: float | None,
    store_reachable: bool,
) -> float:
    """Return the seconds that a request should wait for tokens.

    :param goal_s: latency goal of the request's route
    :param remaining_s: time until the answer has to begin
    :param startup_s: time until the process counts as started
    :param growth_s: time until the usage bound allows the request, None if
        that is not foreseen
    :param store_reachable: the bound may be renewed before it grows
    """
    longest_s = remaining_s * GROWTH_WAIT_FRACTION
    wait_s = max(goal_s * WAIT_GOAL_FRACTION, startup_s)
    if growth_s is not None and (store_reachable or growth_s <= longest_s):
        wait_s += growth_s
    return max(min(wait_s, longest_s), MIN_WAIT_S)


def compute_retry_after(record_age_s: float) -> float:
    """Return the seconds after which to retry during an outage of the store.

    All holdings become usable in the late phase of the usage bound. It begins
    when the record is older than `escrow.OUTAGE_AGE_S` and a peer has noticed
    that.

    :param record_age_s: age of this gateway's record in the store
    """
    remaining_s = escrow.OUTAGE_AGE_S + OUTAGE_GOSSIP_S - record_age_s
    return (
        RETRY_AFTER_S
        if remaining_s <= 0
        else max(remaining_s, MIN_RETRY_AFTER_S)
    )


__all__ = (
    "GrantReply",
    "GrantRequest",
    "Reservations",
    "compute_retry_after",
    "plan_wait",
)
