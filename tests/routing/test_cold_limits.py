"""Load pattern: endpoints turn cold while all gateways want to use them.

Gateways hear of it at different times, know different members, start, freeze
and are cut off. The sum of their requests must keep to the bound in any
second, with four gateways and with hundreds.
"""

from __future__ import annotations

import bisect
import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import pytest

from cyclamenwing.routing import cold_limits
from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import exclusions
from cyclamenwing.routing import rate_limits

FLEETS = (4, 20, 68, 340)
TERMS = cold_marks.ColdTerms(3.0, 5.6)
# The rule for the arrivals at a cold endpoint in any second.
OVER = 1.5
SLACK = 5.0
BOUND = OVER * TERMS.limit_rps + SLACK
# With settled views the rest is left to gateways that have not heard yet.
SETTLED_BOUND = TERMS.limit_rps + SLACK
WINDOW_S = 1.0
MIN_USED = 0.7
# Demand of each sender as a multiple of its share.
DEMAND = 4.0

NETWORK_DELAY_S = (0.001, 0.02)
ANSWER_DELAY_S = (0.005, 0.2)
GOSSIP_DELAY_S = (0.2, 2.0)
VIEW_DELAY_S = (0.2, 2.0)
# A refused connection shows at once.
REFUSAL_DELAY_S = 0.002
SILENCE_S = 5.0
REFRESH_INTERVAL_S = 0.2
WALL_S = 1_700_000_000.0


def make_endpoint(
    number: int = 1, started_s: float = -3600.0
) -> endpoints.Endpoint:
    """Return an endpoint that started at a time of the simulation."""
    return endpoints.Endpoint(
        f"e{number}",
        "api",
        f"10.0.0.{number}:80",
        "a",
        6,
        False,
        int((WALL_S + started_s) * 1000),
    )


class Gateway:
    """Hold one gateway of the simulated fleet."""

    def __init__(self, host: str, hosts: set[str]) -> None:
        self.host = host
        self.hosts = hosts
        self.starts = 0
        self.running = True
        self.cut_off = False
        self.view = set(hosts)
        self.start()

    def start(self) -> None:
        """Begin a new process, which knows nothing of cold endpoints."""
        self.starts += 1
        self.running = True
        self.directory = endpoints.Directory(
            limits=rate_limits.RateLimits(
                self.host,
                f"{self.host}-{self.starts}",
                cold_limits.ColdLimits(
                    self.host, f"{self.host}-{self.starts}", OVER, SLACK
                ),
            )
        )
        self.limits = self.directory.limits
        self.cold = self.limits.cold.starts
        self.cold.set_terms({"api": TERMS})

    def refresh(self, now_s: float) -> None:
        self.limits.set_members(self.view, self.hosts, now_s)


class Process:
    """Hold one endpoint's process as the simulation knows it."""

    def __init__(self, endpoint: endpoints.Endpoint) -> None:
        self.endpoint = endpoint
        # Its latest entry in the store.
        self.entry = endpoint
        self.up = True
        self.cold_from_s = float("inf")
        self.cold_until_s = float("-inf")
        # Latest crash, or time at which it turned cold without one.
        self.changed_s = float("-inf")
        # Arrivals while cold, with whether their gateway had heard of that
        # change, also where it believes the cold time over.
        self.arrivals: list[tuple[float, bool]] = []


