"""Order of candidates, host limits, subsets and endpoint reports."""

from __future__ import annotations

from tests.routing import samples

from cyclamenwing.routing import health
from cyclamenwing.routing import load
from cyclamenwing.routing import reports
from cyclamenwing.routing import scoring
from cyclamenwing.routing import subset
from cyclamenwing.routing import types

PREFIX = tuple(range(100, 116))
NOW = 100.0


def make_policy(
    candidates: list[types.Candidate],
) -> scoring.ScoringPolicy:
    policy = scoring.ScoringPolicy("z1")
    policy.order(samples.make_job("greeting"), candidates, 0.0)
    return policy


def pick(
    policy: scoring.ScoringPolicy,
    candidates: list[types.Candidate],
    now: float = NOW,
    prefix: tuple[int, ...] = PREFIX,
) -> str:
    job = samples.make_job("r", prefix=prefix)
    return policy.order(job, candidates, now)[0].host


def run_job(
    policy: scoring.ScoringPolicy,
    host: str,
    first_s: float,
    now: float = NOW,
) -> None:
    job = samples.make_job(f"{host}/{now}")
    policy.record_start(job, host, now)
    policy.record_first_bytes(job, host, now + first_s)
    policy.record_end(job, host, True, now + first_s)


def test_jobs_follow_own_choices_and_cache_events() -> None:
    hosts = [samples.make_candidate(name) for name in "abc"]
    policy = make_policy(hosts)
    policy.receive("b", samples.make_report(stored=PREFIX[:14]), NOW)
    assert pick(policy, hosts) == "b"
    policy.record_start(samples.make_job("x", prefix=PREFIX), "c", NOW)
    policy.record_end(samples.make_job("x", prefix=PREFIX), "c", True, NOW)
    assert pick(policy, hosts) == "c"
    policy.receive("c", samples.make_report(removed=PREFIX), NOW)
    assert pick(policy, hosts) == "b"
    policy.receive("b", samples.make_report(epoch=1), NOW)
    policy.receive("a", samples.make_report(stored=PREFIX[:14]), NOW)
    assert pick(policy, hosts) == "a"


def test_entries_choose_the_same_host_for_an_uncached_prefix() -> None:
    """Entries that choose different hosts would prefill the prefix at each."""
    hosts = [samples.make_candidate(name) for name in "abcdef"]
    picks = {
        prefix: {
            policy.order(samples.make_job(name, prefix=prefix), hosts, NOW)[
                0
            ].host
            for name, policy in (
                ("r1", make_policy(hosts)),
                ("r2", make_policy(hosts)),
            )
        }
        for prefix in (PREFIX, PREFIX[::-1], PREFIX[1:])
    }
    assert all(len(chosen) == 1 for chosen in picks.values())
    assert len(set.union(*picks.values())) > 1


def test_batch_jobs_leave_slots_to_interactive_jobs() -> None:
    """Batch jobs that fill a host would make interactive jobs wait."""
    hosts = [samples.make_candidate("a", load=20, reported_at=NOW)]
    policy = make_policy(hosts)
    policy.receive("a", samples.make_report(max_running=32), NOW)
    reserved = 32 // load.INTERACTIVE_DIVISOR
    for number in range(4):
        policy.record_start(samples.make_job(str(number)), "a", 0.0)
    free_slots: list[float] = []
    for entries in (1, 2):
        policy.set_entry_count(entries)
        free_slots.append(policy.count_free_slots(hosts, "batch"))
    # Own interactive jobs use the reserved slots and take none from batch
    # jobs, but the spare slots stay free.
    spare = 32 // load.SPARE_DIVISOR
    assert free_slots == [12 - spare, (12 - spare) / 2]
    assert 12 - reserved + 4 > 12 - spare


def test_delayed_load_report_is_corrected_by_own_jobs() -> None:
    """Jobs sent since the report would otherwise pile up at one host."""
    hosts = [
        samples.make_candidate(name, load=5, reported_at=NOW) for name in "ab"
    ]
    policy = make_policy(hosts)
    for number in range(3):
        policy.record_start(samples.make_job(str(number)), "a", NOW - 0.5)
    free_slots = load.UNREPORTED_LIMIT * 2 - 5 - 8
    assert policy.count_free_slots(hosts, "interactive") == free_slots
    assert pick(policy, hosts, prefix=()) == "b"


