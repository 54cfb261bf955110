"""Upper bounds on the age of a dead process's record, by kind of evidence.

With too low a bound, tokens that the process has used would be freed and spent
twice; without a bound its holdings stay unusable.
"""

from __future__ import annotations

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
    clock_confirmed: bool = False,
) -> record_age.Predecessor:
    return record_age.Predecessor(
        "a-1", {}, boot_s, wall_s, age, clock_confirmed
    )


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
    ("wall_s", "clock_confirmed", "evidence", "age"),
    [
        # All hosts were lost in an outage of the store, and this one had lost
        # the store before the others.
        (5.2, True, [SAME_CLOCK] * 2, record_age.Age(6.2, True)),
        # Some peers ran on or have no record, but their clocks agree.
        (
            5.2,
            True,
            [SAME_CLOCK, record_age.AgeEvidence(None, None, None, -0.1)],
            record_age.Age(6.2, True),
        ),
        # The clock may have been ahead when the record was written.
        (5.2, False, [SAME_CLOCK] * 2, None),
        # The clock was behind at the start of this process.
        (5.2, True, [SAME_CLOCK, CLOCK_AHEAD], None),
        # A peer has not answered, or there are too few hosts.
        (5.2, True, [SAME_CLOCK], None),
        # The clock was set back.
        (-0.1, True, [SAME_CLOCK] * 2, None),
        # The bound is too large to be of use.
        (40_000.0, True, [SAME_CLOCK] * 2, None),
    ],
)
def test_confirmed_clock_bounds_the_age_in_a_loss_of_all_hosts(
    wall_s: float,
    clock_confirmed: bool,
    evidence: list[record_age.AgeEvidence],
    age: record_age.Age | None,
) -> None:
    predecessor = make_dead(wall_s=wall_s, clock_confirmed=clock_confirmed)
    assert record_age.bound_age(predecessor, 2, 2, evidence) == age


@pytest.mark.parametrize(
    ("wall_s", "peer_walls", "confirmed"),
    [
        (100.0, [100.1, 99.9], True),
        # Set back: the age is too large, which is safe.
        (98.0, [100.1, 99.9], True),
        # Set ahead.
        (102.0, [100.1, 99.9], False),
        (100.6, [100.6, 100.0], False),
        # Too few peers.
        (100.0, [100.1], False),
        (100.0, [], False),
    ],
)
def test_clock_is_confirmed_unless_it_is_ahead_of_a_peer(
    wall_s: float, peer_walls: list[float], confirmed: bool
) -> None:
    assert record_age.confirm_clock(wall_s, peer_walls, 2) == confirmed