class Fleet:
    """Play requests, refusals, answers, entries, gossip and failures."""

    def __init__(
        self,
        seed: int,
        gateways: int,
        count: int = 1,
        demand: float = DEMAND,
    ) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        hosts = {f"g{n}" for n in range(gateways)}
        self.gateways = [Gateway(host, hosts) for host in sorted(hosts)]
        self.processes = [Process(make_endpoint(n)) for n in range(count)]
        policy = cold_limits.make_policy(OVER, SLACK)
        share = policy.compute_share(TERMS.limit_rps, gateways)
        for gateway in self.gateways:
            self._refresh(gateway)
            for process in self.processes:
                gateway.directory.record_cold_entry(
                    process.endpoint, 0.0, WALL_S, live=False
                )
                gateway.directory.put(process.endpoint, 1)
                self._demand(gateway, process, share.rate_rps * demand)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events,
            (self.now_s + delay_s, next(self._numbers), action),
        )

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _refresh(self, gateway: Gateway) -> None:
        if gateway.running:
            gateway.refresh(self.now_s)
        self.schedule(REFRESH_INTERVAL_S, lambda: self._refresh(gateway))

    def _demand(
        self, gateway: Gateway, process: Process, rate_rps: float
    ) -> None:
        def request() -> None:
            if gateway.running:
                self._send(gateway, process)
            self.schedule(self.random.expovariate(rate_rps), request)

        self.schedule(self.random.expovariate(rate_rps), request)

    def _send(self, gateway: Gateway, process: Process) -> None:
        name = process.endpoint.name
        incarnation = gateway.directory.registered[name].incarnation
        sent_s = self.now_s
        if not gateway.limits.try_acquire(incarnation, sent_s):
            return
        mark = gateway.cold.marks.get(incarnation)
        heard_s = mark.heard_s if mark is not None else float("-inf")
        starts = gateway.starts

        def arrive() -> None:
            if not process.up:
                self.schedule(REFUSAL_DELAY_S, lambda: learn(refused=True))
                return
            if process.cold_from_s <= self.now_s < process.cold_until_s:
                heard = heard_s >= process.changed_s
                process.arrivals.append((self.now_s, heard))
            self.schedule(
                self.random.uniform(*ANSWER_DELAY_S),
                lambda: learn(refused=False),
            )

        def learn(refused: bool) -> None:
            if gateway.starts != starts or not gateway.running:
                return
            before = self._read_number(gateway, incarnation)
            if refused:
                gateway.cold.record_refused(incarnation, self.now_s)
            else:
                gateway.cold.record_answer(
                    incarnation, None, sent_s, self.now_s
                )
            self._announce(gateway, incarnation, before)

        self.schedule(self.random.uniform(*NETWORK_DELAY_S), arrive)

    def _read_number(
        self, gateway: Gateway, incarnation: exclusions.Incarnation
    ) -> int:
        mark = gateway.cold.marks.get(incarnation)
        own = mark is not None and mark.origin.startswith(gateway.host + "-")
        return mark.number if mark is not None and own else 0

    def _announce(
        self,
        gateway: Gateway,
        incarnation: exclusions.Incarnation,
        before: int,
    ) -> None:
        """Tell all others of a new mark of a gateway."""
        if self._read_number(gateway, incarnation) == before:
            return
        for notice, _ in gateway.cold.list_notices(self.now_s):
            if notice.incarnation == incarnation:
                self._broadcast(gateway, notice)

    def _broadcast(
        self, gateway: Gateway, notice: cold_marks.ColdNotice
    ) -> None:
        if gateway.cut_off:
            return
        for other in self.gateways:
            if other is not gateway:
                self._deliver(other, notice)

    def _deliver(self, other: Gateway, notice: cold_marks.ColdNotice) -> None:
        # The time on the way is not part of the age in the notice.
        def merge() -> None:
            if other.running and not other.cut_off:
                other.cold.merge_notice(notice, self.now_s)

        self.schedule(self.random.uniform(*GOSSIP_DELAY_S), merge)

    def show_entry(
        self,
        process: Process,
        remaining_s: float,
        delay_s: tuple[float, float],
    ) -> None:
        """Let each gateway read an entry after a delay of its own."""
        entry = process.endpoint._replace(cold_remaining_s=remaining_s)
        process.entry = entry

        def read(gateway: Gateway) -> None:
            if gateway.running and not gateway.cut_off:
                gateway.directory.record_cold_entry(
                    entry, self.now_s, WALL_S + self.now_s, live=True
                )
                gateway.directory.put(entry, int(self.now_s * 1000) + 2)

        for gateway in self.gateways:
            self.schedule(
                self.random.uniform(*delay_s),
                functools.partial(read, gateway),
            )

    def turn_cold(
        self, process: Process, entry_delay_s: tuple[float, float]
    ) -> None:
        """Turn an endpoint cold without a restart; its entry says so late."""
        process.changed_s = process.cold_from_s = self.now_s
        process.cold_until_s = self.now_s + TERMS.duration_s
        self.show_entry(process, TERMS.duration_s, entry_delay_s)
        started_ms = process.endpoint.started_ms

        def end() -> None:
            if process.up and process.endpoint.started_ms == started_ms:
                self.show_entry(process, 0.0, entry_delay_s)

        self.schedule(TERMS.duration_s, end)

    def crash(self, process: Process, down_s: float) -> None:
        """Let an endpoint crash and come back; its entry follows in 2 s."""
        process.up = False
        process.changed_s = self.now_s
        process.cold_from_s = float("inf")
        process.cold_until_s = float("-inf")

        def come_back() -> None:
            process.up = True
            process.endpoint = make_endpoint(
                int(process.endpoint.name[1:]), self.now_s
            )
            process.cold_from_s = self.now_s
            process.cold_until_s = self.now_s + TERMS.duration_s
            self.show_entry(process, 0.0, (0.1, 2.0))

        self.schedule(down_s, come_back)

    def pause(self, gateway: Gateway, for_s: float, restart: bool) -> None:
        """Freeze a gateway, or kill it and start it again."""
        gateway.running = False

        def resume() -> None:
            if restart:
                known = gateway.directory.registered
                gateway.start()
                self._read_all(gateway, set(known))
            gateway.running = True
            self._change_views(gateway.host, present=True, delay_s=0.0)

        if for_s > SILENCE_S:
            self._change_views(gateway.host, False, SILENCE_S)
        self.schedule(for_s, resume)

    def _read_all(self, gateway: Gateway, names: set[str]) -> None:
        """Let a new process read all entries and hear of its first peer."""
        for process in self.processes:
            if process.endpoint.name in names:
                gateway.directory.record_cold_entry(
                    process.entry,
                    self.now_s,
                    WALL_S + self.now_s,
                    live=False,
                )
                gateway.directory.put(process.entry, 1)
        peer = self.random.choice(self.gateways)
        if peer is not gateway and not (gateway.cut_off or peer.cut_off):
            for notice, _ in peer.cold.list_notices(self.now_s):
                gateway.cold.merge_notice(notice, self.now_s)

    def cut_off(self, gateway: Gateway, for_s: float) -> None:
        """Cut a gateway off from the others and the store."""
        gateway.cut_off = True

        def lose_all() -> None:
            if gateway.cut_off:
                gateway.view = {gateway.host}

        def rejoin() -> None:
            gateway.cut_off = False
            gateway.view = set(gateway.hosts)
            self._change_views(gateway.host, True, 0.0)

        if for_s > SILENCE_S:
            self.schedule(SILENCE_S, lose_all)
            self._change_views(gateway.host, False, SILENCE_S)
        self.schedule(for_s, rejoin)

    def _change_views(self, host: str, present: bool, delay_s: float) -> None:
        for other in self.gateways:
            if other.host == host:
                continue

            def change(other: Gateway = other) -> None:
                if not other.cut_off:
                    (other.view.add if present else other.view.discard)(host)

            self.schedule(delay_s + self.random.uniform(*VIEW_DELAY_S), change)

    def count_most(self) -> int:
        """Return the most arrivals in a second of gateways that had heard."""
        return max(
            (
                count_most([t for t, heard in p.arrivals if heard])
                for p in self.processes
            ),
            default=0,
        )


