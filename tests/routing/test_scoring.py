from __future__ import annotations

from tests.routing import samples

from cyclamenwing.routing import health
from cyclamenwing.routing import load
from cyclamenwing.routing import reports
from cyclamenwing.routing import scoring
from cyclamenwing.routing import subset
from cyclamenwing.routing import types

PREFIX = tuple(range(100, 116))
OLD = 100.0


def make_policy(
    candidates: list[types.Candidate],
) -> scoring.ScoringPolicy:
    policy = scoring.ScoringPolicy("z1")
    policy.order(samples.make_job("greeting"), candidates, 0.0)
    return policy


def pick(
    policy: scoring.ScoringPolicy,
    candidates: list[types.Candidate],
    now: float = OLD,
    prefix: tuple[int, ...] = PREFIX,
) -> str:
    job = samples.make_job("r", prefix=prefix)
    return policy.order(job, candidates, now)[0].host


def run_job(
    policy: scoring.ScoringPolicy,
    host: str,
    first_s: float,
    now: float = OLD,
) -> None:
    job = samples.make_job(f"{host}/{now}")
    policy.record_start(job, host, now)
    policy.record_first_bytes(job, host, now + first_s)
    policy.record_end(job, host, True, now + first_s)


def test_own_choices_and_cache_events_attract() -> None:
    hosts = [samples.make_candidate(name) for name in "abc"]
    policy = make_policy(hosts)
    policy.receive("b", samples.make_news(stored=PREFIX[:14]), OLD)
    assert pick(policy, hosts) == "b"
    policy.record_start(samples.make_job("x", prefix=PREFIX), "c", OLD)
    policy.record_end(samples.make_job("x", prefix=PREFIX), "c", True, OLD)
    assert pick(policy, hosts) == "c"
    policy.receive("c", samples.make_news(removed=PREFIX), OLD)
    assert pick(policy, hosts) == "b"
    policy.receive("b", samples.make_news(epoch=1), OLD)
    policy.receive("a", samples.make_news(stored=PREFIX[:14]), OLD)
    assert pick(policy, hosts) == "a"


def test_entries_place_an_unknown_prefix_alike() -> None:
    hosts = [samples.make_candidate(name) for name in "abcdef"]
    picks = {
        prefix: {
            policy.order(samples.make_job(name, prefix=prefix), hosts, OLD)[
                0
            ].host
            for name, policy in (
                ("r1", make_policy(hosts)),
                ("r2", make_policy(hosts)),
            )
        }
        for prefix in (PREFIX, PREFIX[::-1], PREFIX[1:])
    }
    assert all(len(alike) == 1 for alike in picks.values())
    assert len(set.union(*picks.values())) > 1


def test_batch_leaves_places_to_interactive() -> None:
    hosts = [samples.make_candidate("a", load=20, reported_at=OLD)]
    policy = make_policy(hosts)
    policy.receive("a", samples.make_news(max_running=32), OLD)
    kept = 32 // load.INTERACTIVE_DIVISOR
    for number in range(4):
        policy.record_start(samples.make_job(str(number)), "a", 0.0)
    rooms: list[float] = []
    for entries in (1, 2):
        policy.set_entry_count(entries)
        rooms.append(policy.count_free_slots(hosts, "batch"))
    # Own interactive jobs take none of the batch jobs' places, yet some
    # places stay free.
    spare = 32 // load.SPARE_DIVISOR
    assert rooms == [12 - spare, (12 - spare) / 2]
    assert 12 - kept + 4 > 12 - spare


def test_late_load_is_corrected_by_own_jobs() -> None:
    late = [
        samples.make_candidate(name, load=5, reported_at=OLD) for name in "ab"
    ]
    policy = make_policy(late)
    for number in range(3):
        policy.record_start(samples.make_job(str(number)), "a", OLD - 0.5)
    room = load.UNREPORTED_LIMIT * 2 - 5 - 8
    assert policy.count_free_slots(late, "interactive") == room
    assert pick(policy, late, prefix=()) == "b"


