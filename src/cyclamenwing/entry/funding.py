"""Reservations of requests, their settlement and their refusals."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import billing
from cyclamenwing.budget import coordinator
from cyclamenwing.budget import errors
from cyclamenwing.budget import holder
from cyclamenwing.budget import messages
from cyclamenwing.budget import sizing
from cyclamenwing.budget import types
from cyclamenwing.entry import admission
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import exchange
from cyclamenwing.entry import transfers
from cyclamenwing.request import types as request_types
from cyclamenwing.transport import server

SETTLE_INTERVAL_S = 5.0
RETRY_SOON_S = 2.0
RETRY_LATER_S = 60.0


class LedgerHandler(server.PeerHandler):
    """Serve ``POST /peer/ledger``."""

    def initialize(self, ledger: coordinator.Coordinator) -> None:
        """Take the group commit of ledger shards."""
        self._ledger = ledger

    async def post(self) -> None:
        """Commit a batch as the shard's coordinator."""
        batch = self.decode_body(messages.LedgerBatch)
        self.write_json(await self._ledger.submit(batch))


class Funding:
    """Reserve units for requests and keep the ledger informed.

    :param board: the entry's state
    :param ledger: exchange with the ledger's coordinators
    :param donors: transfers from peers
    :param size: how long a request may wait for units
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        ledger: exchange.Exchange,
        donors: transfers.Transfers,
        size: sizing.Sizing,
    ) -> None:
        self._board = board
        self._ledger = ledger
        self._donors = donors
        self._size = size
        self._controller = holder.HolderController()
        self._tasks: set[asyncio.Task[bool]] = set()
        self._gathering: dict[str, asyncio.Lock] = {}
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"ledger": self._ledger.local}
        return [(r"/peer/ledger", LedgerHandler, options)]

    def start(self) -> None:
        """Start telling the ledger what was spent."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Give back what is left, send the last settlements and stop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        for account in self._board.holder.accounts.values():
            rest = account.count_available()
            if rest > 0 and not account.incoming:
                account.returned += rest
                account.dirty = True
        await self._settle()

    async def reserve(
        self, accepted: admission.Accepted
    ) -> list[types.Reservation]:
        """Reserve all needs, or none and raise a coded error."""
        made: list[types.Reservation] = []
        deadline = (
            time.monotonic() + accepted.timeout_s * self._size.wait_share
        )
        try:
            for need in accepted.needs:
                made.append(await self._reserve_one(need, deadline))
        except base_errors.CodedError:
            self.release(made)
            raise
        return made

    def release(self, made: list[types.Reservation]) -> None:
        """Give back reservations of a request that did not run."""
        for reservation in made:
            self._controller.release(self._board.holder, reservation)

    def mark_in_doubt(
        self, accepted: admission.Accepted, made: list[types.Reservation]
    ) -> None:
        """Keep reservations charged whose run is unknown.

        They stay so until the sidecar that may have run them tells.
        """
        for reservation in made:
            bill = _make_bill(accepted, reservation, reservation.amount)
            self._controller.mark_in_doubt(
                self._board.holder, reservation, bill, time.time()
            )

    def settle(
        self,
        accepted: admission.Accepted,
        made: list[types.Reservation],
        usage: request_types.Usage,
    ) -> None:
        """Turn reservations into bills."""
        tokens = usage["prompt"] + usage["completion"]
        used = {"tokens": tokens, "requests": 1}
        for reservation in made:
            units = min(used[reservation.unit], reservation.amount)
            self._controller.settle(
                self._board.holder,
                reservation,
                _make_bill(accepted, reservation, units),
            )

    async def _reserve_one(
        self, need: admission.Need, deadline: float
    ) -> types.Reservation:
        made = self._try(need)
        if made is not None:
            return made
        board = self._board.holder
        ticket = self._controller.add_waiter(board, need.budget, need.amount)
        try:
            async with asyncio.timeout_at(
                asyncio.get_running_loop().time()
                + max(0.0, deadline - time.monotonic())
            ):
                made = await self._obtain(need, deadline)
        except TimeoutError:
            made = self._try(need)
        finally:
            self._controller.remove_waiter(board, need.budget, ticket)
        if made is None:
            raise self._explain(need)
        return made

    async def _obtain(
        self, need: admission.Need, deadline: float
    ) -> types.Reservation | None:
        """Ask the ledger, then peers, then both for what is left."""
        reachable = await self._ledger.ask(need.budget)
        made = self._try(need)
        if made is not None:
            return made
        account = self._board.holder.get_account(need.budget)
        if reachable and account.left < need.amount:
            return None
        lock = self._gathering.setdefault(need.budget, asyncio.Lock())
        async with lock:
            if (made := self._try(need)) is not None:
                return made
            await self._donors.gather(need.budget, need.amount, deadline)
            if (made := self._try(need)) is not None or not reachable:
                self._tell_soon(need.budget)
                return made
            account.partial = True
            try:
                await self._ledger.ask(need.budget)
            finally:
                account.partial = False
            return self._try(need)

    def _tell_soon(self, budget: str) -> None:
        """Have the ledger count transfers, so that they can go on."""
        if budget not in self._board.holder.unreported_budgets:
            return
        task = asyncio.create_task(self._ledger.ask(budget))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _try(self, need: admission.Need) -> types.Reservation | None:
        return self._controller.reserve(
            self._board.holder,
            need.budget,
            need.amount,
            need.unit,
            time.monotonic(),
        )

    def _explain(self, need: admission.Need) -> base_errors.CodedError:
        account = self._board.holder.get_account(need.budget)
        if account.answered and not account.exists:
            return errors.UnknownBudgetError(
                f"budget {need.budget!r} was never topped up"
            )
        own = max(0, account.count_available()) + account.reserved
        out_of_reach = max(0, account.left - own - max(0, account.free))
        soon = account.left >= need.amount or not account.answered
        return errors.BudgetExhaustedError(
            need.budget,
            need.amount,
            account.left,
            out_of_reach,
            RETRY_SOON_S if soon else RETRY_LATER_S,
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SETTLE_INTERVAL_S)
            await self._settle()

    async def _settle(self) -> None:
        try:
            await self._ledger.settle()
        except base_errors.CodedError as err:
            eliot.log_message("entry:settle", code=err.code)


def _make_bill(
    accepted: admission.Accepted, reservation: types.Reservation, units: int
) -> types.Bill:
    return {
        "request": accepted.request,
        "key": billing.make_bill_key(
            accepted.key, accepted.request, accepted.fingerprint
        ),
        "workspace": accepted.workspace["name"],
        "budget": reservation.budget,
        "session": reservation.session,
        "sequence": reservation.sequence,
        "kind": accepted.kind,
        "reviewer": accepted.reviewer,
        "units": units,
        "at": time.time(),
    }


__all__ = ("Funding",)
