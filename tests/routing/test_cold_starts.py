"""Evidence of cold endpoints: late, repeated, from peers, of other processes.

Load pattern: entries and notices arrive up to two seconds late while endpoints
crash and come back under the same name, and their service's terms may be known
after them.
"""

from __future__ import annotations

import random

import pytest

from cyclamenwing.routing import cold_marks
from cyclamenwing.routing import cold_starts
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import exclusions
from cyclamenwing.routing import rate_limits

TERMS = cold_marks.ColdTerms(3.0, 5.6)
WALL_S = 1_700_000_000.0
OLD = exclusions.Incarnation("e1", int((WALL_S - 3600) * 1000), "10.0.0.1:80")


def make_starts(origin: str = "g0-1") -> cold_starts.ColdStarts:
    starts = cold_starts.ColdStarts(origin)
    starts.set_terms({"api": TERMS})
    read_entry(starts, OLD, 0.0, 0.0)
    return starts


def read_entry(
    starts: cold_starts.ColdStarts,
    incarnation: exclusions.Incarnation,
    left_s: float,
    now_s: float,
    live: bool = True,
) -> bool:
    return starts.record_entry(
        incarnation, "api", left_s, now_s, WALL_S + now_s, live
    )


def start_at(started_s: float) -> exclusions.Incarnation:
    return OLD._replace(started_ms=int((WALL_S + started_s) * 1000))


def make_notice(
    number: int, left_s: float | None, source: str, **settled: int
) -> cold_marks.ColdNotice:
    return cold_marks.ColdNotice(OLD, left_s, source, "g9", number, 0, settled)


def test_endpoint_that_started_long_ago_is_warm() -> None:
    starts = make_starts()
    assert starts.read(OLD, 0.0) is None
    assert not starts.marks


@pytest.mark.parametrize("live", [True, False])
def test_entry_with_a_remaining_time_makes_cold_for_it(live: bool) -> None:
    starts = make_starts()
    assert read_entry(starts, start_at(9.0), 2.0, 10.0, live)
    assert starts.measure_cold(start_at(9.0), 10.0) == pytest.approx(2.0)


# Guards against gateways that start after the endpoint, and against clocks
# that are a little ahead.
@pytest.mark.parametrize("live", [True, False])
def test_recent_start_makes_cold_for_the_rest(live: bool) -> None:
    starts = make_starts()
    assert read_entry(starts, start_at(8.0), 0.0, 10.0, live)
    left_s = starts.measure_cold(start_at(8.0), 10.0)
    assert left_s == pytest.approx(1.0 + cold_starts.CLOCK_TOLERANCE_S)


def test_limit_doubles_three_times_and_ends() -> None:
    starts = make_starts()
    starts.mark_cold([OLD], 2.0, "test", 10.0)
    limits = [starts.read(OLD, 10.0 + n / 4) for n in range(15)]
    rates = [x.limit_rps / TERMS.limit_rps if x else None for x in limits]
    assert rates == [1] * 8 + [2, 2, 4, 4, 8, 8, None]


# Guards against a heartbeat that renews the cold time.
def test_entry_that_says_the_same_again_changes_nothing() -> None:
    starts = make_starts()
    assert read_entry(starts, OLD, 2.0, 10.0)
    assert not read_entry(starts, OLD, 2.0, 11.5)
    assert starts.measure_cold(OLD, 11.5) == pytest.approx(0.5)


def test_endpoint_turns_cold_again_with_the_same_start() -> None:
    starts = make_starts()
    read_entry(starts, OLD, 2.0, 10.0)
    read_entry(starts, OLD, 0.0, 12.0)
    assert read_entry(starts, OLD, 2.0, 20.0)
    assert starts.measure_cold(OLD, 20.0) == pytest.approx(2.0)


