"""Escrow: no interleaving of losses overspends, and little is left over."""

from __future__ import annotations

import random

import pytest

from cyclamenwing.budget import escrow

PREPAID = 100_000
WORKSPACE = "team"
ACTIONS = (
    "spend",
    "spend",
    "spend",
    "draw",
    "draw",
    "renew",
    "lose",
    "move",
    "late",
    "return",
    "kill",
    "notice",
)


class Ledger:
    """Keep pools and records as the platform's store does."""

    def __init__(self) -> None:
        self.revision = 10
        self.pool: dict[str, int] = {}
        self.pool_revision = 0
        self.record_revision: dict[str, int] = {}
        self.records: dict[str, tuple[str, escrow.UsageBound, float]] = {}

    def apply(self, commit: Commit) -> bool:
        """Apply a commit if what it expects still holds."""
        host = commit.host
        if self.record_revision.get(host, 0) != commit.record_revision:
            return False
        if commit.pool is not None:
            if self.pool_revision != commit.pool_revision:
                return False
            self.pool = dict(commit.pool)
        self.revision += 1
        if commit.pool is not None:
            self.pool_revision = self.revision
        self.record_revision[host] = self.revision
        self.records[host] = (commit.holder, commit.promise, commit.at_s)
        return True


class Commit:
    """Hold one transaction on its way to the store."""

    def __init__(self, entry: Entry, change: int, now_s: float) -> None:
        ledger = entry.ledger
        self.host = entry.host
        self.holder = ledger.holder
        self.change = change
        self.at_s = now_s
        self.pool_revision = ledger.open_pool(WORKSPACE).revision
        self.record_revision = entry.record_revision
        changes = {WORKSPACE: change} if change else {}
        self.changes = changes
        self.written, self.promises = ledger.begin(changes, now_s)
        self.pool = self.written.get(WORKSPACE)
        self.promise = self.promises[WORKSPACE]


class Entry:
    """Drive one incarnation of an entry."""

    def __init__(self, host: str, number: int, store: Ledger) -> None:
        self.host = host
        self.ledger = escrow.Escrow(f"{host}-{number}")
        self.ledger.open_account(WORKSPACE)
        self.ledger.update_pool(WORKSPACE, store.pool_revision, store.pool)
        self.record_revision = store.record_revision.get(host, 0)

    @property
    def account(self) -> escrow.WorkspaceAccount:
        """Return the only account."""
        return self.ledger.open_account(WORKSPACE)


