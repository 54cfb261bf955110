"""Pools of prepaid tokens when the store returns from an older copy.

The copy lacks draws, returns and releases that the store had acknowledged. No
interleaving of them with uses, transfers, lost answers and deaths may use more
than the prepaid tokens. Here a process dies, or is no longer waited for, only
once the others have received what it drew, unless it was the only one.
"""

from __future__ import annotations

import copy
import random
from typing import NamedTuple

import hypothesis
import pytest
from hypothesis import strategies as st

from cyclamenwing.budget import escrow
from cyclamenwing.budget import restoration

PREPAID = 100_000
WORKSPACE = "team"
STEPS = 300
EXAMPLES = 500
WEIGHTS = {
    "spend": 6.0,
    "draw": 4.0,
    "return": 0.7,
    "tick": 5.0,
    "lose_answer": 1.0,
    "deliver_late": 1.0,
    "transfer": 1.5,
    "kill": 0.1,
    "copy": 0.4,
    "restore": 0.15,
    "expire": 0.1,
    "notice": 0.2,
}

# The same walks in each run.
WALKS = hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Record(NamedTuple):
    """Hold what a host's record says."""

    holder: str
    usage_bound: escrow.UsageBound | None
    era: int
    restoring: bool
    revision: int = 0


class Commit(NamedTuple):
    """Hold one transaction."""

    host: str
    era: int
    record_revision: int
    record: Record
    pool_revision: int = 0
    pool: restoration.Restored | None = None
    marks: bool = False