def test_length_that_is_known_late_prolongs_the_cold_time() -> None:
    starts = make_starts()
    incarnation = start_at(10.0)
    read_entry(starts, incarnation, 0.0, 10.5)
    read_entry(starts, incarnation, 8.0, 12.0)
    assert starts.measure_cold(incarnation, 12.0) == pytest.approx(8.0)


def test_terms_that_are_known_after_the_entry_hold_for_it() -> None:
    starts = cold_starts.ColdStarts("g0-1")
    incarnation = start_at(10.0)
    read_entry(starts, incarnation, 0.0, 10.5, live=False)
    assert starts.read(incarnation, 10.5) is None
    starts.set_terms({"api": TERMS})
    assert starts.measure_cold(incarnation, 10.5) > 2.5


def test_older_copy_of_the_store_changes_nothing() -> None:
    starts = make_starts()
    read_entry(starts, start_at(9.0), 0.0, 10.0)
    assert not read_entry(starts, OLD, 5.0, 11.0)
    assert starts.read(OLD, 11.0) is None


# Guards against an entry of the former process that ends the limit of the
# one that is about to come back.
def test_endpoint_that_refused_is_down_until_a_later_answer() -> None:
    starts = make_starts()
    assert starts.record_refused(OLD, 10.0)
    assert not starts.record_refused(OLD, 10.5)
    read_entry(starts, OLD, 0.5, 11.0)
    starts.record_answer(OLD, None, 10.4, 11.5)
    assert starts.marks[OLD].down
    starts.record_answer(OLD, None, 12.0, 12.5)
    assert starts.measure_cold(OLD, 12.5) == pytest.approx(3.0)
    # Later answers don't prolong it.
    starts.record_answer(OLD, None, 13.0, 14.0)
    assert starts.measure_cold(OLD, 14.0) == pytest.approx(1.5)


def test_entry_does_not_end_the_time_for_which_an_endpoint_is_down() -> None:
    starts = make_starts()
    starts.record_refused(OLD, 10.0)
    read_entry(starts, OLD, 30.0, 11.0)
    assert starts.marks[OLD].down


def test_endpoint_that_nobody_tries_is_not_down_for_ever() -> None:
    starts = make_starts()
    starts.record_refused(OLD, 10.0)
    assert starts.read(OLD, 10.0 + cold_marks.DOWN_S - 0.1)
    assert starts.read(OLD, 14.0 + cold_marks.DOWN_S) is None


def test_remaining_time_in_an_answer_is_exact() -> None:
    starts = make_starts()
    assert starts.record_answer(OLD, 4.0, 9.9, 10.0)
    starts.record_answer(OLD, 1.0, 10.9, 11.0)
    assert starts.measure_cold(OLD, 11.0) == pytest.approx(1.0)
    starts.record_answer(OLD, 0.0, 11.4, 11.5)
    assert starts.measure_cold(OLD, 11.5) == 0.0
    assert not starts.record_answer(OLD, 0.0, 30.0, 30.0)


# Guards against notices whose time on the way makes them look newer.
def test_notice_of_an_answer_from_before_the_crash_does_not_end_it() -> None:
    starts = make_starts()
    starts.record_refused(OLD, 10.0)
    number = starts.marks[OLD].number
    unaware = make_notice(1, 3.0, cold_marks.ANSWERED)
    starts.merge_notice(unaware, 12.0)
    assert starts.marks[OLD].down
    aware = make_notice(2, 3.0, cold_marks.ANSWERED, **{"g0-1": number})
    starts.merge_notice(aware, 13.0)
    assert starts.measure_cold(OLD, 13.0) == pytest.approx(3.0)


def test_refusal_that_is_reported_after_the_answer_changes_nothing() -> None:
    starts = make_starts()
    starts.merge_notice(make_notice(5, 3.0, cold_marks.ANSWERED, g8=2), 10.0)
    late = make_notice(2, None, cold_marks.REFUSED)._replace(origin="g8")
    starts.merge_notice(late, 11.0)
    assert not starts.marks[OLD].down


