"""Reservations of a request and the exchange with the ledger."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any

import eliot

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import coordinator
from cyclamenwing.budget import errors
from cyclamenwing.budget import holder
from cyclamenwing.budget import types
from cyclamenwing.entry import admission
from cyclamenwing.entry import blackboard
from cyclamenwing.membership import rank
from cyclamenwing.membership import view
from cyclamenwing.request import types as request_types
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

SETTLE_INTERVAL_S = 1.0
LEDGER_TIMEOUT_S = 3.0


class LedgerHandler(server.PeerHandler):
    """Serve ``POST /peer/ledger``."""

    def initialize(self, ledger: coordinator.Coordinator) -> None:
        """Take the group commit of ledger shards."""
        self._ledger = ledger

    async def post(self) -> None:
        """Commit a batch as the shard's coordinator."""
        batch = self.decode_body(types.LedgerBatch)
        self.write_json(await self._ledger.submit(batch))


class Funding:
    """Reserve units for requests and keep the ledger informed.

    :param board: the entry's state
    :param controller: decisions on the session's grants
    :param local: group commit of shards that this entry coordinates
    :param client: HTTP client
    :param shards: number of ledger shards
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        controller: holder.HolderController,
        local: coordinator.Coordinator,
        client: transport.Client,
        shards: int,
    ) -> None:
        self._board = board
        self._controller = controller
        self._local = local
        self._client = client
        self._shards = shards
        self._members = view.MemberController()
        self._needed = asyncio.Event()
        self._answered = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        options = {"ledger": self._local}
        return [(r"/peer/ledger", LedgerHandler, options)]

    def start(self) -> None:
        """Start the exchange with the ledger."""
        self._task = asyncio.create_task(self._run())

    async def reserve(
        self, accepted: admission.Accepted
    ) -> list[types.Reservation]:
        """Reserve all needs, or none and raise a coded error."""
        made: list[types.Reservation] = []
        try:
            for need in accepted.needs:
                made.append(await self._reserve_one(need, accepted.timeout_s))
        except base_errors.CodedError:
            self.release(made)
            raise
        return made

    def release(self, made: list[types.Reservation]) -> None:
        """Give back reservations of a request that did not run."""
        for reservation in made:
            self._controller.settle(self._board.holder, reservation, None, 0)

    def doubt(
        self, accepted: admission.Accepted, made: list[types.Reservation]
    ) -> None:
        """Keep reservations charged whose run is unknown.

        They stay so until the sidecar that may have run them tells.
        """
        for reservation in made:
            self._controller.doubt(self._board.holder, reservation)

    def settle(
        self,
        accepted: admission.Accepted,
        made: list[types.Reservation],
        usage: request_types.Usage,
    ) -> None:
        """Turn reservations into bills."""
        tokens = usage["prompt"] + usage["completion"]
        used = {"tokens": tokens, "requests": 1}
        for need, reservation in zip(accepted.needs, made, strict=True):
            units = min(used[need.unit], reservation.amount)
            bill: types.Bill = {
                "request": accepted.request,
                "workspace": accepted.workspace["name"],
                "budget": need.budget,
                "session": reservation.session,
                "sequence": reservation.sequence,
                "kind": accepted.kind,
                "reviewer": accepted.reviewer,
                "units": units,
                "at": time.time(),
            }
            self._controller.settle(
                self._board.holder, reservation, bill, units
            )

    async def close(self) -> None:
        """Send the last settlements and stop."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        await self._exchange()

    async def _reserve_one(
        self, need: admission.Need, timeout_s: float
    ) -> types.Reservation:
        ends_at = time.monotonic() + timeout_s
        while True:
            made = self._controller.reserve(
                self._board.holder, need.budget, need.amount, need.unit
            )
            if made is not None:
                return made
            self._needed.set()
            if not await self._wait_answer(ends_at - time.monotonic()):
                raise self._explain(need)
            account = self._board.holder.get_account(need.budget)
            short = need.amount - account.count_available()
            if account.known and account.free < short:
                raise self._explain(need)

    def _explain(self, need: admission.Need) -> errors.BudgetExhaustedError:
        account = self._board.holder.get_account(need.budget)
        own = account.count_available()
        reachable = max(0, account.free) + max(0, own)
        return errors.BudgetExhaustedError(
            need.budget,
            need.amount,
            account.left,
            max(0, account.left - reachable),
        )

    async def _wait_answer(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                async with self._answered:
                    await self._answered.wait()
        except TimeoutError:
            return False
        return True

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTLE_INTERVAL_S):
                    await self._needed.wait()
            self._needed.clear()
            await self._exchange()

    async def _exchange(self) -> None:
        batches = self._controller.collect_batches(
            self._board.holder, self._shards
        )
        await asyncio.gather(*(self._submit(batch) for batch in batches))
        async with self._answered:
            self._answered.notify_all()

    async def _submit(self, batch: types.LedgerBatch) -> None:
        shard = batch["shard"]
        for address in self._rank_coordinators(shard):
            try:
                reply = await self._send(address, batch)
            except base_errors.CodedError as err:
                eliot.log_message(
                    "entry:ledger", shard=shard, to=address, code=err.code
                )
                continue
            self._controller.apply_reply(self._board.holder, batch, reply)
            return

    async def _send(
        self, address: str, batch: types.LedgerBatch
    ) -> types.LedgerReply:
        if not address:
            return await self._local.submit(batch)
        return await self._client.call(
            f"http://{address}/peer/ledger",
            batch,
            types.LedgerReply,
            LEDGER_TIMEOUT_S,
        )

    def _rank_coordinators(self, shard: int) -> list[str]:
        live = self._members.list_live(
            self._board.members, "entry", time.monotonic()
        )
        addresses = {beat["host"]: beat["address"] for beat in live}
        addresses[self._board.host] = ""
        ranked = rank.rank_members(f"ledger/{shard}", addresses)
        return [addresses[host] for host in ranked]


__all__ = ("Funding",)
