"""Decide whether a budget can cover a request, and refuse it otherwise."""

from __future__ import annotations

import eliot

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import token_waits

# Share of the tokens reserved lately that requests give back. On the recorded
# days it was 0.04.
GIVE_BACK_SHARE = 0.04


class BudgetRest:
    """Judge requests by what all gateways and the pool have left."""

    def __init__(self, board: blackboard.Blackboard) -> None:
        self._board = board

    def exceeds(self, workspace: str, prepaid: int, tokens: int) -> bool:
        """Return whether a request needs more tokens than the budget has left.

        These are the free tokens of the pool, the holdings of all gateways
        that are live or fell silent lately, and what running requests may give
        back, among it what long answers have not asked for. Return False while
        they are not known: just after the start, before the pool was read or
        restored, while holdings of predecessors may still be released, or if
        the state of the pool is outdated although the store is reachable.
        """
        board = self._board
        now_s = clock.read_time()
        if tokens > prepaid:
            return True
        if now_s - board.started_s < token_waits.STARTUP_WAIT_S:
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
            and board.is_store_reachable(now_s)
        ):
            return False
        free = max(board.escrow.count_free(workspace, prepaid), 0)
        account = board.escrow.open_account(workspace)
        given_back = int(account.measure_recent(now_s) * GIVE_BACK_SHARE)
        given_back += account.deferred
        peers_held = sum(
            peer.held.get(workspace, 0) + peer.deferred.get(workspace, 0)
            for peer in board.list_live_peers(now_s)
        )
        return (
            workspace in board.pools_updated_s
            and free
            + account.held
            + peers_held
            + board.count_silent_holdings(now_s, workspace)
            + given_back
            < tokens
        )

    def is_held(self, workspace: str, tokens: int) -> bool:
        """Return whether live gateways together hold enough for a request."""
        held = self._board.escrow.open_account(workspace).held
        peers_held = sum(
            peer.held.get(workspace, 0)
            for peer in self._board.list_live_peers(clock.read_time())
        )
        return tokens <= held + peers_held

    def make_refusal(
        self, workspace: str, prepaid: int, tokens: int, outage: bool
    ) -> errors.GatewayError:
        """Log and return the refusal of a request.

        :param outage: the store has not answered since the request came
        """
        now_s = clock.read_time()
        board = self._board
        account = board.escrow.open_account(workspace)
        final = self.exceeds(workspace, prepaid, tokens)
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
                token_waits.compute_retry_after(now_s - board.record_written_s)
                if growth_s is None
                else max(growth_s, token_waits.MIN_RETRY_AFTER_S)
            )
        return refusal


__all__ = ("BudgetRest",)