# Guards against the wait for the next round of gossip, a second in large
# fleets, and against a round for each refusal.
def test_peers_are_told_at_once_of_what_only_this_gateway_knows() -> None:
    starts = make_starts()
    read_entry(starts, start_at(9.0), 3.0, 10.0)
    assert not starts.take_urgent(10.0)
    starts.record_refused(OLD, 10.0)
    assert starts.take_urgent(10.0)
    starts.record_refused(OLD, 10.1)
    assert not starts.take_urgent(11.0)
    other = OLD._replace(name="e2")
    read_entry(starts, other, 0.0, 11.0)
    starts.record_answer(other, 3.0, 11.0, 11.1)
    assert starts.take_urgent(11.1)
    starts.record_answer(other, 5.0, 11.2, 11.3)
    assert not starts.take_urgent(12.0)
    peer = make_starts("g1-1")
    for notice, _ in starts.list_notices(12.0):
        peer.merge_notice(notice, 12.2)
    assert peer.take_urgent(12.2)


def test_notice_that_comes_back_changes_nothing() -> None:
    starts = make_starts()
    starts.mark_cold([OLD], 3.0, "test", 10.0)
    notice, _ = starts.list_notices(10.0)[0]
    assert not starts.merge_notice(notice, 12.0)
    other = make_starts("g1-1")
    assert other.merge_notice(notice, 11.0, "g0")
    assert not other.merge_notice(notice, 12.9, "g0")
    assert other.measure_cold(OLD, 12.9) == pytest.approx(1.1)


@pytest.mark.parametrize("left_s", [-1.0, 1e9])
def test_notice_with_an_invalid_time_changes_nothing(left_s: float) -> None:
    starts = make_starts()
    assert not starts.merge_notice(make_notice(1, left_s, "entry"), 1.0)
    assert not starts.marks


# Guards against marks that differ for long after the last news has arrived.
@pytest.mark.parametrize("seed", range(20))
def test_gateways_agree_once_all_notices_have_arrived(seed: int) -> None:
    draw = random.Random(seed)
    fleet = [make_starts(f"g{n}-1") for n in range(5)]
    notices: list[tuple[float, cold_marks.ColdNotice]] = []
    for step in range(12):
        now_s = 10.0 + step * 0.3
        starts = draw.choice(fleet)
        action = draw.randrange(3)
        if action == 0:
            starts.record_refused(OLD, now_s)
        else:
            left_s = None if action == 1 else 2.0
            starts.record_answer(OLD, left_s, now_s, now_s)
        notices += [
            (now_s + draw.uniform(0.2, 2.0), notice)
            for notice, _ in starts.list_notices(now_s)
            if draw.random() < 0.8
        ]
    for at_s, notice in sorted(notices, key=lambda x: x[0]):
        for starts in fleet:
            starts.merge_notice(notice, at_s)
    # A sender uses it, gets an answer and tells the others.
    sender = fleet[0]
    sender.record_answer(OLD, 3.0, 16.0, 16.1)
    notice, _ = sender.list_notices(16.1)[0]
    for starts in fleet[1:]:
        starts.merge_notice(notice, 17.0)
    assert all(2 < s.measure_cold(OLD, 16.2) < 12 for s in fleet)


def test_service_without_terms_is_never_cold() -> None:
    directory = endpoints.Directory(limits=rate_limits.RateLimits("g0", "g0"))
    starts = directory.limits.cold.starts
    starts.set_terms({"other": TERMS})
    entry = endpoints.Endpoint(
        "e1", "api", "10.0.0.1:80", "a", 6, False, OLD.started_ms, "", 60.0
    )
    directory.record_cold_entry(entry, 0.0, WALL_S, live=True)
    directory.put(entry, 1)
    starts.record_refused(OLD, 1.0)
    starts.record_answer(OLD, 60.0, 1.0, 2.0)
    starts.merge_notice(make_notice(1, 3.0, "entry"), 2.0)
    assert not directory.mark_cold([OLD], 3.0, "test", 2.0)
    assert not directory.limits.any_limited
    for _ in range(100):
        assert len(directory.list_usable("api", 2.0)) == 1
        assert directory.limits.try_acquire(OLD, 2.0)


