"""Simulation of the processes that share a budget, one action at a time.

The processes run the real controllers. Messages may be delivered in any
order, twice or never. A commit is a read and a swap, and any other action may
happen between the two.
"""

from __future__ import annotations

import copy
import dataclasses
import pickle
from typing import Any

from cyclamenwing.budget import account
from cyclamenwing.budget import errors
from cyclamenwing.budget import exchange
from cyclamenwing.budget import holder
from cyclamenwing.budget import ledger
from cyclamenwing.budget import messages
from cyclamenwing.budget import peers
from cyclamenwing.budget import recovery
from cyclamenwing.budget import session as sessions
from cyclamenwing.budget import shard as shards
from cyclamenwing.budget import sizing
from cyclamenwing.budget import types
from cyclamenwing.request import runs
from cyclamenwing.sidecar import accounts

Action = tuple[Any, ...]
BUDGET = "b"
PAID = 100
AMOUNT = 8
NOW = 1_000.0

HOLDING = holder.HolderController()
EXCHANGE = exchange.ExchangeController(sizing.Sizing(0.0, 0.5))
PEERS = peers.PeerController()


@dataclasses.dataclass
class Entry:
    board: account.HolderBoard
    alive: bool = True
    paused: bool = False

    @property
    def is_running(self) -> bool:
        return self.alive and not self.paused


@dataclasses.dataclass
class Commit:
    """Hold a coordinator's commit that has not been answered."""

    ops: list[messages.LedgerOp]
    origin: tuple[str, str, messages.LedgerBatch] | None
    number: int
    document: types.LedgerShard | None = None
    revision: int = 0
    results: list[messages.OpResult] = dataclasses.field(default_factory=list)


