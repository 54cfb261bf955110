"""Reservations of prepaid tokens for requests."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
from collections.abc import Awaitable
from collections.abc import Callable

import eliot
import msgspec

from cyclamenwing import decoding
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import budget_rest
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import grant_messages
from cyclamenwing.gateway import pledges
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import reservation
from cyclamenwing.gateway import token_transfers
from cyclamenwing.gateway import token_waits

# Interval at which idle tokens go back to the holders, and the time without
# a request after which they count as idle.
IDLE_RETURN_INTERVAL_S = 0.5

RequestGrant = Callable[
    [grant_messages.GrantRequest], Awaitable[grant_messages.GrantReply | None]
]
ReturnTokens = Callable[[str, int], Awaitable[bool]]
AskPledged = Callable[[str, grant_messages.PledgeRequest], Awaitable[int]]


class Reservations:
    """Reserve and settle prepaid tokens of workspaces.

    The holders of a workspace reserve from what they hold, all other gateways
    through one of them.

    :param request_tokens: asks a peer for tokens of a workspace; returns how
        many it transferred
    :param request_grant: asks a delegate for the tokens of one request
    :param return_tokens: gives tokens of a workspace to a holder; returns
        False if it has certainly not received them
    :param ask_pledged: asks the delegate at an address for pledged tokens
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        pool_client: pools.PoolClient,
        request_tokens: token_transfers.RequestTokens,
        request_grant: RequestGrant,
        return_tokens: ReturnTokens,
        ask_pledged: AskPledged,
    ) -> None:
        self._board = board
        self._pools = pool_client
        self._rest = budget_rest.BudgetRest(board)
        self._transfers = token_transfers.TokenTransfers(
            board, pool_client, self._rest, request_tokens
        )
        self._request_grant = request_grant
        self._return_tokens = return_tokens
        self._ask_pledged = ask_pledged
        self.pledges = pledges.PledgeBook()
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[int]] = set()

    async def reserve(
        self,
        workspace: str,
        prepaid: int,
        tokens: int,
        goal_s: float,
        remaining_s: float,
        max_wait_s: float | None = None,
        initial: int | None = None,
        lasts_s: float | None = None,
    ) -> reservation.Reservation:
        """Reserve tokens, obtaining them from the pool or peers if needed.

        :param prepaid: tokens that the workspace has paid for
        :param goal_s: latency goal of the request's route
        :param remaining_s: time until the answer has to begin
        :param max_wait_s: longest wait; None for what suits the request
        :param initial: tokens that the request may use at once, None for all
        :param lasts_s: time until its answer has to end, None for the same as
            `remaining_s`
        :raises BudgetSpentError: if the budget has too few tokens left
        :raises BudgetUnreachableError: if enough may be left but can't be
            obtained in time
        """
        now_s = clock.read_time()
        account = self._board.escrow.open_account(workspace)
        if initial is None:
            initial = tokens
        reserved = reservation.Reservation(
            account, self._pools, tokens, initial
        )
        if account.reserve(tokens, now_s, initial):
            return reserved
        if max_wait_s is None and not self._board.roster.holds(workspace):
            return await self._reserve_by_grant(
                workspace,
                reserved,
                goal_s,
                remaining_s,
                remaining_s if lasts_s is None else lasts_s,
            )
        if self._rest.exceeds(workspace, prepaid, tokens):
            raise self._rest.make_refusal(
                workspace, prepaid, tokens, outage=False
            )
        account.wanted += tokens
        account.wanted_later += tokens - initial
        try:
            wait_s = token_waits.plan_wait(
                goal_s,
                remaining_s,
                self._board.started_s + token_waits.STARTUP_WAIT_S - now_s,
                account.predict_wait(tokens, now_s, initial),
                self._board.is_store_reachable(now_s),
                self._rest.is_held(workspace, tokens),
            )
            if max_wait_s is not None:
                wait_s = min(wait_s, max_wait_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    if await self._transfers.acquire(
                        workspace, prepaid, tokens, initial
                    ):
                        return reserved
            if account.reserve(tokens, clock.read_time(), initial):
                return reserved
        finally:
            account.wanted -= tokens
            account.wanted_later -= tokens - initial
        outage = self._board.store_contact_s < now_s
        raise self._rest.make_refusal(workspace, prepaid, tokens, outage)

    def settle(self, reserved: reservation.Reservation, spent: int) -> None:
        """End a reservation, of which `spent` tokens were used."""
        reserved.settle(spent)

    async def answer_grant(self, body: bytes) -> bytes:
        """Reserve tokens for an attached gateway and hand them over.

        :raises LeavingError: if the process stops
        """
        self._board.check_leaving()
        request = decoding.decode(body, grant_messages.GrantRequest)
        board = self._board
        # Gossip to attached gateways has no holdings and pools, which another
        # delegate needs to tell whether a budget is spent.
        if request.attached:
            board.roster.record_attached(request.host, clock.read_time())
        config = board.configuration
        workspace = config and config.workspaces.get(request.workspace)
        if not workspace or workspace.prepaid_tokens is None:
            # The configuration here is older than the asking gateway's.
            return msgspec.json.encode(
                grant_messages.GrantReply(
                    0, retry_after_s=token_waits.MIN_RETRY_AFTER_S
                )
            )
        try:
            reserved = await self.reserve(
                request.workspace,
                workspace.prepaid_tokens,
                request.tokens,
                request.goal_s,
                request.wait_s / token_waits.GROWTH_WAIT_FRACTION,
                request.wait_s,
                request.initial or None,
            )
        except errors.BudgetSpentError:
            return msgspec.json.encode(
                grant_messages.GrantReply(0, spent=True)
            )
        except errors.BudgetUnreachableError as err:
            return msgspec.json.encode(
                grant_messages.GrantReply(
                    0,
                    retry_after_s=err.retry_after_s
                    or token_waits.RETRY_AFTER_S,
                )
            )
        account = board.escrow.open_account(request.workspace)
        tokens = self.pledges.add(
            request.name, account, reserved, request.lasts_s
        )
        return msgspec.json.encode(
            grant_messages.GrantReply(tokens, delegate=board.settings.control)
        )

    async def answer_return(self, body: bytes) -> bytes:
        """Take back tokens that an attached gateway does not need.

        :raises LeavingError: if the process stops
        """
        self._board.check_leaving()
        returned = decoding.decode(body, dict[str, int])
        for workspace, tokens in returned.items():
            account = self._board.escrow.open_account(workspace)
            account.add_transfer(max(tokens, 0))
            account.record_unused(max(tokens, 0), clock.read_time())
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

    async def transfer_to_peer(self, workspace: str, tokens: int) -> int:
        """Transfer tokens to a peer; return how many.

        :raises LeavingError: if the process stops
        """
        return await self._transfers.transfer_to_peer(workspace, tokens)

    async def wait_for_incoming(self, timeout_s: float) -> None:
        """Wait until no call that may bring tokens is under way."""
        await self._transfers.wait_for_incoming(timeout_s)

    async def run(self) -> None:
        """Return idle tokens to their holders until cancelled."""
        while True:
            await asyncio.sleep(IDLE_RETURN_INTERVAL_S)
            self.pledges.expire()
            await self.return_idle(IDLE_RETURN_INTERVAL_S)

    async def _reserve_by_grant(
        self,
        workspace: str,
        local: reservation.Reservation,
        goal_s: float,
        remaining_s: float,
        lasts_s: float,
    ) -> reservation.Reservation:
        """Reserve tokens that a delegate hands over.

        A delegate that has answered is asked to let the request wait there: it
        sees when its usage bound allows it, and what others hold. The first
        wait is short, as a delegate may be silent.

        :param local: the reservation to make, if all tokens come at once
        """
        tokens, initial = local.tokens, local.usable
        account = self._board.escrow.open_account(workspace)
        until_s = (
            clock.read_time() + remaining_s * token_waits.GROWTH_WAIT_FRACTION
        )
        wait_s = max(
            goal_s * token_waits.WAIT_GOAL_FRACTION, token_waits.MIN_WAIT_S
        )
        pause_fraction = 0.0
        while True:
            request = grant_messages.GrantRequest(
                self._board.settings.host,
                workspace,
                tokens,
                goal_s,
                wait_s,
                not self._board.roster.acts_as_delegate,
                initial if initial < tokens else 0,
                f"{self._board.escrow.holder}/{next(self._numbers)}",
                lasts_s,
            )
            # Tokens must be received even if the request is cancelled.
            reply = await asyncio.shield(
                self._transfers.start_incoming(self._receive_grant(request))
            )
            now_s = clock.read_time()
            if account.reserve(tokens, now_s, initial):
                return local
            pledged = reply is not None and 0 < reply.tokens < tokens
            if pledged and reply is not None:
                end_pledge = functools.partial(
                    self._end_pledge, request, reply.delegate
                )
                if account.reserve(reply.tokens, now_s):
                    return reservation.PledgedReservation(
                        account,
                        self._pools,
                        tokens,
                        reply.tokens,
                        functools.partial(
                            self._fetch, request, reply.delegate
                        ),
                        end_pledge,
                    )
                # Another request was faster. The next reply has its own.
                end_pledge()
            if reply is not None and reply.spent:
                raise errors.BudgetSpentError(
                    f"{tokens} tokens exceed the rest of the budget"
                )
            retry_after_s = (
                reply.retry_after_s if reply else token_waits.RETRY_AFTER_S
            )
            left_s = until_s - now_s
            pause_s = min(retry_after_s, left_s * pause_fraction)
            wait_s = left_s - pause_s
            if reply is None or wait_s < token_waits.MIN_WAIT_S:
                refusal = errors.BudgetUnreachableError(
                    f"{tokens} tokens can't be obtained in time"
                )
                refusal.retry_after_s = retry_after_s
                raise refusal
            await asyncio.sleep(pause_s)
            pause_fraction = token_waits.PAUSE_FRACTION

    async def _fetch(
        self,
        request: grant_messages.GrantRequest,
        delegate: str,
        tokens: int,
        wait_s: float,
    ) -> int:
        """Add pledged tokens to the account, or others if there are none.

        Return how many.
        """
        return await asyncio.shield(
            self._transfers.start_incoming(
                self._receive_pledged(request, delegate, tokens, wait_s)
            )
        )

    async def _receive_pledged(
        self,
        request: grant_messages.GrantRequest,
        delegate: str,
        tokens: int,
        wait_s: float,
    ) -> int:
        received = await self._ask_pledged(
            delegate,
            grant_messages.PledgeRequest(request.name, tokens, wait_s),
        )
        if received:
            account = self._board.escrow.open_account(request.workspace)
            account.add_transfer(received)
            return received
        reply = await self._receive_grant(
            msgspec.structs.replace(
                request, tokens=tokens, wait_s=wait_s, initial=0, name=""
            )
        )
        return reply.tokens if reply else 0

    def _end_pledge(
        self, request: grant_messages.GrantRequest, delegate: str
    ) -> None:
        """Tell a delegate in the background that a request has ended."""
        task = asyncio.ensure_future(
            self._ask_pledged(
                delegate, grant_messages.PledgeRequest(request.name, 0, 0.0)
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _receive_grant(
        self, request: grant_messages.GrantRequest
    ) -> grant_messages.GrantReply | None:
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


__all__ = ("Reservations",)
