"""A budget's processes on the pure controllers, one action at a time.

Messages may be delivered in any order, twice or never; a commit is a
read and a swap with anything between them.
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
    def works(self) -> bool:
        return self.alive and not self.paused


@dataclasses.dataclass
class Commit:
    """A coordinator's commit between its read and its swap."""

    ops: list[messages.LedgerOp]
    origin: tuple[str, str, messages.LedgerBatch] | None
    number: int
    document: types.LedgerShard | None = None
    revision: int = 0
    results: list[messages.OpResult] = dataclasses.field(default_factory=list)


class World:
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
        self.served: dict[tuple[str, int], int] = {}
        self.faults = faults
        self.count = 0
        self.forgotten = False
        self.top_up("t0")
        for number in range(sidecars):
            self.start_sidecar(f"sidecar{number}")
        for number in range(entries):
            self.start_entry(f"entry{number}")

    def clone(self) -> World:
        # Copies by pickle take a fraction of the time of deepcopy's.
        made: World = pickle.loads(pickle.dumps(self))
        return made

    def next_count(self) -> int:
        self.count += 1
        return self.count

    def list_actions(self) -> list[Action]:
        """Return what may happen next."""
        made: list[Action] = []
        for name, entry in self.entries.items():
            if entry.works:
                made += self._list_entry(name, entry)
            if entry.paused:
                made.append(("wake", name))
            if not entry.alive or entry.board.stale:
                made.append(("start_entry", name))
        made += [("deliver", place) for place in range(len(self.messages))]
        made += self._list_runs()
        if self.store_up:
            made += self._list_store()
        return made + self._list_faults()

    def _list_runs(self) -> list[Action]:
        return [
            ("end", name, session, key)
            for name, board in self.boards.items()
            for session, held in board.sessions.items()
            for key, record in held.records.items()
            if record["running"]
        ]

    def _list_store(self) -> list[Action]:
        made: list[Action] = []
        for place, commit in enumerate(self.commits):
            stage = "read" if commit.document is None else "swap"
            made += [(stage, place), ("fail", place)]
        made += [
            ("recover", name)
            for name, record in self.records.items()
            if record["state"] == "closing"
        ]
        return made

    def _list_entry(self, name: str, entry: Entry) -> list[Action]:
        made: list[Action] = [
            ("request", name),
            ("settle", name),
            ("resolve", name),
            ("forget", name),
        ]
        for other, peer in self.entries.items():
            if other != name and peer.works:
                made.append(("transfer", other, name))
        if self.store_up:
            made.append(("extend", name))
        return made

    def _list_faults(self) -> list[Action]:
        made: list[Action] = []
        for name, entry in self.entries.items():
            if entry.works:
                made += [("crash", name), ("pause", name)]
        for session in self.records:
            if self.records[session]["state"] == "open":
                made.append(("mark", session))
        for place in range(len(self.messages)):
            made += [("duplicate", place), ("drop", place)]
        for place, commit in enumerate(self.commits):
            if commit.document is not None and self.store_up:
                made.append(("lose_answer", place))
        made += [("restart_sidecar", name) for name in self.sidecars]
        made += [("top_up", "t1"), ("toggle_store",)]
        return [action for action in made if self.faults.get(action[0], 0) > 0]

    def do(self, action: Action) -> None:
        if action[0] in self.faults:
            self.faults[action[0]] -= 1
        getattr(self, action[0])(*action[1:])
        self.check()

    def check(self) -> None:
        """Assert what must hold after every step."""
        budget = self.shard["budgets"][BUDGET]
        for grant in budget["grants"].values():
            assert shards.count_outstanding(grant) >= 0
        assert shards.count_charged(budget) <= budget["paid"]
        # What ran is billed or still charged, whoever knows of it.
        assert sum(self.served.values()) <= shards.count_charged(budget)
        bills = self.shard["bills"]
        names = {(bill["session"], bill["sequence"]) for bill in bills}
        assert len(names) == len(bills)
        billed = sum(bill["units"] for bill in bills)
        assert billed == shards.count_settled(budget)
        for bill in bills:
            ran = self.served.get((bill["session"], bill["sequence"]))
            assert ran == bill["units"]

    # Entries.

    def start_entry(self, name: str) -> None:
        session = f"{name}/{self.next_count()}"
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
            for other, held in self.records.items()
            if held["state"] == "open"
        }
        try:
            sessions.add_sidecars(
                record,
                [
                    {
                        "incarnation": held.incarnation,
                        "host": host,
                        "address": host,
                    }
                    for host, held in self.boards.items()
                ],
                "c",
            )
        except errors.StaleSessionError:
            board.stale = True

    def request(self, name: str) -> None:
        board = self.entries[name].board
        made = HOLDING.reserve(board, BUDGET, AMOUNT, "tokens", NOW)
        if made is None:
            asked = any(
                commit.origin is not None and commit.origin[0] == name
                for commit in self.commits
            )
            if asked:
                return
            ticket = HOLDING.add_waiter(board, BUDGET, AMOUNT)
            batch = EXCHANGE.collect_urgent(board, 1, 0, NOW)
            HOLDING.remove_waiter(board, BUDGET, ticket)
            if batch is not None:
                self._submit(name, batch)
            return
        named = self.records[board.session]["sidecars"]
        incarnation = named[made.sequence % len(named)]["incarnation"]
        order = make_order(made, incarnation)
        self.messages.append(("order", order, made))

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
        ask: messages.TransferRequest = {
            "ask": str(self.next_count()),
            "budget": BUDGET,
            "session": board.session,
            "needed": AMOUNT,
            "wanted": AMOUNT,
        }
        for made in PEERS.give(self.entries[donor].board, ask)["transfers"]:
            self.messages.append(("transfer", receiver, made))

    def resolve(self, name: str) -> None:
        """Ask all sidecars about unknown runs."""
        board = self.entries[name].board
        names = list(board.in_doubt)
        named = {
            item["incarnation"]
            for item in self.records[board.session]["sidecars"]
        }
        answers = [
            held.bar({"session": board.session, "reservations": names})
            for held in self.sidecars.values()
        ]
        told = {answer["incarnation"] for answer in answers}
        records = {
            (record["budget"], record["sequence"]): record
            for answer in answers
            for record in answer["records"]
        }
        for key in names:
            if key in records:
                if not records[key]["running"]:
                    HOLDING.resolve(board, key, records[key]["used"])
            elif named <= told:
                HOLDING.resolve(board, key, None)

    def forget(self, name: str) -> None:
        """Tell the sidecars what the ledger holds."""
        board = self.entries[name].board
        ends, still_open = board.get_account(BUDGET).confirmed_sequences
        for held in self.sidecars.values():
            held.drop_settled({
                "session": board.session,
                "gone": False,
                "settled": {BUDGET: (ends, list(still_open))},
            })

    def crash(self, name: str) -> None:
        self.entries[name].alive = False

    def pause(self, name: str) -> None:
        self.entries[name].paused = True

    def wake(self, name: str) -> None:
        self.entries[name].paused = False

    # Sidecars.

    def start_sidecar(self, name: str) -> None:
        board = accounts.AccountBoard(f"{name}/{self.next_count()}")
        self.boards[name] = board
        self.sidecars[name] = accounts.Accounts(board)

    def restart_sidecar(self, name: str) -> None:
        self.forgotten = True
        self.start_sidecar(name)

    def end(self, name: str, session: str, key: tuple[str, int]) -> None:
        record = self.boards[name].sessions[session].records[key]
        used = record["reserved"] // (1 + key[1] % 2)
        order = make_order(
            types.Reservation(key[0], session, key[1], record["reserved"]),
            self.boards[name].incarnation,
        )
        self.sidecars[name].settle(
            order, {"prompt": 0, "completion": used}, NOW
        )
        self.served[session, key[1]] = used
        self.messages.append(("ended", session, key, used))

    # Messages.

    def deliver(self, place: int) -> None:
        message = self.messages.pop(place)
        getattr(self, f"take_{message[0]}")(*message[1:])

    def duplicate(self, place: int) -> None:
        message = self.messages[place]
        getattr(self, f"take_{message[0]}")(*copy.deepcopy(message[1:]))

    def drop(self, place: int) -> None:
        message = self.messages.pop(place)
        if message[0] == "order":
            self._doubt(message[2].session, (BUDGET, message[2].sequence))
        if message[0] == "ended":
            self._doubt(message[1], message[2])
        if message[0] == "reply":
            self._fail(message[1], message[2], message[3])

    def take_order(self, order: Any, made: types.Reservation) -> None:
        for host, board in self.boards.items():
            if board.incarnation != order["sidecar"]:
                continue
            known = board.sessions.get(made.session)
            if known and (BUDGET, made.sequence) in known.records:
                return
            if (made.session, made.sequence) in self.served:
                # The table of runs answers a repeated order.
                return
            try:
                self.sidecars[host].admit(order, NOW)
            except runs.FencedError:
                break
            return
        board_ = self._find_board(made.session)
        if board_ is not None:
            HOLDING.release(board_, made)

    def take_ended(
        self, session: str, key: tuple[str, int], used: int
    ) -> None:
        board = self._find_board(session)
        if board is not None and key in board.open:
            held = board.open[key]
            HOLDING.settle(board, held, make_bill(held, used))

    def take_transfer(self, name: str, made: types.Transfer) -> None:
        if self.entries[name].alive:
            PEERS.take(self.entries[name].board, made)

    def take_reply(
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

    def top_up(self, ident: str) -> None:
        ledger.apply_op(
            self.shard,
            {"op": "top_up", "id": ident, "budget": BUDGET, "amount": PAID},
            NOW,
        )
        self.revision += 1

    def toggle_store(self) -> None:
        self.store_up = not self.store_up

    def read(self, place: int) -> None:
        commit = self.commits[place]
        if str(commit.number) in self.shard["commits"]:
            self._answer(place)
            return
        commit.document = copy.deepcopy(self.shard)
        commit.revision = self.revision
        commit.results = ledger.apply_ops(commit.document, commit.ops, NOW)
        shards.record_commit(commit.document, str(commit.number))

    def swap(self, place: int) -> None:
        if self._swap(place):
            self._answer(place)

    def lose_answer(self, place: int) -> None:
        self._swap(place)

    def fail(self, place: int) -> None:
        commit = self.commits.pop(place)
        if commit.origin is not None:
            self._fail(*commit.origin)

    def _swap(self, place: int) -> bool:
        commit = self.commits[place]
        document, commit.document = commit.document, None
        if commit.revision != self.revision or document is None:
            return False
        self.shard = document
        self.revision += 1
        return True

    def _answer(self, place: int) -> None:
        commit = self.commits.pop(place)
        if commit.origin is not None:
            reply: messages.LedgerReply = {"results": commit.results}
            self.messages.append(("reply", *commit.origin, reply))

    def _submit(self, name: str, batch: messages.LedgerBatch) -> None:
        session = self.entries[name].board.session
        ops = copy.deepcopy(ledger.list_ops(batch))
        self.commits.append(
            Commit(ops, (name, session, batch), self.next_count())
        )

    def _fail(
        self, name: str, session: str, batch: messages.LedgerBatch
    ) -> None:
        board = self._find_board(session)
        if board is not None:
            EXCHANGE.fail_batch(board, batch)

    # Recovery.

    def mark(self, session: str) -> None:
        if session in self.records:
            sessions.advance_session(self.records[session], "closing", "c")

    def recover(self, session: str) -> None:
        """Go one step further with a closing session."""
        budget = self.shard["budgets"][BUDGET]
        if session not in self.shard["closed"]:
            self._add_commit([{"op": "close", "session": session}])
            return
        closing = [
            recovery.ClosingSession(record)
            for record in self.records.values()
            if record["state"] == "closing"
        ]
        unclear: set[str] = set()
        for inquest in closing:
            unclear |= self._ask(inquest)
        unclear |= recovery.find_untraceable(closing, self.shard["budgets"])
        for inquest in closing:
            if inquest.record["session"] != session:
                continue
            if not recovery.needs_recovery(inquest, budget, BUDGET):
                continue
            rest = ", ".join(sorted(unclear - {session}))
            self._add_commit([recovery.plan_recovery(inquest, BUDGET, rest)])

    def _ask(self, inquest: recovery.ClosingSession) -> set[str]:
        session = inquest.record["session"]
        for held in self.sidecars.values():
            answer = copy.deepcopy(held.close_session(session))
            inquest.answers[answer["incarnation"]] = answer
        silent: set[str] = set()
        for name, record in self.records.items():
            if name == session or record["state"] != "open":
                continue
            board = self._find_board(name)
            if board is None or self._is_paused(name):
                silent.add(name)
                continue
            found = PEERS.report_transfers(board, session)
            inquest.transfers.extend(copy.deepcopy(found["transfers"]))
        return silent

    def _add_commit(self, ops: list[messages.LedgerOp]) -> None:
        self.commits.append(Commit(ops, None, self.next_count()))

    def _doubt(self, session: str, key: tuple[str, int]) -> None:
        board = self._find_board(session)
        if board is not None and key in board.open:
            held = board.open[key]
            HOLDING.mark_in_doubt(
                board, held, make_bill(held, held.amount), NOW
            )

    def _find_board(self, session: str) -> account.HolderBoard | None:
        """Return a session's board; one that is paused reads on waking."""
        for entry in self.entries.values():
            if entry.board.session == session and entry.alive:
                return entry.board
        return None

    def _is_paused(self, session: str) -> bool:
        return any(
            entry.paused and entry.board.session == session
            for entry in self.entries.values()
        )


def make_bill(held: types.Reservation, units: int) -> types.Bill:
    return {
        "request": f"{held.session}-{held.sequence}",
        "key": "",
        "workspace": "w",
        "budget": held.budget,
        "session": held.session,
        "sequence": held.sequence,
        "kind": "k",
        "reviewer": "",
        "units": units,
        "at": NOW,
    }


def make_order(made: types.Reservation, incarnation: str) -> Any:
    return {
        "request": "r",
        "key": "w/r",
        "fingerprint": "f",
        "sidecar": incarnation,
        "workspace": "w",
        "kind": "k",
        "reviewer": "",
        "charges": [{**made._asdict()}],
    }
