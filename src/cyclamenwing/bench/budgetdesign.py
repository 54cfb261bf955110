"""The design's controllers behind the interface of a replay."""

from __future__ import annotations

import uuid

from cyclamenwing.bench import budgetruns
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
# Silence, scan and questions until a dead session's grants are back.
RECOVERY_S = 5.0


class Design:
    """Hold grants in each zone, as the entries do.

    :param weight: weight of false refusals, 0 to 1
    """

    def __init__(self, weight: float = sizing.DEFAULT_WEIGHT) -> None:
        self.writes = 0
        self.bytes_written = 0
        self._size = sizing.Sizing.from_weight(weight)
        self._holding = holder.HolderController()
        self._exchange = exchange.ExchangeController(self._size)
        self._peers = peers.PeerController()
        self._codec = shards.ShardCodec()
        self.shard = shards.make_shard()
        self._boards: dict[int, account.HolderBoard] = {}
        self._running: dict[int, types.Reservation] = {}
        self._records: dict[str, dict[int, types.Bill]] = {}
        self._gone: list[tuple[float, str]] = []

    def begin(self, network: budgetruns.Network) -> None:
        """Start with entries in all zones."""
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
        self._records[session] = {}

    def top_up(self, amount: int, now: float) -> None:
        """Take a payment; the store is in the operator's reach."""
        top_up: messages.TopUp = {
            "op": "top_up",
            "id": f"top-up-{now}",
            "budget": BUDGET,
            "amount": amount,
        }
        self._commit([top_up], now)

    def admit(
        self, zone: int, request: budgetruns.Request, now: float
    ) -> bool:
        """Reserve; ask the ledger and then peers for what is missing."""
        board = self._boards[zone]
        made = self._reserve(board, request, now)
        if made is None:
            ticket = self._holding.add_waiter(board, BUDGET, request.reserve)
            made = self._obtain(zone, board, request, now)
            self._holding.remove_waiter(board, BUDGET, ticket)
        if made is None:
            return False
        self._running[request.number] = made
        return True

    def reaches_enough(self, zone: int, request: budgetruns.Request) -> bool:
        """Tell whether a refused request's units were within reach."""
        found = sum(
            max(0, board.get_account(BUDGET).count_available())
            for other, board in self._boards.items()
            if self._network.reaches(zone, other)
        )
        if self._network.reaches_store(zone):
            found += shards.count_free(self.shard["budgets"][BUDGET])
        return found >= request.reserve

    def finish(
        self, zone: int, request: budgetruns.Request, now: float
    ) -> None:
        """Settle at the entry, and at the sidecar for recovery."""
        made = self._running.pop(request.number)
        bill: types.Bill = {
            "request": str(request.number),
            "key": "",
            "workspace": "workspace",
            "budget": BUDGET,
            "session": made.session,
            "sequence": made.sequence,
            "kind": "summary",
            "reviewer": "",
            "units": request.used,
            "at": now,
        }
        self._records[made.session][made.sequence] = bill
        board = self._boards[zone]
        if board.session == made.session and zone not in self._network.dead:
            self._holding.settle(board, made, bill)

    def tick(self, now: float) -> None:
        """Settle with the ledger and recover what the dead left."""
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
        """Lose a zone's entry; its runs go on at their sidecars."""
        self._gone.append((now, self._boards[zone].session))

    def _obtain(
        self,
        zone: int,
        board: account.HolderBoard,
        request: budgetruns.Request,
        now: float,
    ) -> types.Reservation | None:
        reachable = self._network.reaches_store(zone)
        held = board.get_account(BUDGET)
        if reachable:
            self._ask(board, now)
        made = self._reserve(board, request, now)
        if made is not None or (reachable and held.left < request.reserve):
            return made
        self._gather(zone, board, request)
        made = self._reserve(board, request, now)
        if made is not None and reachable:
            self._ask(board, now)
        if made is None and reachable:
            held.partial = True
            self._ask(board, now)
            held.partial = False
            made = self._reserve(board, request, now)
        return made

    def _ask(self, board: account.HolderBoard, now: float) -> None:
        batch = self._exchange.collect_urgent(board, 1, 0, now)
        if batch is not None:
            results = self._commit(ledger.list_ops(batch), now)
            self._exchange.apply_reply(board, batch, {"results": results})

    def _gather(
        self,
        zone: int,
        board: account.HolderBoard,
        request: budgetruns.Request,
    ) -> None:
        held = board.get_account(BUDGET)
        for other, peer in self._boards.items():
            short = request.reserve - held.count_available()
            if short <= 0:
                return
            if other == zone or not self._network.reaches(zone, other):
                continue
            reply = self._peers.deduct_transfer(
                peer,
                {
                    "ask": uuid.uuid4().hex,
                    "budget": BUDGET,
                    "session": board.session,
                    "needed": short,
                    "wanted": 2 * short,
                },
            )
            for transfer in reply["transfers"]:
                self._peers.add_transfer(board, transfer)

    def _recover(self, now: float) -> list[messages.LedgerOp]:
        ops: list[messages.LedgerOp] = []
        for since, session in list(self._gone):
            if now - since < RECOVERY_S or not self._network.store_up:
                continue
            running = [
                made.amount
                for made in self._running.values()
                if made.session == session
            ]
            ops.append({"op": "close", "session": session})
            ops.append(self._make_recovery(session, sum(running)))
            if not running:
                self._gone.remove((since, session))
        return ops

    def _make_recovery(self, session: str, running: int) -> messages.Recovery:
        found = [
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
            "bills": list(self._records[session].values()),
            "transfers": found,
            "running": running,
            "reason": "",
        }

    def _reserve(
        self,
        board: account.HolderBoard,
        request: budgetruns.Request,
        now: float,
    ) -> types.Reservation | None:
        return self._holding.reserve(
            board, BUDGET, request.reserve, "tokens", now
        )

    def _commit(
        self, ops: list[messages.LedgerOp], now: float
    ) -> list[messages.OpResult]:
        results = ledger.apply_ops(self.shard, ops, now)
        shards.record_commit(self.shard, str(self.writes))
        # Whole segments of bills are moved to keys of their own.
        if len(self.shard["bills"]) >= SEGMENT_BILLS:
            del self.shard["bills"][:SEGMENT_BILLS]
            self.writes += 1
        self.writes += 1
        return results


SEGMENT_BILLS = 1_000

__all__ = ("Design",)