def count_most(times: list[float]) -> int:
    """Return the most of these times within a second."""
    return max(
        (
            bisect.bisect_left(times, start_s + WINDOW_S) - index
            for index, start_s in enumerate(times)
        ),
        default=0,
    )


def make_cold(fleet: Fleet, seconds: float) -> None:
    """Let all gateways know of all endpoints' cold time at once."""
    for process in fleet.processes:
        process.changed_s = process.cold_from_s = fleet.now_s
        process.cold_until_s = fleet.now_s + seconds
        for gateway in fleet.gateways:
            gateway.directory.mark_cold(
                [process.endpoint.incarnation], seconds, "test", fleet.now_s
            )


@pytest.mark.parametrize("gateways", FLEETS)
def test_settled_fleet_stays_below_the_rate_and_uses_it(
    gateways: int,
) -> None:
    fleet = Fleet(gateways, gateways)
    fleet.run(5.0)
    make_cold(fleet, 60.0)
    fleet.run(66.0)
    # Without those that were on their way when it became known.
    times = [t for t, heard in fleet.processes[0].arrivals if heard]
    assert count_most(times) <= SETTLED_BOUND
    assert len(times) / 60.0 >= MIN_USED * TERMS.limit_rps


@pytest.mark.parametrize("gateways", FLEETS)
def test_ten_endpoints_that_turn_cold_at_once_keep_to_the_bound(
    gateways: int,
) -> None:
    fleet = Fleet(gateways, gateways, 10, demand=1.0)
    fleet.run(3.0)
    for process in fleet.processes:
        fleet.turn_cold(process, (0.1, 2.0))
    fleet.run(7.0)
    assert fleet.count_most() <= BOUND


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("gateways", FLEETS)
def test_endpoint_that_comes_back_under_its_name_gets_no_burst(
    gateways: int, seed: int
) -> None:
    fleet = Fleet(seed, gateways)
    process = fleet.processes[0]
    fleet.run(3.0)
    # Longer than notices take: then all gateways have heard.
    fleet.crash(process, fleet.random.uniform(2.1, 8.0))
    fleet.run(20.0)
    assert process.arrivals
    assert count_most([t for t, _ in process.arrivals]) <= BOUND


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("gateways", FLEETS)
def test_sum_keeps_to_the_bound_while_members_and_endpoints_change(
    gateways: int, seed: int
) -> None:
    fleet = Fleet(seed, gateways, 3, demand=2.0)
    draw = fleet.random
    for process in fleet.processes:
        for at_s in (draw.uniform(6, 10), draw.uniform(16, 20)):
            action = draw.choice([
                functools.partial(fleet.turn_cold, process, (0.1, 2.0)),
                functools.partial(
                    fleet.crash, process, draw.uniform(0.2, 4.0)
                ),
            ])
            fleet.schedule(at_s, action)
    for _ in range(draw.randrange(2, 6)):
        count = max(1, int(gateways * draw.choice([0.0, 0.1, 0.4])))
        at_s, for_s = draw.uniform(2, 18), draw.uniform(0.3, 9.0)
        fails = draw.choice([
            functools.partial(fleet.pause, for_s=for_s, restart=True),
            functools.partial(fleet.pause, for_s=for_s, restart=False),
            functools.partial(fleet.cut_off, for_s=for_s),
        ])
        for victim in draw.sample(fleet.gateways, count):
            fleet.schedule(at_s, functools.partial(fails, victim))
    fleet.run(26.0)
    assert fleet.count_most() <= BOUND