def test_limit_adapts_to_reports_and_reserves_interactive_slots() -> None:
    host = [samples.make_candidate("a", reported_at=NOW)]
    policy = make_policy(host)
    for number in range(20):
        policy.receive("a", samples.make_report(running=32), NOW + number)
    raised = policy.count_free_slots(host, "interactive")
    assert raised > load.INITIAL_LIMIT
    policy.receive("a", samples.make_report(running=9, waiting=1), NOW + 20)
    assert policy.count_free_slots(host, "interactive") == raised
    policy.receive("a", samples.make_report(running=32, waiting=1), NOW + 20)
    assert policy.count_free_slots(host, "interactive") == 32
    reserved = 32 // load.INTERACTIVE_DIVISOR
    assert policy.count_free_slots(host, "batch") == 32 - reserved
    policy.receive("a", samples.make_report(max_running=64), NOW + 20)
    assert policy.count_free_slots(host, "interactive") == 64


def test_zone_decides_only_between_equal_hosts() -> None:
    hosts = [
        samples.make_candidate("far", "z2"),
        samples.make_candidate("near"),
    ]
    policy = make_policy(hosts)
    picks = [
        policy.order(samples.make_job(str(number)), hosts, NOW)[0].host
        for number in range(100)
    ]
    assert picks.count("near") > 80
    busy = [hosts[0], samples.make_candidate("near", load=10, reported_at=NOW)]
    assert pick(policy, busy) == "far"


def test_slow_host_is_avoided_and_tried_again() -> None:
    """A slow host must not stay excluded after it has recovered."""
    hosts = [samples.make_candidate(name) for name in "ab"]
    policy = make_policy(hosts)
    for number in range(10):
        run_job(policy, "a", 0.4, NOW + number)
        run_job(policy, "b", 0.02, NOW + number)
    assert pick(policy, hosts, NOW + 11) == "b"
    loaded = [hosts[0], samples.make_candidate("b", load=4, reported_at=NOW)]
    assert pick(policy, loaded, NOW + 11) == "b"
    assert pick(policy, loaded, NOW + 300) == "a"


def test_bounded_share_of_failing_hosts_is_ejected() -> None:
    """Ejecting all failing hosts could leave too few to serve the load."""
    hosts = [samples.make_candidate(name) for name in "abcdef"]
    policy = make_policy(hosts)
    for name in "abcd":
        policy.record_failure(name, NOW)
    remaining = policy.order(samples.make_job("r"), hosts, NOW)
    bound = int(len(hosts) * health.MAX_EJECTED_SHARE)
    assert len(remaining) == len(hosts) - bound
    again = policy.order(samples.make_job("r"), hosts, NOW + 2.0)
    assert len(again) == len(hosts)
    policy.receive("e", samples.make_report(up=False), NOW)
    ordered = policy.order(samples.make_job("r"), hosts, NOW + 2.0)
    assert ordered[-1].host == "e"


def test_restarted_host_is_ramped_up_slowly() -> None:
    old = [samples.make_candidate(name) for name in "ab"]
    policy = make_policy(old)
    restarted = [old[0], samples.make_candidate("b", incarnation="i2")]
    assert pick(policy, restarted, prefix=()) == "a"


def test_subsets_are_stable_and_cover_all_hosts() -> None:
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


def test_reports_are_bounded_and_hold_the_longest_prefixes() -> None:
    board, controller = reports.ReportBoard(), reports.ReportController()
    blocks = list(range(96))
    event: reports.CacheEvent = {
        "seq": 1,
        "kind": "stored",
        "start": 0,
        "blocks": blocks,
    }
    controller.apply_events(board, [event])
    assert controller.make_report(board)["stored"] == [95, 63, 47]
    removed: reports.CacheEvent = {
        "seq": 3,
        "kind": "removed",
        "start": 0,
        "blocks": [95, 94],
    }
    controller.apply_events(board, [removed])
    assert controller.make_report(board)["removed"] == [95]
    assert board.last_seq == 3
    controller.record_cache_loss(board)
    assert (board.epoch, board.last_seq, board.up) == (1, 0, False)
