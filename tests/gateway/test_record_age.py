"""Upper bounds on the age of a dead process's record, by kind of evidence.

With too low a bound, tokens that the process has used would be freed and spent
twice; without a bound its holdings stay unusable.
"""

from __future__ import annotations

import random

import pytest

from cyclamenwing.gateway import record_age

CONTACTED = record_age.AgeEvidence(2.0, False, None)
SAW_OUTAGE = record_age.AgeEvidence(2.5, True, None)
RESTARTED = record_age.AgeEvidence(None, None, 1.5)
SAME_CLOCK = record_age.AgeEvidence(None, None, 1.5, 0.1)
CLOCK_AHEAD = record_age.AgeEvidence(None, None, 1.5, 0.7)
NO_EVIDENCE = record_age.AgeEvidence(None, None, None)


def make_dead(
    boot_s: float | None = None,
    wall_s: float | None = 1.2,
    age: record_age.Age | None = None,
    clock_lead_s: float | None = None,
) -> record_age.Predecessor:
    return record_age.Predecessor("a-1", {}, boot_s, wall_s, age, clock_lead_s)


@pytest.mark.parametrize(
    ("predecessor", "other_hosts", "evidence", "age"),
    [
        # The host did not restart.
        (make_dead(0.8), 3, [], record_age.Age(0.8, True)),
        # A peer with its gossip gives a bound; if all have it and none
        # received a late record, the late phase is excluded too.
        (make_dead(), 3, [CONTACTED], record_age.Age(2.0, True)),
        (
            make_dead(),
            2,
            [CONTACTED, CONTACTED],
            record_age.Age(2.0, False),
        ),
        (
            make_dead(),
            2,
            [CONTACTED, SAW_OUTAGE],
            record_age.Age(2.0, True),
        ),
        (
            make_dead(),
            2,
            [CONTACTED, NO_EVIDENCE],
            record_age.Age(2.0, True),
        ),
        # All hosts restarted and their clocks agree.
        (
            make_dead(),
            2,
            [RESTARTED, RESTARTED],
            record_age.Age(2.0, True),
        ),
        # A host has not reported, or there are too few hosts.
        (make_dead(), 3, [RESTARTED, RESTARTED], None),
        (make_dead(), 1, [RESTARTED], None),
        # A clock was set, or the records are too old.
        (make_dead(wall_s=4.5), 2, [RESTARTED, RESTARTED], None),
        (make_dead(wall_s=-0.1), 2, [RESTARTED, RESTARTED], None),
        (make_dead(wall_s=7.0), 2, [RESTARTED, RESTARTED], None),
        # Another process wrote the record in between.
        (make_dead(wall_s=None), 2, [RESTARTED, RESTARTED], None),
        (
            make_dead(wall_s=None),
            2,
            [CONTACTED],
            record_age.Age(2.0, True),
        ),
        (
            make_dead(wall_s=None, age=record_age.Age(0.9, True)),
            2,
            [],
            record_age.Age(0.9, True),
        ),
        # No host has evidence.
        (make_dead(), 2, [NO_EVIDENCE, NO_EVIDENCE], None),
        (make_dead(), 0, [], None),
        # The age by the boot clock is too large to be of use.
        (make_dead(40_000.0), 3, [], None),
        (
            make_dead(40_000.0),
            2,
            [RESTARTED, RESTARTED],
            record_age.Age(2.0, True),
        ),
    ],
)
def test_age_is_bounded_by_the_best_evidence(
    predecessor: record_age.Predecessor,
    other_hosts: int,
    evidence: list[record_age.AgeEvidence],
    age: record_age.Age | None,
) -> None:
    assert (
        record_age.bound_age(predecessor, other_hosts, other_hosts, evidence)
        == age
    )