# Guards against an entry that looks changed whenever its remaining time is.
def test_remaining_time_does_not_change_the_directory() -> None:
    directory = endpoints.Directory()
    entry = endpoints.Endpoint("e1", "api", "10.0.0.1:80", "a", 6, False, 7)
    assert directory.put(entry._replace(cold_remaining_s=3.0), 1)
    assert not directory.put(entry, 2)


def make_directory() -> endpoints.Directory:
    directory = endpoints.Directory(limits=rate_limits.RateLimits("g0", "g0"))
    directory.limits.cold.starts.set_terms({"api": TERMS})
    entry = endpoints.Endpoint(
        "e1", "api", OLD.address, "a", 6, False, OLD.started_ms
    )
    directory.record_cold_entry(entry, 0.0, WALL_S, live=False)
    directory.put(entry, 1)
    return directory


# Guards against requests from before that are left out, also those to the
# process before under the same name and address.
def test_requests_from_before_the_cold_time_count_in_its_window() -> None:
    directory = make_directory()
    limits = directory.limits
    for _ in range(20):
        assert limits.try_acquire(OLD, 9.9)
    later = start_at(9.8)
    entry = directory.registered["e1"]._replace(started_ms=later.started_ms)
    directory.record_cold_entry(entry, 10.0, WALL_S + 10.0, live=True)
    directory.put(entry, 2)
    limits.measure_wait(later, 10.0)
    assert limits.measure_wait(later, 10.8) == pytest.approx(0.1)
    assert limits.try_acquire(later, 10.95)


def test_named_and_cold_limit_both_hold() -> None:
    directory = make_directory()
    limits = directory.limits
    directory.mark_cold([OLD], 60.0, "test", 0.0)
    limits.record_answer(OLD, 0.5, 0.0, 0.0)
    assert limits.count_limits(OLD, 0.0) == 2
    sent = sum(limits.try_acquire(OLD, n / 10) for n in range(200))
    # 0.8 of a half a second for 20 s, and a burst of two.
    assert sent <= 0.8 * 0.5 * 20 + 2
    limits.record_answer(OLD, 500.0, 20.0, 20.0)
    sent = sum(limits.try_acquire(OLD, 30 + n / 100) for n in range(100))
    assert 0 < sent <= TERMS.limit_rps + 2


# Guards against answers of another process that use up the limit.
def test_request_that_another_process_got_does_not_count() -> None:
    directory = make_directory()
    limits = directory.limits
    directory.mark_cold([OLD], 60.0, "test", 0.0)
    limits.measure_wait(OLD, 0.0)
    for step in range(20):
        now_s = 10.0 + step / 100
        assert limits.try_acquire(OLD, now_s)
        limits.release(OLD, now_s, now_s)


def test_memory_of_marks_is_bounded() -> None:
    starts = make_starts()
    for number in range(3 * cold_marks.MAX_KEPT):
        incarnation = OLD._replace(name=f"x{number}")
        read_entry(starts, incarnation, 5.0, 0.0)
    for number in range(200):
        starts.merge_notice(
            make_notice(1, 3.0 + number, "entry")._replace(
                origin=f"o{number}"
            ),
            0.0,
        )
    starts.trim({"e1"}, 0.0)
    assert len(starts.marks) == cold_marks.MAX_KEPT
    assert len(starts._entries) == cold_marks.MAX_KEPT
    assert len(starts.marks[OLD].seen) == cold_marks.MAX_ORIGINS_KEPT
    assert starts.trim({"e1"}, 300.0)
    assert not starts.marks