def test_limit_is_learnt_and_leaves_places_to_interactive() -> None:
    host = [samples.make_candidate("a", reported_at=OLD)]
    policy = make_policy(host)
    for number in range(20):
        policy.receive("a", samples.make_news(running=32), OLD + number)
    grown = policy.count_free_slots(host, "interactive")
    assert grown > load.INITIAL_LIMIT
    policy.receive("a", samples.make_news(running=9, waiting=1), OLD + 20)
    assert policy.count_free_slots(host, "interactive") == grown
    policy.receive("a", samples.make_news(running=32, waiting=1), OLD + 20)
    assert policy.count_free_slots(host, "interactive") == 32
    kept = 32 // load.INTERACTIVE_DIVISOR
    assert policy.count_free_slots(host, "batch") == 32 - kept
    policy.receive("a", samples.make_news(max_running=64), OLD + 20)
    assert policy.count_free_slots(host, "interactive") == 64


def test_zone_decides_between_equals_only() -> None:
    hosts = [
        samples.make_candidate("far", "z2"),
        samples.make_candidate("near"),
    ]
    policy = make_policy(hosts)
    picks = [
        policy.order(samples.make_job(str(number)), hosts, OLD)[0].host
        for number in range(100)
    ]
    assert picks.count("near") > 80
    busy = [hosts[0], samples.make_candidate("near", load=10, reported_at=OLD)]
    assert pick(policy, busy) == "far"


def test_slow_host_is_avoided_and_tried_again() -> None:
    hosts = [samples.make_candidate(name) for name in "ab"]
    policy = make_policy(hosts)
    for number in range(10):
        run_job(policy, "a", 0.4, OLD + number)
        run_job(policy, "b", 0.02, OLD + number)
    assert pick(policy, hosts, OLD + 11) == "b"
    loaded = [hosts[0], samples.make_candidate("b", load=4, reported_at=OLD)]
    assert pick(policy, loaded, OLD + 11) == "b"
    assert pick(policy, loaded, OLD + 300) == "a"


def test_failing_hosts_are_ejected_up_to_a_share() -> None:
    hosts = [samples.make_candidate(name) for name in "abcdef"]
    policy = make_policy(hosts)
    for name in "abcd":
        policy.record_failure(name, OLD)
    kept = policy.order(samples.make_job("r"), hosts, OLD)
    bound = int(len(hosts) * health.MAX_EJECTED_SHARE)
    assert len(kept) == len(hosts) - bound
    again = policy.order(samples.make_job("r"), hosts, OLD + 2.0)
    assert len(again) == len(hosts)
    policy.receive("e", samples.make_news(up=False), OLD)
    ordered = policy.order(samples.make_job("r"), hosts, OLD + 2.0)
    assert ordered[-1].host == "e"


def test_new_host_starts_slowly() -> None:
    old = [samples.make_candidate(name) for name in "ab"]
    policy = make_policy(old)
    restarted = [old[0], samples.make_candidate("b", incarnation="i2")]
    assert pick(policy, restarted, prefix=()) == "a"


def test_subset_is_stable_and_covers_all() -> None:
    hosts = [samples.make_candidate(f"h{number}") for number in range(100)]
    assert subset.pick_subset("e", hosts[:64]) == hosts[:64]
    picked = subset.pick_subset("e", hosts)
    assert len(picked) == subset.MAX_CANDIDATES
    fewer = subset.pick_subset("e", hosts[:99])
    assert len(set(picked) - set(fewer)) <= 1
    covered = {
        item.host
        for number in range(20)
        for item in subset.pick_subset(f"e{number}", hosts)
    }
    assert len(covered) == len(hosts)


def test_reports_are_bounded_and_tell_the_longest_prefixes() -> None:
    board, controller = reports.ReportBoard(), reports.ReportController()
    chain = list(range(96))
    event: reports.CacheEvent = {
        "seq": 1,
        "kind": "stored",
        "start": 0,
        "blocks": chain,
    }
    controller.apply_events(board, [event])
    assert controller.make_report(board)["stored"] == [95, 63, 47]
    gone: reports.CacheEvent = {
        "seq": 3,
        "kind": "removed",
        "start": 0,
        "blocks": [95, 94],
    }
    controller.apply_events(board, [gone])
    assert controller.make_report(board)["removed"] == [95]
    assert board.last_seq == 3
    controller.record_cache_loss(board)
    assert (board.epoch, board.last_seq, board.up) == (1, 0, False)
