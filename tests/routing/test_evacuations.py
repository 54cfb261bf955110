"""Orders to evacuate zones, as gateways learn of them.

Orders arrive by watches, full reads and peers, late, repeated and out of
order, while the store returns from older copies and gateways restart. Nothing
may be sent to a zone after its order is known, and all must agree in the end.
"""

from __future__ import annotations

import dataclasses
import random

import pytest

from cyclamenwing.routing import evacuations

BOUND_S = 5.0
SPREAD_S = BOUND_S * evacuations.SPREAD_SHARE
ZONES = ("za", "zb", "zc")
PARTS = [f"p{number}" for number in range(500)]


def make_order(
    revision: int, in_force: bool = True, era: int = 1, zone: str = "za"
) -> evacuations.Order:
    return evacuations.Order(zone, era, revision, in_force)


def make_known(*orders: evacuations.Order) -> evacuations.Evacuations:
    known = evacuations.Evacuations(BOUND_S)
    for order in orders:
        known.apply(order, 0.0, live=False)
    return known


def test_order_is_in_force_until_it_is_withdrawn() -> None:
    known = make_known()
    assert not known.active
    assert known.apply(make_order(5), 0.0, live=False)
    assert known.is_evacuated("za", 0.0)
    assert not known.is_evacuated("zb", 0.0)
    assert not known.apply(make_order(5), 1.0, live=False)
    assert known.apply(make_order(6, in_force=False), 1.0, live=False)
    assert not known.is_evacuated("za", 1.0)


# Guards against a withdrawal that an overtaken change takes back.
def test_older_change_does_not_override_a_newer_one() -> None:
    known = make_known(make_order(6, in_force=False))
    assert not known.apply(make_order(5), 1.0, live=True)
    assert not known.is_evacuated("za", 1.0)


def test_revision_of_a_later_era_is_newer() -> None:
    known = make_known(make_order(100))
    assert known.apply(make_order(7, in_force=False, era=2), 1.0, live=False)
    assert not known.merge(
        [evacuations.OrderNotice(make_order(100), 1.0)], 1.0
    )
    assert not known.is_evacuated("za", 1.0)


def test_full_read_ends_orders_that_it_lacks() -> None:
    known = make_known(make_order(5), make_order(6, zone="zb"))
    changed = known.load({"zb": 6, "zc": 8}, 1, 9, 1.0)
    assert changed == [
        make_order(8, zone="zc"),
        make_order(9, in_force=False),
    ]
    assert known.count_zones() == 2


# Guards against a read through a delegate that is behind a peer's notice.
def test_full_read_keeps_a_newer_order_of_a_peer() -> None:
    known = make_known()
    known.merge([evacuations.OrderNotice(make_order(12), 0.1)], 0.0)
    assert not known.load({}, 1, 11, 0.0)
    assert known.is_evacuated("za", 0.0)


def test_returned_store_replaces_all_orders() -> None:
    known = make_known(make_order(500), make_order(501, zone="zb"))
    known.load({"zb": 20}, 2, 30, 1.0)
    assert not known.is_evacuated("za", 1.0)
    assert known.is_evacuated("zb", 1.0)


# Guards against a notice that raises the age of an order each time it passes.
def test_repeated_notice_changes_nothing() -> None:
    known = make_known()
    notice = evacuations.OrderNotice(make_order(5), 2.0)
    assert known.merge([notice], 10.0) == [make_order(5)]
    assert known.merge([notice], 20.0) == []
    assert known.measure_age("za", 20.0) == 12.0
    assert known.list_notices(20.0) == [notice._replace(age_s=12.0)]


# Guards against a gateway that was cut off for longer than ended orders are
# kept, and evacuates the zone again at all others.
def test_old_notice_of_a_forgotten_order_is_answered_by_its_end() -> None:
    known = make_known(make_order(5), make_order(6, in_force=False))
    late_s = evacuations.ENDED_TTL_S + 1.0
    assert known.list_notices(late_s) == []
    known.take_ended()
    stale = make_known(make_order(5))
    assert known.merge(stale.list_notices(late_s), late_s) == []
    assert not known.is_evacuated("za", late_s)
    assert known.take_ended() == {}
    changed = stale.merge(known.list_notices(late_s), late_s)
    assert [order.in_force for order in changed] == [False]


def test_ended_orders_are_kept_for_a_time() -> None:
    known = make_known(make_order(5), make_order(6, in_force=False))
    ttl_s = evacuations.ENDED_TTL_S
    assert len(known.list_notices(ttl_s - 0.1)) == 1
    assert known.list_notices(ttl_s) == []
    old = evacuations.OrderNotice(make_order(6, in_force=False), ttl_s)
    other = make_known()
    other.merge([old], 0.0)
    assert other.list_notices(0.0) == []