class Store:
    """Apply transactions, and return to a copy."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 10
        self.pool = restoration.PoolState()
        self.records: dict[str, Record] = {}
        self.markers: set[int] = set()

    def apply(self, commit: Commit) -> bool:
        """Apply a transaction if its expected revisions are current."""
        current = self.records.get(commit.host)
        if (
            commit.era + 1 in self.markers
            or (current.revision if current else 0) != commit.record_revision
            or (commit.pool and commit.pool_revision != self.pool.revision)
        ):
            return False
        self.revision += 1
        self.records[commit.host] = commit.record._replace(
            revision=self.revision
        )
        if commit.pool:
            self.pool = restoration.PoolState(
                self.revision, dict(commit.pool.holders), commit.pool.mark
            )
        if commit.marks:
            self.markers |= set(range(1, commit.era + 1))
        return True


class Gateway:
    """Drive one incarnation of a gateway."""

    def __init__(self, host: str, number: int, store: Store) -> None:
        self.host = host
        self.escrow = restoration.EraEscrow(f"{host}-{number}")
        self.account = self.escrow.open_account(WORKSPACE)
        self.expired = False
        self.record_revision = 0
        self.predecessor: Record | None = None
        # Whether all others know what it has drawn.
        self.shared = True
        states = {WORKSPACE: store.pool} if store.pool.revision else {}
        self.escrow.join_era(
            store.era,
            states,
            {WORKSPACE},
            any(
                r.era < store.era or r.restoring
                for r in store.records.values()
            ),
        )
        self.record_era = store.era


class Fleet:
    """Run spending gateways while the store returns to older copies."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = Store()
        self.now_s = 100.0
        self.consumed = 0
        self.number = 0
        self.copies: list[Store] = []
        self.pending: list[Commit] = []
        self.returns = 0
        self.gateways: list[Gateway] = []
        for index in range(self.rng.randrange(1, 4)):
            self.gateways.append(self.start(f"h{index}"))

    def step(self) -> None:
        """Run one random action and check that nothing is overspent."""
        self.now_s += self.rng.random() * 0.7
        gateway = self.rng.choice(self.gateways)
        action = self.rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        getattr(self, f"do_{action}")(gateway)
        assert self.consumed <= PREPAID

    def start(self, host: str) -> Gateway:
        """Start a process, which releases its predecessor's unused tokens."""
        self.number += 1
        gateway = Gateway(host, self.number, self.store)
        previous = self.store.records.get(host)
        gateway.record_revision = previous.revision if previous else 0
        self.commit(gateway, 0)
        if previous and previous.era == self.store.era:
            gateway.predecessor = previous
            self.release(gateway)
        return gateway

    def release(self, gateway: Gateway) -> None:
        previous = gateway.predecessor
        if previous is None or previous.usage_bound is None:
            return
        pool = gateway.escrow.open_pool(WORKSPACE)
        if (
            WORKSPACE in gateway.escrow.unopened
            or previous.holder not in pool.holders
        ):
            return
        holders = escrow.release_holder(
            pool.holders,
            previous.holder,
            previous.usage_bound.compute_limit(self.now_s, True),
        )
        mark = gateway.escrow.find_mark(WORKSPACE)
        commit = self.make_commit(gateway, None)._replace(
            pool_revision=pool.revision,
            pool=restoration.Restored(holders, mark),
        )
        if self.store.apply(commit):
            gateway.predecessor = None
            gateway.record_revision = self.store.revision
            self.read_pool(gateway)

    def make_commit(
        self, gateway: Gateway, usage_bound: escrow.UsageBound | None
    ) -> Commit:
        if usage_bound is None:
            current = self.store.records.get(gateway.host)
            usage_bound = current.usage_bound if current else None
        era = gateway.escrow.era
        return Commit(
            gateway.host,
            era,
            gateway.record_revision,
            Record(
                gateway.escrow.holder,
                usage_bound,
                era,
                bool(gateway.escrow.unrestored),
            ),
        )

    def commit(
        self, gateway: Gateway, change: int, lost: bool = False
    ) -> None:
        """Renew the record, maybe with a change of the pool."""
        own = gateway.escrow
        if gateway.record_era != own.era:
            return
        changes = {WORKSPACE: change} if change else {}
        if changes and WORKSPACE in own.unopened:
            return
        written, bounds = own.begin_commit(changes, self.now_s)
        commit = self.make_commit(gateway, bounds[WORKSPACE])
        if changes:
            commit = commit._replace(
                pool_revision=own.pools[WORKSPACE].revision,
                pool=restoration.Restored(
                    written[WORKSPACE], own.find_mark(WORKSPACE)
                ),
            )
        if lost and self.rng.random() < 0.5:
            self.pending.append(commit)
            return
        applied = self.store.apply(commit)
        if lost or (applied and self.store.era != own.era):
            # The answer is lost, or of a later era: the commit is in doubt.
            return
        if applied:
            gateway.record_revision = self.store.revision
            own.finish_commit(self.store.revision, written, bounds)
            self.share(gateway)
            return
        own.cancel_commit(changes, bounds)
        if self.store.era == own.era:
            self.read_pool(gateway)
            self.read_record(gateway)

    def read_pool(self, gateway: Gateway) -> None:
        state = self.store.pool
        gateway.escrow.update_pool(
            WORKSPACE, state.revision, state.holders, state.mark
        )
        self.share(gateway)

    def read_record(self, gateway: Gateway) -> None:
        record = self.store.records.get(gateway.host)
        if record and record.holder == gateway.escrow.holder:
            gateway.record_revision = record.revision

    def share(self, gateway: Gateway, lost: bool | None = None) -> None:
        """Send the pool to the others of the era."""
        own = gateway.escrow
        if lost is None:
            lost = self.rng.random() < 0.5
        gateway.shared = not lost and all(
            other.escrow.era == own.era for other in self.gateways
        )
        if lost:
            return
        pool = own.open_pool(WORKSPACE)
        for other in self.gateways:
            if other is not gateway and other.escrow.era == own.era:
                other.escrow.update_pool(
                    WORKSPACE,
                    pool.revision,
                    dict(pool.holders),
                    own.find_mark(WORKSPACE),
                )

    def do_tick(self, gateway: Gateway) -> None:
        """Run what is due: restore record and pool, or renew the record."""
        own = gateway.escrow
        if self.store.era != own.era:
            own.begin_era(self.store.era, {WORKSPACE})
            gateway.expired = False
            return
        if gateway.record_era != own.era:
            self.restore_record(gateway)
        elif WORKSPACE in own.unopened:
            self.restore_pool(gateway)
        else:
            self.release(gateway)
            self.commit(gateway, 0)

    def restore_record(self, gateway: Gateway) -> None:
        own = gateway.escrow
        record = self.store.records.get(gateway.host)
        gateway.record_revision = record.revision if record else 0
        _, bounds = own.begin_commit({}, self.now_s)
        commit = self.make_commit(gateway, bounds[WORKSPACE])
        if self.store.apply(commit._replace(marks=True)):
            gateway.record_era = own.era
            gateway.record_revision = self.store.revision
            own.finish_commit(self.store.revision, {}, bounds)
        else:
            own.cancel_commit({}, bounds)

    def restore_pool(self, gateway: Gateway) -> None:
        own = gateway.escrow
        stored = self.store.pool
        self.read_pool(gateway)
        if WORKSPACE not in own.unrestored:
            pass
        elif WORKSPACE not in own.unknown:
            self.write_pool(
                gateway,
                restoration.restore_pool(
                    own.era,
                    (own.holder, own.get_drawn(WORKSPACE)),
                    stored,
                    own.older.get(WORKSPACE, restoration.PoolState()),
                    {
                        g.escrow.holder: g.account.held
                        for g in self.gateways
                        if g is not gateway
                    },
                ),
            )
        elif stored.mark.era == own.era:
            own.finish_restoration(
                WORKSPACE,
                stored.revision,
                restoration.Restored(dict(stored.holders), stored.mark),
            )
        elif gateway.expired:
            self.write_pool(
                gateway,
                restoration.close_pool(own.era, own.holder, stored, PREPAID),
            )
        live = {g.escrow.holder for g in self.gateways if g is not gateway}
        own.open_pools(live, gateway.expired)

    def write_pool(
        self, gateway: Gateway, restored: restoration.Restored
    ) -> None:
        commit = self.make_commit(gateway, None)._replace(
            pool_revision=self.store.pool.revision, pool=restored
        )
        if not self.store.apply(commit):
            self.read_record(gateway)
            return
        gateway.record_revision = self.store.revision
        if self.rng.random() < 0.8:
            gateway.escrow.finish_restoration(
                WORKSPACE, self.store.revision, restored
            )
            self.share(gateway)

    def do_spend(self, gateway: Gateway) -> None:
        tokens = self.rng.randrange(1, 9000)
        reserved = gateway.account.reserve(tokens, self.now_s)
        if not reserved:
            # The request waits for a usage bound that covers it.
            gateway.account.wanted += tokens
            self.commit(gateway, 0, lost=self.rng.random() < 0.1)
            reserved = gateway.account.reserve(tokens, self.now_s)
            gateway.account.wanted -= tokens
        if reserved:
            spent = self.rng.randrange(tokens // 2, tokens + 1)
            gateway.account.settle(tokens, spent)
            self.consumed += spent

    def do_draw(self, gateway: Gateway) -> None:
        free = gateway.escrow.count_free(WORKSPACE, PREPAID)
        self.commit(gateway, min(max(free, 0), self.rng.randrange(1, 30_000)))

    def do_return(self, gateway: Gateway) -> None:
        if gateway.account.held > 0:
            self.commit(
                gateway, -gateway.account.held, self.rng.random() < 0.3
            )

    def do_lose_answer(self, gateway: Gateway) -> None:
        free = gateway.escrow.count_free(WORKSPACE, PREPAID)
        change = min(max(free, 0), self.rng.randrange(0, 20_000))
        self.commit(gateway, change, lost=True)

    def do_deliver_late(self, _: Gateway) -> None:
        if self.pending:
            index = self.rng.randrange(len(self.pending))
            self.store.apply(self.pending.pop(index))

    def do_transfer(self, gateway: Gateway) -> None:
        other = self.rng.choice(self.gateways)
        if other is not gateway:
            tokens = gateway.account.deduct_transfer(
                self.rng.randrange(1, 9000), self.now_s
            )
            if self.rng.random() < 0.8:
                other.account.add_transfer(tokens)

    def do_notice(self, gateway: Gateway) -> None:
        gateway.escrow.record_peer_notice()

    def do_expire(self, gateway: Gateway) -> None:
        others = [g for g in self.gateways if g is not gateway]
        gateway.expired = all(other.shared for other in others)

    def do_kill(self, gateway: Gateway) -> None:
        if len(self.gateways) > 1 and not gateway.shared:
            self.share(gateway, lost=False)
            if not gateway.shared:
                return
        index = self.gateways.index(gateway)
        del self.gateways[index]
        self.now_s += self.rng.random() * 4
        self.gateways.insert(index, self.start(gateway.host))

    def do_copy(self, _: Gateway) -> None:
        self.copies.append(copy.deepcopy(self.store))

    def do_restore(self, _: Gateway) -> None:
        if not self.copies:
            return
        era = self.store.era + 1
        self.store = copy.deepcopy(self.rng.choice(self.copies[-3:]))
        self.store.era = era
        self.returns += 1


@WALKS
@hypothesis.given(st.integers(0, 2**32))
def test_return_to_an_older_copy_overspends_nothing(seed: int) -> None:
    fleet = Fleet(seed)
    for _ in range(STEPS):
        fleet.step()


def make_state(
    era: int,
    revision: int,
    basis: tuple[int, int] = (0, 0),
    restored: tuple[str, ...] = (),
    **holders: int,
) -> restoration.PoolState:
    mark = restoration.Mark(era, basis, restored)
    return restoration.PoolState(revision, holders, mark)


@pytest.mark.parametrize(
    ("stored", "known", "holders", "basis"),
    [
        # The copy is older than what is known.
        (
            make_state(1, 5, a=10, b=20),
            make_state(1, 8, a=30, closed=20),
            {"a": 25, "closed": 20},
            (1, 8),
        ),
        # The copy has a commit that is not known.
        (
            make_state(1, 9, a=10, b=20, c=5),
            make_state(1, 8, a=30, b=25),
            {"a": 25, "b": 20, "c": 5},
            (1, 9),
        ),
        # The copy is from before the first draw.
        (
            restoration.PoolState(),
            make_state(1, 8, a=30, b=25),
            {"a": 25, "b": 25},
            (1, 8),
        ),
        # Another gateway that knew less has restored its own entry.
        (
            make_state(2, 6, (1, 7), ("b",), a=10, b=20, c=5),
            make_state(1, 8, a=30, b=25, c=7),
            {"a": 25, "b": 20, "c": 7},
            (1, 8),
        ),
        # Another gateway that knew more has.
        (
            make_state(2, 6, (1, 9), ("b",), a=10, b=20),
            make_state(1, 8, a=30, b=25, c=7),
            {"a": 25, "b": 20},
            (1, 9),
        ),
        # A process that knew nothing has closed the pool.
        (
            make_state(2, 6, (1, 5), ("n",), a=10, n=0, unknown=90),
            make_state(1, 8, a=30, b=25),
            {"a": 25, "b": 25, "n": 0},
            (1, 8),
        ),
    ],
)
def test_newest_known_state_is_restored(
    stored: restoration.PoolState,
    known: restoration.PoolState,
    holders: dict[str, int],
    basis: tuple[int, int],
) -> None:
    restored = restoration.restore_pool(2, ("a", 25), stored, known, {})
    assert restored.holders == holders
    assert restored.mark.era == 2
    assert restored.mark.basis == basis
    assert "a" in restored.mark.restored


def test_gossiped_holdings_count_for_holders_in_doubt_only() -> None:
    stored = make_state(2, 6, (1, 8), ("b",), a=10, b=20, c=5)
    gossiped = {"b": 90, "c": 70, "never-drew": 40}
    restored = restoration.restore_pool(
        2, ("a", 10), stored, make_state(1, 8, a=10), gossiped
    )
    assert restored.holders == {"a": 10, "b": 20, "c": 70}


def test_unknown_pool_is_closed() -> None:
    stored = make_state(1, 5, a=10)
    restored = restoration.close_pool(2, "n", stored, 100)
    assert restored.holders == {"a": 10, restoration.UNKNOWN: 90}


def test_nothing_is_free_until_all_live_holders_have_restored() -> None:
    own = restoration.EraEscrow("a")
    own.join_era(1, {WORKSPACE: make_state(1, 5, a=10)}, {WORKSPACE}, False)
    assert own.count_free(WORKSPACE, 100) == 90
    own.begin_era(2, {WORKSPACE})
    assert own.count_free(WORKSPACE, 100) == 0
    assert own.open_pools({"b"}, expired=True) == []
    restored = restoration.restore_pool(
        2, ("a", 10), make_state(1, 4), own.older[WORKSPACE], {}
    )
    own.finish_restoration(WORKSPACE, 6, restored)
    assert own.open_pools({"b"}, expired=False) == []
    assert own.count_free(WORKSPACE, 100) == 0
    mark = restored.mark._replace(restored=("a", "b"))
    own.update_pool(WORKSPACE, 7, {"a": 10, "b": 40}, mark)
    assert own.open_pools({"b"}, expired=False) == [WORKSPACE]
    assert own.count_free(WORKSPACE, 100) == 50


def test_return_in_doubt_counts_as_done_in_the_new_era() -> None:
    own = restoration.EraEscrow("a")
    own.join_era(1, {WORKSPACE: make_state(1, 5, a=1000)}, set(), False)
    own.begin_commit({WORKSPACE: -600}, 0.0)
    own.begin_era(2, ())
    assert own.get_drawn(WORKSPACE) == 400
    assert own.open_account(WORKSPACE).held == 400


def test_entries_of_an_older_copy_change_no_holdings() -> None:
    own = restoration.EraEscrow("a")
    own.join_era(1, {WORKSPACE: make_state(1, 5, a=1000)}, set(), False)
    own.begin_era(2, ())
    own.update_pool(WORKSPACE, 9, {"a": 5000}, make_state(1, 9).mark)
    own.update_pool(WORKSPACE, 9, {"a": 5000}, make_state(2, 9).mark)
    assert own.open_account(WORKSPACE).held == 1000


def test_pool_that_was_closed_stays_so_in_the_next_era() -> None:
    known = make_state(2, 50, (1, 22), ("n",), a=60, unknown=40)
    restored = restoration.restore_pool(
        3, ("n", 0), make_state(1, 22, a=60), known, {}
    )
    assert restored.holders == {"a": 60, "n": 0, restoration.UNKNOWN: 40}


def test_process_that_knows_no_pool_does_not_restore_it_later() -> None:
    own = restoration.EraEscrow("n")
    own.join_era(2, {WORKSPACE: make_state(1, 5, a=60)}, {WORKSPACE}, False)
    assert own.unknown == {WORKSPACE}
    own.begin_era(3, {WORKSPACE})
    assert own.unknown == own.unopened == {WORKSPACE}


@pytest.mark.parametrize(
    ("has_older_records", "free"), [(False, 100), (True, 0)]
)
def test_missing_pool_is_new_only_if_no_process_is_older(
    has_older_records: bool, free: int
) -> None:
    own = restoration.EraEscrow("n")
    own.join_era(2, {}, {WORKSPACE}, has_older_records)
    assert own.count_free(WORKSPACE, 100) == free


def test_draws_seen_before_the_own_entry_is_restored_are_kept() -> None:
    own = restoration.EraEscrow("a")
    own.join_era(1, {WORKSPACE: make_state(1, 5, a=10, b=5)}, set(), False)
    own.begin_era(2, ())
    seen = make_state(2, 4, (1, 3), ("b",), a=8, b=70)
    own.update_pool(WORKSPACE, seen.revision, seen.holders, seen.mark)
    own.begin_era(3, ())
    assert own.older[WORKSPACE].holders == {"a": 10, "b": 70}
    assert own.older[WORKSPACE].position == (2, 4)


def test_pool_of_a_newer_configuration_waits_for_others() -> None:
    own = restoration.EraEscrow("a")
    own.join_era(1, {WORKSPACE: make_state(1, 5, a=10)}, set(), False)
    own.begin_era(2, {WORKSPACE})
    plan = restoration.Restored({"a": 10}, restoration.Mark(2, (1, 5), ("a",)))
    own.finish_restoration(WORKSPACE, 6, plan)
    own.open_pools((), expired=False)
    own.block_pools({WORKSPACE, "added"})
    assert own.count_free(WORKSPACE, 100) == 90
    assert own.count_free("added", 100) == 0