# Guards against gateways that each send the whole rate.
def test_whole_rate_at_each_gateway_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    policy = cold_limits.make_policy(OVER, SLACK)
    monkeypatch.setattr(
        cold_limits,
        "make_policy",
        lambda over, slack: policy._replace(min_senders=99, used_share=20.0),
    )
    fleet = Fleet(1, 20)
    fleet.run(3.0)
    make_cold(fleet, 3.0)
    fleet.run(7.0)
    assert fleet.count_most() > BOUND


# Guards against a hold-off as long as the cold time: with it a sender that
# follows a lost one would leave its share unused.
def test_next_sender_holds_off_for_less_than_the_cold_time() -> None:
    assert TERMS.duration_s > cold_limits.HOLD_OFF_S
    names = collections.Counter[bool]()
    for number in range(20):
        gateway = Gateway(f"g{number}", {f"g{n}" for n in range(20)})
        gateway.refresh(-9.0)
        endpoint = make_endpoint()
        gateway.directory.record_cold_entry(endpoint, 0.0, WALL_S, False)
        incarnation = endpoint.incarnation
        gateway.directory.mark_cold([incarnation], 60.0, "test", 0.0)
        if gateway.limits.measure_wait(incarnation, 0.0) < 9.0:
            names[True] += 1
            continue
        gateway.limits.set_members([gateway.host], (), 0.0)
        assert gateway.limits.measure_wait(incarnation, 1.0) <= (
            cold_limits.HOLD_OFF_S
        )
        names[False] += 1
    assert names[True] == cold_limits.SENDERS


# Guards against a new process that takes itself for the only sender, and
# against one that was frozen and does not know of its successors.
@pytest.mark.parametrize("frozen_s", [0.0, 5.0])
def test_process_that_starts_or_was_frozen_holds_off(frozen_s: float) -> None:
    gateway = Gateway("g0", {"g0"})
    endpoint = make_endpoint()
    incarnation = endpoint.incarnation
    gateway.directory.record_cold_entry(endpoint, 0.0, WALL_S, False)
    gateway.refresh(0.0)
    gateway.directory.mark_cold([incarnation], 60.0, "test", 0.0)
    gateway.limits.measure_wait(incarnation, 0.0)
    assert gateway.limits.measure_wait(incarnation, 1.0) > 0
    for step in range(1, 21):
        gateway.refresh(step / 10)
    assert gateway.limits.try_acquire(incarnation, 2.1)
    since_s = 2.1 + frozen_s
    gateway.refresh(since_s)
    wait_s = gateway.limits.measure_wait(incarnation, since_s + 1.0)
    assert (wait_s > 0) == (frozen_s > cold_limits.MAX_REFRESH_GAP_S)


# Guards against senders whose saved requests together pass the bound.
@pytest.mark.parametrize("slack", [1.5, 3.0, 5.0, 9.0])
@pytest.mark.parametrize("over", [0.5, 1.0, 1.5])
@pytest.mark.parametrize("limit_rps", [0.1, 1.0, 5.6, 33.0, 68.0, 500.0])
@pytest.mark.parametrize("gateways", FLEETS)
def test_shares_and_bursts_sum_to_less_than_the_bound(
    gateways: int, limit_rps: float, over: float, slack: float
) -> None:
    policy = cold_limits.make_policy(over, slack)
    senders = policy.count_senders(limit_rps, gateways)
    share = policy.compute_share(limit_rps, gateways)
    together = senders * (share.rate_rps + policy.burst_requests)
    settled = min(over, 1.0) * limit_rps + slack
    assert together <= settled + 1e-9
    assert senders * share.quota <= settled + 1e-9
    # A gateway that is cut off adds its part of the share.
    reduced = policy.reduce(cold_limits.MINORITY_RATE_SHARE)
    assert reduced.compute_share(limit_rps, gateways).quota <= share.quota