# Guards against all prompts being read anew in the same instant.
def test_parts_of_a_live_order_move_one_after_the_other() -> None:
    known = make_known()
    known.apply(make_order(5), 10.0, live=True)
    assert known.is_evacuated("za", 10.0)
    moved = [
        sum(
            known.is_evacuated("za", 10.0 + SPREAD_S * share, part)
            for part in PARTS
        )
        / len(PARTS)
        for share in (0.0, 0.25, 0.5, 0.75, 1.0)
    ]
    assert moved[0] == 0.0
    assert moved[-1] == 1.0
    for share, expected in zip(moved, (0, 0.25, 0.5, 0.75, 1), strict=True):
        assert abs(share - expected) < 0.08


# An order of unknown age may already be as old as the bound.
@pytest.mark.parametrize("source", ["read", "peer", "change"])
def test_parts_of_an_order_of_unknown_age_move_at_once(source: str) -> None:
    known = make_known()
    if source == "read":
        known.load({"za": 5}, 1, 9, 0.0)
    elif source == "peer":
        known.merge([evacuations.OrderNotice(make_order(5), 0.0)], 0.0)
    else:
        known.apply(make_order(5), 0.0, live=False)
    assert all(known.is_evacuated("za", 0.0, part) for part in PARTS)


# Guards against an order that is written again and again, by which a zone
# would never become free of requests.
def test_repeated_order_does_not_restart_the_spread() -> None:
    known = make_known()
    known.apply(make_order(5), 0.0, live=True)
    for revision in range(6, 20):
        assert not known.apply(
            make_order(revision), SPREAD_S * revision / 20, live=True
        )
    assert all(known.is_evacuated("za", SPREAD_S, part) for part in PARTS)


def test_restored_zones_are_taken_once() -> None:
    known = make_known(make_order(5), make_order(6, zone="zb"))
    assert known.take_ended() == {}
    known.apply(make_order(7, in_force=False), 3.0, live=True)
    assert known.take_ended() == {"za": 3.0}
    assert known.take_ended() == {}
    known.apply(make_order(8, in_force=False, zone="zb"), 4.0, live=True)
    known.apply(make_order(9, zone="zb"), 5.0, live=True)
    assert known.take_ended() == {}


# Guards against a process that starts just after the end of an order, and
# sends at the full rate to endpoints that are cold.
def test_end_that_a_peer_tells_of_restores_an_unknown_order() -> None:
    known = make_known()
    ended = evacuations.OrderNotice(make_order(6, in_force=False), 1.0)
    assert known.merge([ended], 4.0) == []
    assert known.take_ended() == {"za": 3.0}
    later = make_order(7, in_force=False)
    known.merge([evacuations.OrderNotice(later, 0.0)], 5.0)
    assert known.take_ended() == {}


def test_moving_part_is_the_one_that_prefers_an_endpoint() -> None:
    assert evacuations.find_moving_part([]) == ""
    assert evacuations.find_moving_part([("own", 5)]) == ""
    parts = [("aa", 5), ("bb", 5), ("own", 5)]
    assert evacuations.find_moving_part(parts) == "bb"


class Store:
    """Hold the orders as the store does, with its history."""

    def __init__(self) -> None:
        self.era = 1
        self.revision = 10
        self.orders: dict[str, int] = {}
        self.changes: list[evacuations.Order] = []

    def write(self, zone: str, in_force: bool) -> None:
        self.revision += 1
        if in_force:
            self.orders[zone] = self.revision
        else:
            self.orders.pop(zone, None)
        self.changes.append(
            evacuations.Order(zone, self.era, self.revision, in_force)
        )

    def copy(self) -> tuple[int, dict[str, int]]:
        return self.revision, dict(self.orders)

    def restore(self, copy: tuple[int, dict[str, int]]) -> None:
        self.era += 1
        self.revision, orders = copy
        self.orders = dict(orders)
        self.changes = []


@dataclasses.dataclass
class Host:
    """Hold one gateway of a walk, and the latest order that it heard of."""

    known: evacuations.Evacuations = dataclasses.field(
        default_factory=lambda: evacuations.Evacuations(BOUND_S)
    )
    position: tuple[int, int] | None = None
    heard: dict[str, evacuations.Order] = dataclasses.field(
        default_factory=dict
    )
    cut_off: bool = False

    def hear(self, order: evacuations.Order) -> None:
        before = self.heard.get(order.zone)
        if before is None or order.rank > before.rank:
            self.heard[order.zone] = order

    def read(self, store: Store, now_s: float) -> None:
        self.known.load(store.orders, store.era, store.revision, now_s)
        for zone in ZONES:
            written = store.orders.get(zone)
            self.hear(
                evacuations.Order(
                    zone,
                    store.era,
                    store.revision if written is None else written,
                    written is not None,
                )
            )
        self.position = store.era, store.revision

    def follow(self, store: Store, now_s: float, rng: random.Random) -> None:
        if self.position is None or self.position[0] != store.era:
            self.read(store, now_s)
            return
        # A delegate names each changed key once, in any order.
        newest = {
            order.zone: order
            for order in store.changes
            if order.revision > self.position[1]
        }
        for order in rng.sample(list(newest.values()), len(newest)):
            self.known.apply(order, now_s, live=rng.random() < 0.5)
            self.hear(order)
        self.position = store.era, store.revision

    def merge(
        self, notices: list[evacuations.OrderNotice], now_s: float
    ) -> None:
        self.known.merge(notices, now_s)
        for notice in notices:
            if notice.order.in_force or notice.age_s < evacuations.ENDED_TTL_S:
                self.hear(notice.order)