class Simulation:
    def __init__(self, entries: int, sidecars: int, faults: dict[str, int]):
        self.shard = shards.make_shard()
        self.revision = 0
        self.store_up = True
        self.records: dict[str, sessions.SessionRecord] = {}
        self.entries: dict[str, Entry] = {}
        self.sidecars: dict[str, accounts.Accounts] = {}
        self.boards: dict[str, accounts.AccountBoard] = {}
        self.messages: list[tuple[Any, ...]] = []
        self.commits: list[Commit] = []
        self.used_units: dict[tuple[str, int], int] = {}
        self.faults = faults
        self.last_id = 0
        self.sidecar_records_lost = False
        self.top_up("t0")
        for number in range(sidecars):
            self.start_sidecar(f"sidecar{number}")
        for number in range(entries):
            self.start_entry(f"entry{number}")

    def clone(self) -> Simulation:
        # Pickle copies the state much faster than deepcopy.
        copied: Simulation = pickle.loads(pickle.dumps(self))
        return copied

    def next_id(self) -> int:
        self.last_id += 1
        return self.last_id

    def list_actions(self) -> list[Action]:
        """Return the actions that are possible next."""
        actions: list[Action] = []
        for name, entry in self.entries.items():
            if entry.is_running:
                actions += self._list_entry_actions(name, entry)
            if entry.paused:
                actions.append(("resume", name))
            if not entry.alive or entry.board.stale:
                actions.append(("start_entry", name))
        actions += [("deliver", index) for index in range(len(self.messages))]
        actions += self._list_run_actions()
        if self.store_up:
            actions += self._list_store_actions()
        return actions + self._list_fault_actions()

    def _list_run_actions(self) -> list[Action]:
        return [
            ("complete_run", name, session, key)
            for name, board in self.boards.items()
            for session, account_ in board.sessions.items()
            for key, record in account_.records.items()
            if record["running"]
        ]

    def _list_store_actions(self) -> list[Action]:
        actions: list[Action] = []
        for index, commit in enumerate(self.commits):
            stage = "read" if commit.document is None else "swap"
            actions += [(stage, index), ("fail", index)]
        actions += [
            ("recover", name)
            for name, record in self.records.items()
            if record["state"] == "closing"
        ]
        return actions

    def _list_entry_actions(self, name: str, entry: Entry) -> list[Action]:
        actions: list[Action] = [
            ("request", name),
            ("settle", name),
            ("resolve", name),
            ("report_settled", name),
        ]
        for other, peer in self.entries.items():
            if other != name and peer.is_running:
                actions.append(("transfer", other, name))
        if self.store_up:
            actions.append(("extend", name))
        return actions

    def _list_fault_actions(self) -> list[Action]:
        actions: list[Action] = []
        for name, entry in self.entries.items():
            if entry.is_running:
                actions += [("crash", name), ("pause", name)]
        for session in self.records:
            if self.records[session]["state"] == "open":
                actions.append(("mark_closing", session))
        for index in range(len(self.messages)):
            actions += [("duplicate", index), ("drop", index)]
        for index, commit in enumerate(self.commits):
            if commit.document is not None and self.store_up:
                actions.append(("lose_answer", index))
        actions += [("restart_sidecar", name) for name in self.sidecars]
        actions += [("top_up", "t1"), ("toggle_store",)]
        return [
            action for action in actions if self.faults.get(action[0], 0) > 0
        ]

    def perform(self, action: Action) -> None:
        if action[0] in self.faults:
            self.faults[action[0]] -= 1
        getattr(self, action[0])(*action[1:])
        self.check()

    def check(self) -> None:
        """Assert the invariants that hold after every action."""
        budget = self.shard["budgets"][BUDGET]
        for grant in budget["grants"].values():
            assert shards.count_outstanding(grant) >= 0
        assert shards.count_charged(budget) <= budget["paid"]
        # Units used by runs are billed, granted or in doubt, also while no
        # process has a record of the run.
        assert sum(self.used_units.values()) <= shards.count_charged(budget)
        bills = self.shard["bills"]
        names = {(bill["session"], bill["sequence"]) for bill in bills}
        assert len(names) == len(bills)
        billed = sum(bill["units"] for bill in bills)
        assert billed == shards.count_settled(budget)
        for bill in bills:
            ran = self.used_units.get((bill["session"], bill["sequence"]))
            assert ran == bill["units"]

    # Entries.

    def start_entry(self, name: str) -> None:
        session = f"{name}/{self.next_id()}"
        self.entries[name] = Entry(account.HolderBoard(session))
        self.records[session] = sessions.SessionCodec(session, name).decode(
            None
        )
        self.extend(name)

    def extend(self, name: str) -> None:
        board = self.entries[name].board
        record = self.records[board.session]
        board.eligible_donors |= {
            other
            for other, other_record in self.records.items()
            if other_record["state"] == "open"
        }
        try:
            sessions.add_sidecars(
                record,
                [
                    {
                        "incarnation": sidecar_board.incarnation,
                        "host": host,
                        "address": host,
                    }
                    for host, sidecar_board in self.boards.items()
                ],
                "c",
            )
        except errors.StaleSessionError:
            board.stale = True

    def request(self, name: str) -> None:
        board = self.entries[name].board
        reservation = HOLDING.reserve(board, BUDGET, AMOUNT, "tokens", NOW)
        if reservation is None:
            commit_pending = any(
                commit.origin is not None and commit.origin[0] == name
                for commit in self.commits
            )
            if commit_pending:
                return
            ticket = HOLDING.add_waiter(board, BUDGET, AMOUNT)
            batch = EXCHANGE.collect_urgent(board, 1, 0, NOW)
            HOLDING.remove_waiter(board, BUDGET, ticket)
            if batch is not None:
                self._submit(name, batch)
            return
        serving = self.records[board.session]["sidecars"]
        incarnation = serving[reservation.sequence % len(serving)][
            "incarnation"
        ]
        order = make_order(reservation, incarnation)
        self.messages.append(("order", order, reservation))

    def settle(self, name: str) -> None:
        board = self.entries[name].board
        account_ = board.get_account(BUDGET)
        if account_.count_available() > 0 and not account_.incoming:
            account_.returned += account_.count_available() // 2
            account_.dirty = True
        for batch in EXCHANGE.collect_batches(board, 1, NOW):
            self._submit(name, batch)

    def transfer(self, donor: str, receiver: str) -> None:
        board = self.entries[receiver].board
        request: messages.TransferRequest = {
            "ask": str(self.next_id()),
            "budget": BUDGET,
            "session": board.session,
            "needed": AMOUNT,
            "wanted": AMOUNT,
        }
        for transfer in PEERS.deduct_transfer(
            self.entries[donor].board, request
        )["transfers"]:
            self.messages.append(("transfer", receiver, transfer))

    def resolve(self, name: str) -> None:
        """Resolve reservations in doubt from the reports of all sidecars."""
        board = self.entries[name].board
        names = list(board.in_doubt)
        serving = {
            item["incarnation"]
            for item in self.records[board.session]["sidecars"]
        }
        sidecar_reports = [
            sidecar.fence_reservations({
                "session": board.session,
                "reservations": names,
            })
            for sidecar in self.sidecars.values()
        ]
        reporting = {report["incarnation"] for report in sidecar_reports}
        records = {
            (record["budget"], record["sequence"]): record
            for report in sidecar_reports
            for record in report["records"]
        }
        for key in names:
            if key in records:
                if not records[key]["running"]:
                    HOLDING.resolve(board, key, records[key]["used"])
            elif serving <= reporting:
                HOLDING.resolve(board, key, None)

    def report_settled(self, name: str) -> None:
        """Tell the sidecars which runs the ledger has settled."""
        board = self.entries[name].board
        ends, still_open = board.get_account(BUDGET).confirmed_sequences
        for sidecar in self.sidecars.values():
            sidecar.drop_settled({
                "session": board.session,
                "gone": False,
                "settled": {BUDGET: (ends, list(still_open))},
            })

    def crash(self, name: str) -> None:
        self.entries[name].alive = False

    def pause(self, name: str) -> None:
        self.entries[name].paused = True

    def resume(self, name: str) -> None:
        self.entries[name].paused = False

    # Sidecars.

    def start_sidecar(self, name: str) -> None:
        board = accounts.AccountBoard(f"{name}/{self.next_id()}")
        self.boards[name] = board
        self.sidecars[name] = accounts.Accounts(board)

    def restart_sidecar(self, name: str) -> None:
        self.sidecar_records_lost = True
        self.start_sidecar(name)

    def complete_run(
        self, name: str, session: str, key: tuple[str, int]
    ) -> None:
        record = self.boards[name].sessions[session].records[key]
        used = record["reserved"] // (1 + key[1] % 2)
        order = make_order(
            types.Reservation(key[0], session, key[1], record["reserved"]),
            self.boards[name].incarnation,
        )
        self.sidecars[name].settle(
            order, {"prompt": 0, "completion": used}, NOW
        )
        self.used_units[session, key[1]] = used
        self.messages.append(("ended", session, key, used))

    # Messages.

    def deliver(self, index: int) -> None:
        message = self.messages.pop(index)
        getattr(self, f"receive_{message[0]}")(*message[1:])

    def duplicate(self, index: int) -> None:
        message = self.messages[index]
        getattr(self, f"receive_{message[0]}")(*copy.deepcopy(message[1:]))

    def drop(self, index: int) -> None:
        message = self.messages.pop(index)
        if message[0] == "order":
            self._mark_in_doubt(
                message[2].session, (BUDGET, message[2].sequence)
            )
        if message[0] == "ended":
            self._mark_in_doubt(message[1], message[2])
        if message[0] == "reply":
            self._fail(message[1], message[2], message[3])

    def receive_order(
        self, order: Any, reservation: types.Reservation
    ) -> None:
        for host, board in self.boards.items():
            if board.incarnation != order["sidecar"]:
                continue
            account_ = board.sessions.get(reservation.session)
            if account_ and (BUDGET, reservation.sequence) in account_.records:
                return
            if (reservation.session, reservation.sequence) in self.used_units:
                # The run table answers a repeated order.
                return
            try:
                self.sidecars[host].admit(order, NOW)
            except runs.FencedError:
                break
            return
        board_ = self._find_board(reservation.session)
        if board_ is not None:
            HOLDING.release(board_, reservation)

    def receive_ended(
        self, session: str, key: tuple[str, int], used: int
    ) -> None:
        board = self._find_board(session)
        if board is not None and key in board.open:
            reservation = board.open[key]
            HOLDING.settle(board, reservation, make_bill(reservation, used))

    def receive_transfer(self, name: str, transfer: types.Transfer) -> None:
        if self.entries[name].alive:
            PEERS.add_transfer(self.entries[name].board, transfer)

    def receive_reply(
        self,
        name: str,
        session: str,
        batch: messages.LedgerBatch,
        reply: messages.LedgerReply,
    ) -> None:
        board = self._find_board(session)
        if board is not None:
            EXCHANGE.apply_reply(board, batch, reply)

    # The store.

    def top_up(self, top_up_id: str) -> None:
        ledger.apply_op(
            self.shard,
            {
                "op": "top_up",
                "id": top_up_id,
                "budget": BUDGET,
                "amount": PAID,
            },
            NOW,
        )
        self.revision += 1

    def toggle_store(self) -> None:
        self.store_up = not self.store_up

    def read(self, index: int) -> None:
        commit = self.commits[index]
        if str(commit.number) in self.shard["commits"]:
            self._answer(index)
            return
        commit.document = copy.deepcopy(self.shard)
        commit.revision = self.revision
        commit.results = ledger.apply_ops(commit.document, commit.ops, NOW)
        shards.record_commit(commit.document, str(commit.number))

    def swap(self, index: int) -> None:
        if self._swap(index):
            self._answer(index)

    def lose_answer(self, index: int) -> None:
        self._swap(index)

    def fail(self, index: int) -> None:
        commit = self.commits.pop(index)
        if commit.origin is not None:
            self._fail(*commit.origin)

    def _swap(self, index: int) -> bool:
        commit = self.commits[index]
        document, commit.document = commit.document, None
        if commit.revision != self.revision or document is None:
            return False
        self.shard = document
        self.revision += 1
        return True

    def _answer(self, index: int) -> None:
        commit = self.commits.pop(index)
        if commit.origin is not None:
            reply: messages.LedgerReply = {"results": commit.results}
            self.messages.append(("reply", *commit.origin, reply))

    def _submit(self, name: str, batch: messages.LedgerBatch) -> None:
        session = self.entries[name].board.session
        ops = copy.deepcopy(ledger.list_ops(batch))
        self.commits.append(
            Commit(ops, (name, session, batch), self.next_id())
        )

    def _fail(
        self, name: str, session: str, batch: messages.LedgerBatch
    ) -> None:
        board = self._find_board(session)
        if board is not None:
            EXCHANGE.fail_batch(board, batch)

    # Recovery.

    def mark_closing(self, session: str) -> None:
        if session in self.records:
            sessions.advance_session(self.records[session], "closing", "c")

    def recover(self, session: str) -> None:
        """Run the next step of the recovery of a closing session."""
        budget = self.shard["budgets"][BUDGET]
        if session not in self.shard["closed"]:
            self._add_commit([{"op": "close", "session": session}])
            return
        closing_sessions = [
            recovery.ClosingSession(record)
            for record in self.records.values()
            if record["state"] == "closing"
        ]
        untraceable: set[str] = set()
        for closing in closing_sessions:
            untraceable |= self._collect_reports(closing)
        untraceable |= recovery.find_untraceable(
            closing_sessions, self.shard["budgets"]
        )
        for closing in closing_sessions:
            if closing.record["session"] != session:
                continue
            if not recovery.needs_recovery(closing, budget, BUDGET):
                continue
            uncertain = ", ".join(sorted(untraceable - {session}))
            self._add_commit([
                recovery.plan_recovery(closing, BUDGET, uncertain)
            ])

    def _collect_reports(self, closing: recovery.ClosingSession) -> set[str]:
        session = closing.record["session"]
        for sidecar in self.sidecars.values():
            sidecar_report = copy.deepcopy(sidecar.close_session(session))
            closing.sidecar_reports[sidecar_report["incarnation"]] = (
                sidecar_report
            )
        unreachable: set[str] = set()
        for name, record in self.records.items():
            if name == session or record["state"] != "open":
                continue
            board = self._find_board(name)
            if board is None or self._is_paused(name):
                unreachable.add(name)
                continue
            report = PEERS.report_transfers(board, session)
            closing.transfers.extend(copy.deepcopy(report["transfers"]))
        return unreachable

    def _add_commit(self, ops: list[messages.LedgerOp]) -> None:
        self.commits.append(Commit(ops, None, self.next_id()))

    def _mark_in_doubt(self, session: str, key: tuple[str, int]) -> None:
        board = self._find_board(session)
        if board is not None and key in board.open:
            reservation = board.open[key]
            HOLDING.mark_in_doubt(
                board,
                reservation,
                make_bill(reservation, reservation.amount),
                NOW,
            )

    def _find_board(self, session: str) -> account.HolderBoard | None:
        """Return the board of a session whose process has not crashed.

        A paused process receives its messages too: in reality it reads them
        when it resumes, and the order of messages is arbitrary.
        """
        for entry in self.entries.values():
            if entry.board.session == session and entry.alive:
                return entry.board
        return None

    def _is_paused(self, session: str) -> bool:
        return any(
            entry.paused and entry.board.session == session
            for entry in self.entries.values()
        )


def make_bill(reservation: types.Reservation, units: int) -> types.Bill:
    return {
        "request": f"{reservation.session}-{reservation.sequence}",
        "key": "",
        "workspace": "w",
        "budget": reservation.budget,
        "session": reservation.session,
        "sequence": reservation.sequence,
        "kind": "k",
        "reviewer": "",
        "units": units,
        "at": NOW,
    }


def make_order(reservation: types.Reservation, incarnation: str) -> Any:
    return {
        "request": "r",
        "key": "w/r",
        "fingerprint": "f",
        "sidecar": incarnation,
        "workspace": "w",
        "kind": "k",
        "reviewer": "",
        "charges": [{**reservation._asdict()}],
    }