class Fleet:
    """Let entries spend while commits, answers and processes get lost."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = Ledger()
        self.now_s = 100.0
        self.consumed = 0
        self.number = 0
        self.late: list[Commit] = []
        self.entries = [self.start(f"h{i}") for i in range(3)]

    def start(self, host: str) -> Entry:
        """Start a process; it frees what the one before can't have used."""
        self.number += 1
        before = self.store.records.get(host)
        entry = Entry(host, self.number, self.store)
        if self.rng.random() < 0.25:
            # The store is away: the process has no record yet.
            return entry
        self.commit(entry, 0, lost=False)
        if before is not None:
            holder, promise, _ = before
            drawn = self.store.pool.get(holder)
            if drawn is not None:
                self.store.pool = escrow.release_holder(
                    self.store.pool,
                    holder,
                    promise.compute_limit(self.now_s, True),
                )
                self.store.revision += 1
                self.store.pool_revision = self.store.revision
        return entry

    def commit(self, entry: Entry, change: int, lost: bool) -> None:
        """Send a commit that takes effect, conflicts or gets lost."""
        made = Commit(entry, change, self.now_s)
        if lost:
            if self.rng.random() < 0.5:
                self.late.append(made)
            else:
                self.store.apply(made)
            return
        if self.store.apply(made):
            entry.record_revision = self.store.record_revision[entry.host]
            entry.ledger.finish(
                self.store.revision, made.written, made.promises
            )
            return
        entry.ledger.cancel(made.changes, made.promises)
        entry.ledger.update_pool(
            WORKSPACE, self.store.pool_revision, self.store.pool
        )
        held = self.store.records.get(entry.host)
        if held is not None and held[0] == entry.ledger.holder:
            entry.record_revision = self.store.record_revision[entry.host]

    def step(self) -> None:
        """Take one random step."""
        entry = self.rng.choice(self.entries)
        self.now_s += self.rng.random() * 0.7
        action = self.rng.choice(ACTIONS)
        getattr(self, f"do_{action}")(entry)
        assert self.consumed <= PREPAID
        assert sum(self.store.pool.values()) <= PREPAID

    def do_spend(self, entry: Entry) -> None:
        tokens = self.rng.randrange(1, 9000)
        reserved = entry.account.reserve(tokens, self.now_s)
        if not reserved and self.rng.random() < 0.5:
            # The request waits for a promise that covers it.
            entry.account.wanted += tokens
            self.commit(entry, 0, lost=self.rng.random() < 0.3)
            reserved = entry.account.reserve(tokens, self.now_s)
            entry.account.wanted -= tokens
        if reserved:
            spent = self.rng.randrange(tokens // 2, tokens + 1)
            entry.account.settle(tokens, spent)
            self.consumed += spent

    def do_draw(self, entry: Entry) -> None:
        free = entry.ledger.count_free(WORKSPACE, PREPAID)
        change = min(max(free, 0), self.rng.randrange(1, 30_000))
        self.commit(entry, change, lost=False)

    def do_renew(self, entry: Entry) -> None:
        self.commit(entry, 0, lost=False)

    def do_lose(self, entry: Entry) -> None:
        free = entry.ledger.count_free(WORKSPACE, PREPAID)
        change = min(max(free, 0), self.rng.randrange(0, 20_000))
        self.commit(entry, change, lost=True)

    def do_return(self, entry: Entry) -> None:
        if entry.account.held > 0:
            self.commit(
                entry, -entry.account.held, lost=self.rng.random() < 0.3
            )

    def do_late(self, _: Entry) -> None:
        if self.late:
            self.store.apply(self.late.pop(self.rng.randrange(len(self.late))))

    def do_move(self, entry: Entry) -> None:
        other = self.rng.choice(self.entries)
        if other is not entry:
            tokens = entry.account.give(
                self.rng.randrange(1, 9000), self.now_s
            )
            if self.rng.random() < 0.8:
                other.account.receive(tokens)

    def do_notice(self, entry: Entry) -> None:
        entry.ledger.record_peer_notice()

    def do_kill(self, entry: Entry) -> None:
        if self.rng.random() < 0.4:
            place = self.entries.index(entry)
            self.now_s += self.rng.random() * 4
            self.entries[place] = self.start(entry.host)


@pytest.mark.parametrize("seed", range(150))
def test_nothing_is_overspent_whatever_gets_lost(seed: int) -> None:
    fleet = Fleet(seed)
    for _ in range(400):
        fleet.step()
    assert fleet.consumed > 0


def open_account(drawn: int, now_s: float = 0.0) -> escrow.WorkspaceAccount:
    account = escrow.WorkspaceAccount(drawn=drawn)
    account.promises = [account.plan_promise(0, now_s)]
    return account


def test_promise_holds_back_until_a_peer_has_noticed() -> None:
    account = open_account(50_000)
    assert account.count_available(60.0) < 50_000
    account.late = True
    assert account.count_available(60.0) == 50_000


def test_commit_in_doubt_counts_both_ways() -> None:
    ledger = escrow.Escrow("a")
    ledger.open_account(WORKSPACE)
    written, promises = ledger.begin({WORKSPACE: 10_000}, 0.0)
    ledger.finish(1, written, promises)
    account = ledger.open_account(WORKSPACE)
    account.late = True
    ledger.begin({WORKSPACE: -4000}, 1.0)
    assert account.held == 6000
    ledger.update_pool(WORKSPACE, 2, {"a": 10_000})
    assert account.held == 10_000


def test_newer_revision_voids_a_draw_on_its_way() -> None:
    ledger = escrow.Escrow("a")
    ledger.begin({WORKSPACE: 5000}, 0.0)
    assert ledger.open_account(WORKSPACE).held == 0
    ledger.update_pool(WORKSPACE, 4, {"b": 1})
    assert ledger.open_account(WORKSPACE).held == 0


def test_older_view_is_ignored() -> None:
    ledger = escrow.Escrow("a")
    ledger.update_pool(WORKSPACE, 5, {"a": 100})
    ledger.update_pool(WORKSPACE, 4, {"a": 900})
    assert ledger.open_account(WORKSPACE).drawn == 100


@pytest.mark.parametrize(
    ("bound", "closed"), [(-50, -50), (0, 0), (300, 300), (5000, 1000)]
)
def test_closed_holder_leaves_what_it_may_have_used(
    bound: int, closed: int
) -> None:
    holders = escrow.release_holder({"dead": 1000, "b": 7}, "dead", bound)
    assert holders == {"b": 7, escrow.CLOSED: closed}


def test_tokens_that_a_dead_holder_had_received_are_free_again() -> None:
    ledger = escrow.Escrow("dead")
    written, promises = ledger.begin({WORKSPACE: 1000}, 0.0)
    ledger.finish(1, written, promises)
    account = ledger.open_account(WORKSPACE)
    account.receive(600)
    bound = account.plan_promise(0, 0.0).compute_limit(0.0, late=False)
    holders = {"dead": 1000, "donor": 2000}
    left = escrow.release_holder(holders, "dead", bound)
    # The donor counts the 600 as used; all but the promise's start is free.
    assert sum(left.values()) < 2000 - 500


def test_small_draws_wait_unless_a_request_needs_them() -> None:
    account = open_account(0)
    account.rate = 200.0
    assert account.plan_change(3000, 4, 0.0) == 0
    account.wanted = 2000
    assert account.plan_change(3000, 4, 0.0) >= 2000


def test_received_tokens_need_no_promise() -> None:
    # A process that began while the store is away has no record; nothing
    # of it can be freed, so what its peers hand over is safe to use.
    account = escrow.WorkspaceAccount()
    account.receive(600)
    assert account.give(100, 0.0) == 100
    assert account.reserve(500, 0.0)
    assert not account.reserve(1, 0.0)


def test_surplus_returns_to_the_pool() -> None:
    account = open_account(50_000)
    kept = int(50_000 * escrow.IDLE_PART)
    assert account.plan_change(0, 4, 100.0) == kept - 50_000


def test_gifts_never_exceed_what_may_be_used() -> None:
    account = open_account(50_000)
    allowed = account.count_available(0.0)
    assert account.give(90_000, 0.0) == allowed
    assert account.count_available(0.0) == 0


def test_promise_rests_while_a_killed_process_may_be_replaced() -> None:
    account = open_account(50_000)
    account.rate = 5000.0
    promise = account.plan_promise(0, 0.0)
    rested = promise.compute_limit(escrow.REST_S, late=True)
    assert rested == promise.ceiling
    grown = (
        promise.compute_limit(escrow.OUTAGE_AGE_S, late=True) - promise.ceiling
    )
    age_s = escrow.OUTAGE_AGE_S - escrow.REST_S
    assert grown == pytest.approx(5000.0 * escrow.EARLY_FACTOR * age_s, abs=1)


def test_wait_for_growth_is_predicted() -> None:
    account = open_account(50_000)
    assert account.predict_wait(60_000, 0.0) is None
    wait_s = account.predict_wait(20_000, 0.0)
    assert wait_s is not None
    account.late = True
    assert account.reserve(20_000, wait_s + 0.01)


def test_promise_in_doubt_binds_as_well_as_the_one_before() -> None:
    account = open_account(50_000)
    first = account.promises[0]
    account.promises.append(first._replace(ceiling=first.ceiling + 30_000))
    assert account.count_available(0.0) == first.ceiling
    account.promises.append(first._replace(ceiling=5))
    assert account.count_available(0.0) == 5


@pytest.mark.parametrize("free", [0, 500, 5000, 80_000])
def test_draw_never_exceeds_what_is_free(free: int) -> None:
    account = open_account(0)
    account.rate = 60_000.0
    account.wanted = 90_000
    assert 0 <= account.plan_change(free, 2, 0.0) <= free


def test_renewed_promise_needs_a_new_notice() -> None:
    ledger = escrow.Escrow("a")
    ledger.open_account(WORKSPACE)
    ledger.record_peer_notice()
    written, promises = ledger.begin({WORKSPACE: 10_000}, 0.0)
    ledger.finish(1, written, promises)
    assert not ledger.open_account(WORKSPACE).late