class Walk:
    """Walk at random over orders, ends, delays, cuts and returns."""

    def __init__(self, gateways: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = Store()
        self.hosts = [Host() for _ in range(gateways)]
        self.copies = [self.store.copy()]
        self.delayed: list[list[evacuations.OrderNotice]] = []
        self.now_s = 100.0
        for host in self.hosts:
            host.read(self.store, self.now_s)

    def run(self, steps: int) -> None:
        acts = (
            self.write,
            self.follow,
            self.follow,
            self.gossip,
            self.gossip,
            self.repeat,
            self.cut,
            self.restart,
            self.copy,
            self.restore,
        )
        weights = (8, 20, 20, 20, 20, 6, 4, 3, 3, 1)
        for _ in range(steps):
            self.now_s += self.rng.choice((0.01, 0.1, 0.5, 2.0))
            self.rng.choices(acts, weights)[0]()
        self.check_heard()

    def write(self) -> None:
        self.store.write(self.rng.choice(ZONES), self.rng.random() < 0.6)

    def pick(self) -> list[Host]:
        count = self.rng.randint(1, max(len(self.hosts) // 4, 1))
        return self.rng.sample(self.hosts, count)

    def follow(self) -> None:
        for host in self.pick():
            if not host.cut_off:
                host.follow(self.store, self.now_s, self.rng)

    def gossip(self) -> None:
        for host in self.pick():
            notices = host.known.list_notices(self.now_s)
            if self.rng.random() < 0.2:
                self.delayed.append(notices)
            else:
                self.rng.choice(self.hosts).merge(notices, self.now_s)
        del self.delayed[:-200]

    def repeat(self) -> None:
        if self.delayed:
            notices = self.rng.choice(self.delayed)
            self.rng.choice(self.hosts).merge(notices, self.now_s)

    def cut(self) -> None:
        for host in self.pick():
            host.cut_off = not host.cut_off
        self.check_heard()

    def restart(self) -> None:
        number = self.rng.randrange(len(self.hosts))
        host = self.hosts[number] = Host()
        # It gets its configuration from the store or from a peer.
        if self.rng.random() < 0.5:
            host.read(self.store, self.now_s)
        else:
            peer = self.rng.choice(self.hosts)
            host.cut_off = True
            host.merge(peer.known.list_notices(self.now_s), self.now_s)

    def copy(self) -> None:
        self.copies.append(self.store.copy())

    def restore(self) -> None:
        copies = [c for c in self.copies[-3:] if c[0] <= self.store.revision]
        if copies:
            self.store.restore(self.rng.choice(copies))
            self.copies = [self.store.copy()]

    def check_heard(self) -> None:
        """Check that no gateway sends to a zone whose order it heard of."""
        for host in self.hosts:
            for zone, order in host.heard.items():
                if order.in_force:
                    assert host.known.is_evacuated(zone, self.now_s)
                    late_s = self.now_s + SPREAD_S
                    assert host.known.is_evacuated(zone, late_s, "part")

    def settle(self, all_return: bool) -> None:
        """Let views settle; the first gateway always reaches the store."""
        for number, host in enumerate(self.hosts):
            host.cut_off &= not all_return and number > 0
            if not host.cut_off:
                host.follow(self.store, self.now_s, self.rng)
        for _ in range(6):
            self.now_s += 0.2
            for host in self.hosts:
                peer = self.rng.choice(self.hosts)
                peer.merge(host.known.list_notices(self.now_s), self.now_s)
                host.merge(peer.known.list_notices(self.now_s), self.now_s)
            for host in self.hosts[1:]:
                # As an attached gateway does with its delegate.
                first = self.hosts[0]
                first.merge(host.known.list_notices(self.now_s), self.now_s)
                host.merge(first.known.list_notices(self.now_s), self.now_s)

    def check_agreed(self) -> None:
        late_s = self.now_s + SPREAD_S
        for host in self.hosts:
            for zone in ZONES:
                for part in ("", "aa"):
                    assert host.known.is_evacuated(zone, late_s, part) == (
                        zone in self.store.orders
                    )


@pytest.mark.parametrize("all_return", [True, False])
@pytest.mark.parametrize(
    ("gateways", "seeds", "steps"),
    [(4, 60, 400), (20, 20, 400), (68, 6, 400), (340, 2, 300)],
)
def test_gateways_obey_and_agree_after_any_walk(
    gateways: int, seeds: int, steps: int, all_return: bool
) -> None:
    for seed in range(seeds):
        walk = Walk(gateways, seed)
        walk.run(steps)
        walk.settle(all_return)
        walk.check_heard()
        walk.check_agreed()
