"""Load pattern: an endpoint names a rate for what all gateways send together.

Gateways hear of the limit at different times, directly or through others, and
know different members while some join, leave, restart or freeze. The sum of
their requests must keep to it with four gateways and with hundreds.
"""

from __future__ import annotations

import bisect
import functools
import heapq
import itertools
import math
import random
from collections.abc import Callable

import pytest

from cyclamenwing.routing import endpoints
from cyclamenwing.routing import exclusions
from cyclamenwing.routing import rate_limits

ENDPOINT = endpoints.Endpoint("e1", "api", "10.0.0.1:80", "a", 6, False, 1000)
INCARNATION = ENDPOINT.incarnation
FLEETS = (4, 20, 68, 340)

# The rule for the arrivals at an endpoint.
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
STABLE_S = 3.0
TOLD_S = 0.5
# Part of a limit that gateways with steady demand use.
MIN_USED = 0.7

NETWORK_DELAY_S = (0.001, 0.02)
ANSWER_DELAY_S = (0.005, 0.2)
GOSSIP_DELAY_S = (0.1, 1.0)
VIEW_DELAY_S = (0.2, 1.5)
SILENCE_S = 5.0
REFRESH_INTERVAL_S = 0.2


class Gateway:
    """Hold one gateway of the simulated fleet."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.starts = 0
        self.running = True
        self.told_s = float("inf")
        self.disturbed_until_s = 0.0
        self.view: set[str] = set()
        self.refreshes = False
        self.start()

    def refresh(self) -> None:
        self.refreshes = False
        self.limits.set_members(self.view)

    def start(self) -> None:
        self.starts += 1
        self.running = True
        self.told_s = float("inf")
        self.limits = rate_limits.RateLimits(
            self.host, f"{self.host}-{self.starts}"
        )
        self.limits.set_members(self.view)


class Fleet:
    """Play requests, answers, notices and changes of the members."""

    def __init__(
        self, seed: int, gateways: int, limit_rps: float, share_factor: float
    ) -> None:
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.limit_rps: float | None = limit_rps
        self.history = [(0.0, limit_rps)]
        self.arrivals: list[float] = []
        self.judged: list[float] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self.gateways = [Gateway(f"g{n}") for n in range(gateways)]
        hosts = {g.host for g in self.gateways}
        share = rate_limits.compute_share(limit_rps, gateways)
        for gateway in self.gateways:
            gateway.view = set(hosts)
            gateway.limits.set_members(hosts)
            self._demand(gateway, share.rate_rps * share_factor)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._events,
            (self.now_s + delay_s, next(self._numbers), action),
        )

    def run(self, until_s: float) -> None:
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()

    def _demand(self, gateway: Gateway, rate_rps: float) -> None:
        def request() -> None:
            if gateway.running and gateway.limits.try_acquire(
                INCARNATION, self.now_s
            ):
                self._send(gateway)
            self.schedule(self.random.expovariate(rate_rps), request)

        self.schedule(self.random.expovariate(rate_rps), request)

    def _send(self, gateway: Gateway) -> None:
        starts, sent_s = gateway.starts, self.now_s

        def arrive() -> None:
            self.arrivals.append(self.now_s)
            if (
                gateway.told_s + TOLD_S <= self.now_s
                and gateway.disturbed_until_s <= self.now_s
            ):
                self.judged.append(self.now_s)
            limit_rps = self.limit_rps
            self.schedule(
                self.random.uniform(*ANSWER_DELAY_S),
                lambda: answer(limit_rps),
            )

        def answer(limit_rps: float | None) -> None:
            if gateway.starts != starts or not gateway.running:
                return
            if limit_rps is not None:
                gateway.told_s = min(gateway.told_s, self.now_s)
            before = gateway.limits.limits.get(INCARNATION)
            number = before.number if before else 0
            gateway.limits.record_answer(
                INCARNATION, limit_rps, sent_s, self.now_s
            )
            after = gateway.limits.limits.get(INCARNATION)
            if after is not None and after.number != number:
                self._broadcast(gateway)

        self.schedule(self.random.uniform(*NETWORK_DELAY_S), arrive)

    def _broadcast(self, gateway: Gateway) -> None:
        notice, _ = gateway.limits.list_notices(self.now_s)[0]
        for other in self.gateways:
            if other is not gateway:
                self._deliver(other, notice)

    def _deliver(
        self, other: Gateway, notice: rate_limits.LimitNotice
    ) -> None:
        # The time on the way is not part of the age in the notice.
        def merge() -> None:
            if other.running:
                other.limits.merge_notice(notice, self.now_s)

        self.schedule(self.random.uniform(*GOSSIP_DELAY_S), merge)

    def change_limit(self, limit_rps: float | None) -> None:
        self.limit_rps = limit_rps
        self.history.append((self.now_s, limit_rps or float("inf")))

    def pause(self, gateway: Gateway, for_s: float, restart: bool) -> None:
        """Freeze a gateway, or kill it and start it again."""
        gateway.running = False

        def resume() -> None:
            if restart:
                gateway.start()
            gateway.running = True
            gateway.disturbed_until_s = self.now_s + STABLE_S
            self._change_views(gateway.host, present=True, delay_s=0.0)

        gateway.disturbed_until_s = float("inf")
        if for_s > SILENCE_S:
            self._change_views(gateway.host, False, SILENCE_S)
        self.schedule(for_s, resume)

    def _change_views(self, host: str, present: bool, delay_s: float) -> None:
        for other in self.gateways:
            if other.host == host:
                continue

            def change(other: Gateway = other) -> None:
                (other.view.add if present else other.view.discard)(host)
                if not other.refreshes:
                    other.refreshes = True
                    self.schedule(REFRESH_INTERVAL_S, other.refresh)

            self.schedule(delay_s + self.random.uniform(*VIEW_DELAY_S), change)

    def find_excess(self) -> list[tuple[float, int, float]]:
        """Return the windows with too many arrivals."""
        found = []
        times = self.judged
        for index, start_s in enumerate(times):
            if start_s < STABLE_S:
                continue
            end = bisect.bisect_left(times, start_s + WINDOW_S)
            allowed = (
                EXCESS_FACTOR * WINDOW_S * self._read_highest(start_s)
                + EXCESS_REQUESTS
            )
            if end - index > allowed:
                found.append((start_s, end - index, allowed))
        return found

    def _read_highest(self, start_s: float) -> float:
        """Return the highest limit known to gateways in a window."""
        highest = 0.0
        for index, (since_s, limit_rps) in enumerate(self.history):
            later = self.history[index + 1 :]
            # A new limit reaches a gateway with the next answer at the latest.
            until_s = (
                later[0][0] + GOSSIP_DELAY_S[1] if later else float("inf")
            )
            if since_s < start_s + WINDOW_S and until_s > start_s:
                highest = max(highest, limit_rps)
        return highest


@pytest.mark.parametrize("limit_rps", [0.3, 1.0, 1.1, 7.0, 40.0])
@pytest.mark.parametrize("gateways", FLEETS)
def test_steady_fleet_keeps_to_a_limit_and_uses_it(
    gateways: int, limit_rps: float
) -> None:
    fleet = Fleet(gateways, gateways, limit_rps, 4.0)
    # Time for the requests from before the limit to leave the window.
    begin_s, end_s = 10.0, 70.0
    fleet.run(end_s)
    assert fleet.find_excess() == []
    used = sum(t >= begin_s for t in fleet.arrivals) / (end_s - begin_s)
    assert used >= MIN_USED * limit_rps


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("gateways", FLEETS)
def test_sum_keeps_to_the_limit_while_members_and_limits_change(
    gateways: int, seed: int
) -> None:
    draw = random.Random(seed)
    fleet = Fleet(seed, gateways, draw.choice([0.5, 1.0, 3.0, 20.0]), 3.0)
    for _ in range(draw.randrange(3, 9)):
        victims = draw.sample(
            fleet.gateways,
            max(1, int(gateways * draw.choice([0.0, 0.1, 0.5]))),
        )
        at_s, for_s = draw.uniform(4, 40), draw.uniform(0.3, 9.0)
        restart = draw.random() < 0.5
        for victim in victims:
            fleet.schedule(
                at_s,
                functools.partial(fleet.pause, victim, for_s, restart),
            )
    for _ in range(draw.randrange(3)):
        limit_rps = draw.choice([0.7, 1.0, 2.0, 10.0, None])
        fleet.schedule(
            draw.uniform(8, 40),
            functools.partial(fleet.change_limit, limit_rps),
        )
    fleet.run(60.0)
    assert fleet.find_excess() == []


# Guards against a fleet in which each gateway keeps the whole limit.
def test_whole_limit_at_each_gateway_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        rate_limits, "count_senders", lambda limit_rps, members: members
    )
    monkeypatch.setattr(
        rate_limits,
        "compute_share",
        lambda limit_rps, members: rate_limits.Share(limit_rps, 99),
    )
    fleet = Fleet(1, 20, 1.0, 4.0)
    fleet.run(30.0)
    assert fleet.find_excess()


def make_limits(members: int = 1, host: str = "g0") -> rate_limits.RateLimits:
    limits = rate_limits.RateLimits(host, f"{host}-1")
    limits.set_members(f"g{n}" for n in range(members))
    return limits


def make_notice(
    number: int, limit_rps: float | None, age_s: float = 0.0
) -> rate_limits.LimitNotice:
    return rate_limits.LimitNotice(
        INCARNATION, limit_rps, "g9-1", number, age_s
    )


def test_endpoint_without_a_limit_takes_all() -> None:
    limits = make_limits(68)
    assert all(limits.try_acquire(INCARNATION, 0.0) for _ in range(100))
    assert not limits.is_limited(INCARNATION)


def test_requests_from_before_the_limit_count_in_its_window() -> None:
    limits = make_limits()
    for _ in range(20):
        assert limits.try_acquire(INCARNATION, 0.0)
    limits.record_answer(INCARNATION, 2.0, 0.0, 0.1)
    # Tokens for two requests have been saved up by then.
    assert limits.measure_wait(INCARNATION, 3.0) == pytest.approx(1.0)
    assert limits.try_acquire(INCARNATION, 4.1)


def test_limit_ends_with_an_answer_to_a_later_request_only() -> None:
    limits = make_limits()
    assert limits.record_answer(INCARNATION, 1.0, 0.0, 1.0)
    assert not limits.record_answer(INCARNATION, None, 0.9, 1.1)
    assert limits.is_limited(INCARNATION)
    assert limits.record_answer(INCARNATION, None, 1.2, 1.3)
    assert not limits.is_limited(INCARNATION)
    assert limits.try_acquire(INCARNATION, 1.3)


def test_next_process_at_an_address_has_no_limit() -> None:
    limits = make_limits()
    limits.record_answer(INCARNATION, 1.0, 0.0, 1.0)
    later = INCARNATION._replace(started_ms=2000)
    assert limits.measure_wait(later, 1.0) == 0
    assert limits.measure_wait(INCARNATION, 1.0) > 0


def test_notice_that_comes_back_changes_nothing() -> None:
    limits = make_limits()
    assert limits.merge_notice(make_notice(1, 1.0), 1.0)
    assert limits.merge_notice(make_notice(2, None), 2.0)
    assert not limits.merge_notice(make_notice(1, 1.0), 3.0)
    assert not limits.merge_notice(make_notice(2, None), 3.0)
    assert not limits.is_limited(INCARNATION)
    limits.record_answer(INCARNATION, 4.0, 3.0, 3.0)
    notice, _ = limits.list_notices(3.0)[0]
    assert not limits.merge_notice(notice._replace(limit_rps=9.0), 4.0)
    assert limits.limits[INCARNATION].limit_rps == 4.0


@pytest.mark.parametrize("limit_rps", [0.0, -1.0, 1e-320, 1e300, math.nan])
def test_notice_with_an_invalid_limit_changes_nothing(
    limit_rps: float,
) -> None:
    limits = make_limits()
    assert not limits.merge_notice(make_notice(1, limit_rps), 1.0)
    assert limits.measure_wait(INCARNATION, 1.0) == 0


@pytest.mark.parametrize(
    "limit_rps", [rate_limits.MIN_LIMIT_RPS, rate_limits.MAX_LIMIT_RPS]
)
def test_extreme_limits_leave_waits_finite(limit_rps: float) -> None:
    for members in FLEETS:
        directory = endpoints.Directory(limits=make_limits(members))
        directory.put(ENDPOINT, 1)
        directory.limits.record_answer(INCARNATION, limit_rps, 0.0, 0.0)
        wait_s = directory.measure_wait("api", 0.0)
        assert wait_s is None or 0 <= wait_s <= rate_limits.MAX_RETURN_S


def test_older_answer_does_not_replace_a_later_one() -> None:
    limits = make_limits()
    limits.record_answer(INCARNATION, 4.0, 9.0, 10.0)
    assert not limits.merge_notice(make_notice(1, None, age_s=3.0), 11.0)
    assert limits.is_limited(INCARNATION)


def test_same_limit_is_announced_again_after_a_while_only() -> None:
    limits = make_limits()
    limits.record_answer(INCARNATION, 4.0, 0.0, 0.0)
    limits.record_answer(INCARNATION, 4.0, 1.0, 1.0)
    assert limits.limits[INCARNATION].number == 1
    assert not limits.record_answer(INCARNATION, 4.0, 2.0, 2.5)
    assert limits.limits[INCARNATION].number == 2


def list_senders(fleet: list[rate_limits.RateLimits], now_s: float) -> int:
    for limits in fleet:
        limits.measure_wait(INCARNATION, now_s)
    return sum(bool(x.limits[INCARNATION].sends) for x in fleet)


@pytest.mark.parametrize("gateways", FLEETS)
def test_number_of_senders_follows_the_limit(gateways: int) -> None:
    fleet = [make_limits(gateways, f"g{n}") for n in range(gateways)]
    for limit_rps, expected in ((0.1, 2), (1.0, 2), (10.0, 7), (1e6, 9999)):
        for limits in fleet:
            limits.record_answer(INCARNATION, limit_rps, 0.0, 0.0)
        assert list_senders(fleet, 1.0) == min(expected, gateways)


def test_gateway_that_becomes_a_sender_waits_for_the_one_before() -> None:
    fleet = [make_limits(20, f"g{n}") for n in range(20)]
    for limits in fleet:
        limits.record_answer(INCARNATION, 1.0, 0.0, 0.0)
        limits.measure_wait(INCARNATION, 0.0)
    first = next(x for x in fleet if x.limits[INCARNATION].sends)
    last = next(x for x in fleet if not x.limits[INCARNATION].sends)
    last.set_members(["g99"])
    assert last.measure_wait(INCARNATION, 8.0) == rate_limits.HOLD_OFF_S
    assert first.measure_wait(INCARNATION, 8.0) == 0


def test_unconfirmed_limit_is_probed_by_one_gateway_after_the_other() -> None:
    fleet = [make_limits(340, f"g{n}") for n in range(340)]
    for limits in fleet:
        limits.record_answer(INCARNATION, 1.0, 0.0, 0.0)
    # The senders have no requests. Step by a tenth of a second.
    times = [
        step / 10
        for step in range(400)
        for limits in fleet
        if limits.measure_wait(INCARNATION, step / 10) == 0
        and not limits.limits[INCARNATION].sends
        and limits.try_acquire(INCARNATION, step / 10)
    ]
    assert times[0] >= rate_limits.CONFIRM_S
    for index, start_s in enumerate(times):
        window = bisect.bisect_left(times, start_s + WINDOW_S) - index
        assert window <= WINDOW_S


def test_refused_clients_return_one_after_the_other() -> None:
    directory = endpoints.Directory(limits=make_limits(4))
    directory.put(ENDPOINT, 1)
    directory.limits.record_answer(INCARNATION, 10.0, 0.0, 0.0)
    waits = [directory.measure_wait("api", 0.0) for _ in range(60)]
    early = [w for w in waits[:19] if w is not None]
    assert len(early) == 19
    # Eight a second for four gateways: two a second for this one.
    assert all(
        b - a == pytest.approx(0.5) for a, b in itertools.pairwise(early)
    )
    assert all(
        w is not None and 0 < w <= rate_limits.MAX_RETURN_S for w in waits
    )
    assert len(set(waits)) == len(waits)


def test_service_with_an_endpoint_without_limit_refuses_nobody() -> None:
    directory = endpoints.Directory(limits=make_limits(4))
    other = ENDPOINT._replace(name="e2", address="10.0.0.2:80")
    directory.put(ENDPOINT, 1)
    directory.put(other, 1)
    directory.limits.record_answer(INCARNATION, 1.0, 0.0, 0.0)
    assert directory.list_usable("api", 0.0) == [other]
    assert directory.measure_wait("api", 0.0) is None


def test_wait_and_limit_of_an_endpoint_both_hold() -> None:
    directory = endpoints.Directory(limits=make_limits())
    directory.put(ENDPOINT, 1)
    directory.limits.record_answer(INCARNATION, 100.0, 0.0, 0.0)
    directory.record_wait(ENDPOINT, 0.0, 3.0)
    assert directory.list_usable("api", 2.9) == []
    assert directory.measure_wait("api", 1.0) == pytest.approx(2.0)
    assert directory.list_usable("api", 3.1) == [ENDPOINT]
    directory.record_leaving(ENDPOINT)
    assert directory.list_usable("api", 3.1) == []


def test_memory_of_limits_is_bounded() -> None:
    limits = make_limits()
    for number in range(3 * rate_limits.MAX_KEPT):
        incarnation = exclusions.Incarnation(f"x{number}", 1, "10.0.0.9:80")
        limits.try_acquire(incarnation, 0.0)
        limits.record_answer(incarnation, 1.0, 0.0, 0.0)
    for number in range(200):
        limits.merge_notice(
            rate_limits.LimitNotice(INCARNATION, 1.0, f"o{number}", 1, 0.0),
            float(number),
        )
    limits.trim({"e1"}, 300.0)
    assert len(limits.limits) == rate_limits.MAX_KEPT
    assert INCARNATION in limits.limits
    assert len(limits._sent) <= 1
    seen = limits.limits[INCARNATION].seen
    assert len(seen) == rate_limits.MAX_ORIGINS_KEPT
    limits.record_answer(INCARNATION, None, 400.0, 400.0)
    limits.trim({"e1"}, 500.0)
    assert INCARNATION not in limits.limits
