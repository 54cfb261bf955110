"""Reservation and draw of prepaid tokens."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable

import eliot
import msgspec

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import errors
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol

POOL_PREFIX = "cyclamenwing/pools/"
# A transaction takes 32 entries, two a pool.
MAX_POOLS = 15
# Draws that nobody waits for come at this interval.
DRAW_INTERVAL_S = 0.5
# Draws that a request waits for follow each other no faster.
URGENT_INTERVAL_S = 0.02
BUSY_PAUSE_S = 0.5
# A request waits this part of its goal for the pool and for peers.
WAIT_PART = 0.3
MIN_WAIT_S = 0.05
# A draw answers within a few round trips; peers are asked after that.
DRAW_WAIT_S = 0.04
# The pool was seen this lately for a refusal to be final.
FRESH_S = 2.0

AskPeer = Callable[[blackboard.Peer, str, int], Awaitable[int]]


class PoolRecord(msgspec.Struct):
    """Hold a workspace's pool as it is stored, in tokens."""

    drawn: dict[str, int] = {}


class Funds:
    """Keep what this gateway holds of each workspace's tokens.

    :param ask_peer: asks a peer to hand over tokens, returns how many
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: protocol.Journal,
        ask_peer: AskPeer,
    ) -> None:
        self._board = board
        self._store = store
        self._ask_peer = ask_peer
        self._urgent = asyncio.Event()
        self._drawn = asyncio.Condition()
        self._asking: dict[str, asyncio.Lock] = {}
        self._seen_s: dict[str, float] = {}

    async def reserve(
        self, workspace: str, prepaid: int, tokens: int, goal_s: float
    ) -> None:
        """Set tokens aside, from peers or the pool if need be.

        :raises BudgetSpentError: if no budget is left for the request
        :raises BudgetUnreachableError: if what is left can't be reached
        """
        now_s = clock.read_time()
        account = self._board.escrow.open_account(workspace)
        account.note_demand(tokens, now_s)
        if account.reserve(tokens):
            return
        if tokens > prepaid:
            raise errors.BudgetSpentError("larger than the whole budget")
        account.wanted += tokens
        try:
            wait_s = max(goal_s * WAIT_PART, MIN_WAIT_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    if await self._gather(workspace, prepaid, tokens):
                        return
            if account.reserve(tokens):
                return
        finally:
            account.wanted -= tokens
        raise self._make_refusal(workspace, prepaid, tokens)

    def settle(self, workspace: str, reserved: int, spent: int) -> None:
        """End a reservation."""
        self._board.escrow.open_account(workspace).settle(reserved, spent)

    async def run(self) -> None:
        """Draw from the pools until cancelled."""
        while True:
            self._urgent.clear()
            pause_s = URGENT_INTERVAL_S
            try:
                await self._draw()
            except store_errors.StoreBusyError as err:
                eliot.log_message("funds:store_busy", reason=err.message)
                pause_s = BUSY_PAUSE_S
            except store_errors.StoreError as err:
                eliot.log_message("funds:draw_failed", code=err.code)
                pause_s = BUSY_PAUSE_S
            async with self._drawn:
                self._drawn.notify_all()
            await asyncio.sleep(pause_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DRAW_INTERVAL_S):
                    await self._urgent.wait()

    async def release(self) -> None:
        """Return to the pools what this gateway holds and doesn't use."""
        accounts = self._board.escrow.accounts
        changes = {
            name: -account.available
            for name, account in accounts.items()
            if account.available > 0
        }
        for _ in range(3):
            if await self._commit(changes):
                return

    async def _gather(
        self, workspace: str, prepaid: int, tokens: int
    ) -> bool:
        account = self._board.escrow.open_account(workspace)
        board = self._board
        now_s = clock.read_time()
        store_near = now_s - board.store_seen_s < FRESH_S * 2
        free = board.escrow.count_free(workspace, prepaid)
        if store_near and (free > 0 or workspace not in self._seen_s):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DRAW_WAIT_S), self._drawn:
                    self._urgent.set()
                    await self._drawn.wait()
            if account.reserve(tokens):
                return True
        lock = self._asking.setdefault(workspace, asyncio.Lock())
        async with lock:
            if account.reserve(tokens):
                return True
            for peer in sorted(
                board.list_peers(clock.read_time()),
                key=lambda p: -p.available.get(workspace, 0),
            ):
                lack = account.wanted - account.available
                if lack > 0 and peer.available.get(workspace, 0) > 0:
                    account.receive(
                        await self._ask_peer(peer, workspace, lack)
                    )
                if account.reserve(tokens):
                    return True
        return False

    def _make_refusal(
        self, workspace: str, prepaid: int, tokens: int
    ) -> errors.GatewayError:
        now_s = clock.read_time()
        board = self._board
        pool = board.escrow.open_pool(workspace)
        free = prepaid - pool.drawn
        seen_s = now_s - self._seen_s.get(workspace, 0.0)
        live = {peer.holder for peer in board.list_peers(now_s)}
        live.add(board.escrow.holder)
        final = (
            free < tokens and seen_s < FRESH_S and live.issuperset(pool.holders)
        )
        eliot.log_message(
            "funds:refused",
            workspace=workspace,
            tokens=tokens,
            held=board.escrow.open_account(workspace).available,
            free=free,
            pool_age_s=round(seen_s, 2),
            peers=len(live) - 1,
            final=final,
        )
        if final:
            return errors.BudgetSpentError(f"{tokens} tokens are not left")
        return errors.BudgetUnreachableError(f"{tokens} tokens not in reach")

    async def _draw(self) -> None:
        board = self._board
        known = board.configuration
        if known is None:
            return
        now_s = clock.read_time()
        entries = board.count_entries(now_s)
        changes = {}
        for name, workspace in known.workspaces.items():
            if workspace.prepaid_tokens is None:
                continue
            account = board.escrow.open_account(name)
            free = board.escrow.count_free(name, workspace.prepaid_tokens)
            change = account.plan_draw(free, entries, now_s)
            if change > 0 or (
                account.wanted and now_s - self._seen_s.get(name, 0) > FRESH_S
            ):
                changes[name] = change
        if changes:
            await self._commit(changes)

    async def _commit(self, changes: dict[str, int]) -> bool:
        names = sorted(
            changes, key=lambda n: -abs(changes[n])
        )[:MAX_POOLS]
        if not names:
            return True
        ledger = self._board.escrow
        expected = []
        writes = []
        for name in names:
            holders = ledger.begin(name, changes[name])
            key = POOL_PREFIX + name
            expected.append((key, ledger.pools[name].revision))
            writes.append((key, msgspec.json.encode(PoolRecord(holders))))
        try:
            outcome = await self._store.commit(expected, writes)
        except store_errors.StoreAnswerLostError:
            eliot.log_message("funds:commit_in_doubt", workspaces=names)
            raise
        except store_errors.StoreError:
            for name in names:
                ledger.cancel(name)
            raise
        now_s = clock.read_time()
        self._board.store_seen_s = now_s
        self._seen_s.update(dict.fromkeys(names, now_s))
        if isinstance(outcome, protocol.Conflict):
            self._see_pools(names, outcome.entries)
            self._urgent.set()
            return False
        for name, (_, value) in zip(names, writes, strict=True):
            holders = msgspec.json.decode(value, type=PoolRecord).drawn
            ledger.see_pool(name, outcome.revision, holders)
        eliot.log_message(
            "funds:committed",
            changes={n: changes[n] for n in names},
            revision=outcome.revision,
        )
        return True

    def _see_pools(
        self, names: list[str], entries: list[protocol.Entry]
    ) -> None:
        for entry in entries:
            name = entry.key.removeprefix(POOL_PREFIX)
            record = msgspec.json.decode(entry.value, type=PoolRecord)
            self._board.escrow.see_pool(name, entry.revision, record.drawn)
        for name in names:
            self._board.escrow.cancel(name)


__all__ = (
    "POOL_PREFIX",
    "Funds",
)
