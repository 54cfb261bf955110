"""The production budget controllers as a system of a replay."""

from __future__ import annotations

import uuid

from cyclamenwing.bench import budget_replay
from cyclamenwing.budget import account
from cyclamenwing.budget import exchange
from cyclamenwing.budget import holder
from cyclamenwing.budget import ledger
from cyclamenwing.budget import messages
from cyclamenwing.budget import peers
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import sizing
from cyclamenwing.budget import types

BUDGET = "budget"
# Time from the death of an entry until its grants are recovered: detection
# of its silence, a session scan, and queries to peers and sidecars.
RECOVERY_S = 5.0


class GrantSystem:
    """Run the production controllers of an entry in each zone.

    :param weight: weight of false refusals, from 0 (small grants, early
        refusals) to 1 (grants that outlast long store outages)
    """

    def __init__(self, weight: float = sizing.DEFAULT_WEIGHT) -> None:
        self.writes = 0
        self.bytes_written = 0
        self._sizing = sizing.Sizing.from_weight(weight)
        self._holder = holder.HolderController()
        self._exchange = exchange.ExchangeController(self._sizing)
        self._peers = peers.PeerController()
        self._codec = shards.ShardCodec()
        self.shard = shards.make_shard()
        self._boards: dict[int, account.HolderBoard] = {}
        self._running: dict[int, types.Reservation] = {}
        self._bills: dict[str, dict[int, types.Bill]] = {}
        self._killed: list[tuple[float, str]] = []

    def start_all(self, network: budget_replay.Network) -> None:
        """Start an entry in each zone."""
        self._network = network
        for zone in range(network.zones):
            self.start(zone, 0.0)

    def start(self, zone: int, now: float) -> None:
        """Start a zone's entry with a new session."""
        session = f"entry-{zone}/{now:.0f}"
        self._boards[zone] = account.HolderBoard(session, record_stored=True)
        for board in self._boards.values():
            board.eligible_donors.update(
                other.session for other in self._boards.values()
            )
        self._bills[session] = {}

    def top_up(self, amount: int, now: float) -> None:
        """Commit a payment; the operator reaches the store in all cases."""
        top_up: messages.TopUp = {
            "op": "top_up",
            "id": f"top-up-{now}",
            "budget": BUDGET,
            "amount": amount,
        }
        self._commit([top_up], now)

    def admit(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> bool:
        """Reserve; request missing units from the ledger, then from peers."""
        board = self._boards[zone]
        reservation = self._reserve(board, request, now)
        if reservation is None:
            ticket = self._holder.add_waiter(board, BUDGET, request.reserve)
            reservation = self._obtain_units(zone, board, request, now)
            self._holder.remove_waiter(board, BUDGET, ticket)
        if reservation is None:
            return False
        self._running[request.number] = reservation
        return True

    def can_reach_units(
        self, zone: int, request: budget_replay.Request
    ) -> bool:
        """Return whether the zone can reach the units of a refused request."""
        reachable_units = sum(
            max(0, board.get_account(BUDGET).count_available())
            for other, board in self._boards.items()
            if self._network.reaches(zone, other)
        )
        if self._network.reaches_store(zone):
            reachable_units += shards.count_free(self.shard["budgets"][BUDGET])
        return reachable_units >= request.reserve

    def finish(
        self, zone: int, request: budget_replay.Request, now: float
    ) -> None:
        """Record the bill at the sidecar and settle at the entry.

        The sidecar's record serves the recovery if the entry that holds
        the reservation was killed.
        """
        reservation = self._running.pop(request.number)
        bill: types.Bill = {
            "request": str(request.number),
            "key": "",
            "workspace": "workspace",
            "budget": BUDGET,
            "session": reservation.session,
            "sequence": reservation.sequence,
            "kind": "summary",
            "reviewer": "",
            "units": request.used,
            "at": now,
        }
        self._bills[reservation.session][reservation.sequence] = bill
        board = self._boards[zone]
        if (
            board.session == reservation.session
            and zone not in self._network.dead
        ):
            self._holder.settle(board, reservation, bill)

    def tick(self, now: float) -> None:
        """Exchange batches with the ledger and recover killed sessions."""
        ops: list[messages.LedgerOp] = []
        sent: list[tuple[account.HolderBoard, messages.LedgerBatch]] = []
        for zone, board in self._boards.items():
            if zone in self._network.dead:
                continue
            if not self._network.reaches_store(zone):
                continue
            for batch in self._exchange.collect_batches(board, 1, now):
                sent.append((board, batch))
                ops.extend(ledger.list_ops(batch))
        ops.extend(self._recover(now))
        if not ops:
            return
        results = self._commit(ops, now)
        for board, batch in sent:
            count = len(ledger.list_ops(batch))
            self._exchange.apply_reply(
                board, batch, {"results": results[:count]}
            )
            del results[:count]

    def kill(self, zone: int, now: float) -> None:
        """Kill a zone's entry; its requests keep running at their sidecars."""
        self._killed.append((now, self._boards[zone].session))

    def _obtain_units(
        self,
        zone: int,
        board: account.HolderBoard,
        request: budget_replay.Request,
        now: float,
    ) -> types.Reservation | None:
        store_reachable = self._network.reaches_store(zone)
        holdings = board.get_account(BUDGET)
        if store_reachable:
            self._request_grants(board, now)
        reservation = self._reserve(board, request, now)
        if reservation is not None or (
            store_reachable and holdings.left < request.reserve
        ):
            return reservation
        self._request_transfers(zone, board, request)
        reservation = self._reserve(board, request, now)
        if reservation is not None and store_reachable:
            self._request_grants(board, now)
        if reservation is None and store_reachable:
            holdings.partial = True
            self._request_grants(board, now)
            holdings.partial = False
            reservation = self._reserve(board, request, now)
        return reservation

    def _request_grants(self, board: account.HolderBoard, now: float) -> None:
        batch = self._exchange.collect_urgent(board, 1, 0, now)
        if batch is not None:
            results = self._commit(ledger.list_ops(batch), now)
            self._exchange.apply_reply(board, batch, {"results": results})

    def _request_transfers(
        self,
        zone: int,
        board: account.HolderBoard,
        request: budget_replay.Request,
    ) -> None:
        holdings = board.get_account(BUDGET)
        for other, peer in self._boards.items():
            missing = request.reserve - holdings.count_available()
            if missing <= 0:
                return
            if other == zone or not self._network.reaches(zone, other):
                continue
            reply = self._peers.deduct_transfer(
                peer,
                {
                    "ask": uuid.uuid4().hex,
                    "budget": BUDGET,
                    "session": board.session,
                    "needed": missing,
                    "wanted": 2 * missing,
                },
            )
            for transfer in reply["transfers"]:
                self._peers.add_transfer(board, transfer)

    def _recover(self, now: float) -> list[messages.LedgerOp]:
        ops: list[messages.LedgerOp] = []
        for killed_at, session in list(self._killed):
            if now - killed_at < RECOVERY_S or not self._network.store_up:
                continue
            running = [
                reservation.amount
                for reservation in self._running.values()
                if reservation.session == session
            ]
            ops.append({"op": "close", "session": session})
            ops.append(self._make_recovery(session, sum(running)))
            if not running:
                self._killed.remove((killed_at, session))
        return ops

    def _make_recovery(self, session: str, running: int) -> messages.Recovery:
        transfers = [
            transfer
            for zone, board in self._boards.items()
            if zone not in self._network.dead
            for transfer in self._peers.report_transfers(board, session)[
                "transfers"
            ]
        ]
        return {
            "op": "recover",
            "budget": BUDGET,
            "session": session,
            "bills": list(self._bills[session].values()),
            "transfers": transfers,
            "running": running,
            "reason": "",
        }

    def _reserve(
        self,
        board: account.HolderBoard,
        request: budget_replay.Request,
        now: float,
    ) -> types.Reservation | None:
        return self._holder.reserve(
            board, BUDGET, request.reserve, "tokens", now
        )

    def _commit(
        self, ops: list[messages.LedgerOp], now: float
    ) -> list[messages.OpResult]:
        results = ledger.apply_ops(self.shard, ops, now)
        shards.record_commit(self.shard, str(self.writes))
        # A full segment of bills moves to a key of its own: one more write.
        if len(self.shard["bills"]) >= SEGMENT_BILLS:
            del self.shard["bills"][:SEGMENT_BILLS]
            self.writes += 1
        self.writes += 1
        return results


SEGMENT_BILLS = 1_000

__all__ = ("GrantSystem",)