@pytest.mark.parametrize(
    ("wall_s", "clock_lead_s", "evidence", "age_s"),
    [
        # All hosts were lost in an outage of the store, and this one had lost
        # the store before the others.
        (5.2, 0.0, [SAME_CLOCK] * 2, 5.3),
        (5.2, 0.2, [SAME_CLOCK] * 2, 5.5),
        # Some peers ran on or have no record, but their clocks agree.
        (
            5.2,
            0.0,
            [SAME_CLOCK, record_age.AgeEvidence(None, None, None, -0.1)],
            5.3,
        ),
        # All peers seem behind now, which a slow answer can't cause.
        (
            5.2,
            0.2,
            [record_age.AgeEvidence(None, None, None, -0.4)] * 2,
            5.4,
        ),
        # The clock may have been ahead when the record was written.
        (5.2, None, [SAME_CLOCK] * 2, None),
        # The clock was behind at the start of this process.
        (5.2, 0.0, [SAME_CLOCK, CLOCK_AHEAD], None),
        # A peer has not answered, or there are too few hosts.
        (5.2, 0.0, [SAME_CLOCK], None),
        # The clock was set back.
        (-0.1, 0.0, [SAME_CLOCK] * 2, None),
        # The bound is too large to be of use.
        (40_000.0, 0.0, [SAME_CLOCK] * 2, None),
    ],
)
def test_confirmed_clock_bounds_the_age_in_a_loss_of_all_hosts(
    wall_s: float,
    clock_lead_s: float | None,
    evidence: list[record_age.AgeEvidence],
    age_s: float | None,
) -> None:
    predecessor = make_dead(wall_s=wall_s, clock_lead_s=clock_lead_s)
    age = record_age.bound_age(predecessor, 2, 2, evidence)
    if age_s is None:
        assert age is None
    else:
        assert age is not None
        assert age.late
        assert age.elapsed_s == pytest.approx(age_s + record_age.CLOCK_DRIFT_S)


@pytest.mark.parametrize("seed", range(200))
def test_age_of_a_lost_fleet_is_never_too_low_and_little_too_high(
    seed: int,
) -> None:
    """Set the clock of one host at any time between record and restart."""
    chooser = random.Random(seed)
    elapsed_s = chooser.uniform(0.0, 9.0)
    # Errors of the clocks of this host and its peers, in seconds.
    own_s, *peers_s = (chooser.uniform(-0.2, 0.2) for _ in range(5))
    delays_s = [chooser.uniform(0.0, 0.1) for _ in peers_s]
    clock_lead_s = record_age.bound_clock_lead(
        1000.0 + own_s,
        [
            1000.0 + peer_s - delay_s
            for peer_s, delay_s in zip(peers_s, delays_s, strict=True)
        ],
        len(peers_s),
    )
    set_clock = chooser.choice(["none", "own", "peer"])
    step_s = chooser.uniform(-3.0, 3.0)
    if set_clock == "own":
        own_s += step_s
    elif set_clock == "peer":
        peers_s[0] += step_s
    shown_s = elapsed_s + (step_s if set_clock == "own" else 0.0)
    predecessor = make_dead(wall_s=shown_s, clock_lead_s=clock_lead_s)
    evidence = [
        record_age.AgeEvidence(None, None, None, peer_s - own_s + delay_s)
        for peer_s, delay_s in zip(peers_s, delays_s, strict=True)
    ]
    age = record_age.bound_age(
        predecessor, len(peers_s), len(peers_s), evidence
    )
    if age is not None:
        assert age.elapsed_s >= elapsed_s
    if set_clock == "none" and clock_lead_s is not None and age is not None:
        leads_s = [e.clock_lead_s or 0.0 for e in evidence]
        worst_s = clock_lead_s + max(*leads_s, 0.0)
        assert age.elapsed_s <= elapsed_s + worst_s + record_age.CLOCK_DRIFT_S


def test_little_more_than_the_age_is_counted_where_clocks_agree() -> None:
    clock_lead_s = record_age.bound_clock_lead(50.0, [49.99] * 4, 4)
    predecessor = make_dead(wall_s=5.1, clock_lead_s=clock_lead_s)
    evidence = [record_age.AgeEvidence(None, None, 5.1, 0.02)] * 4
    age = record_age.bound_age(predecessor, 4, 4, evidence)
    assert age is not None
    assert age.elapsed_s <= 5.1 + 0.1


@pytest.mark.parametrize(
    ("wall_s", "peer_walls", "lead_s"),
    [
        (100.0, [100.1, 99.9], 0.1),
        # Set back: the age is too large, which is safe.
        (98.0, [100.1, 99.9], 0.0),
        # Set ahead.
        (102.0, [100.1, 99.9], None),
        (100.6, [100.6, 100.0], None),
        # Too few peers.
        (100.0, [100.1], None),
        (100.0, [], None),
    ],
)
def test_clock_is_confirmed_unless_it_is_ahead_of_a_peer(
    wall_s: float, peer_walls: list[float], lead_s: float | None
) -> None:
    lead = record_age.bound_clock_lead(wall_s, peer_walls, 2)
    assert lead == (None if lead_s is None else pytest.approx(lead_s))
