"""Age of a dead process's record: every proof, and what proves nothing."""

from __future__ import annotations

import pytest

from cyclamenwing.gateway import record_age

HEARD = record_age.Statement(2.0, False, None)
NOTICED = record_age.Statement(2.5, True, None)
RESTARTED = record_age.Statement(None, None, 1.5)
UNKNOWING = record_age.Statement(None, None, None)


def make_dead(
    boot_s: float | None = None,
    wall_s: float | None = 1.2,
    age: record_age.Age | None = None,
) -> record_age.Predecessor:
    return record_age.Predecessor("a-1", {}, boot_s, wall_s, age)


@pytest.mark.parametrize(
    ("dead", "hosts", "statements", "age"),
    [
        # The host did not restart.
        (make_dead(0.8), 3, [], record_age.Age(0.8, True)),
        # A peer that heard it gives a bound; all of them also its part.
        (make_dead(), 3, [HEARD], record_age.Age(2.0, True)),
        (make_dead(), 2, [HEARD, HEARD], record_age.Age(2.0, False)),
        (make_dead(), 2, [HEARD, NOTICED], record_age.Age(2.0, True)),
        (make_dead(), 2, [HEARD, UNKNOWING], record_age.Age(2.0, True)),
        # All hosts restarted and their clocks agree.
        (make_dead(), 2, [RESTARTED, RESTARTED], record_age.Age(2.0, True)),
        # One host is missing, or there are too few.
        (make_dead(), 3, [RESTARTED, RESTARTED], None),
        (make_dead(), 1, [RESTARTED], None),
        # A clock was set, or the records are old.
        (make_dead(wall_s=4.5), 2, [RESTARTED, RESTARTED], None),
        (make_dead(wall_s=-0.1), 2, [RESTARTED, RESTARTED], None),
        (make_dead(wall_s=7.0), 2, [RESTARTED, RESTARTED], None),
        # Another process lived in between.
        (make_dead(wall_s=None), 2, [RESTARTED, RESTARTED], None),
        (make_dead(wall_s=None), 2, [HEARD], record_age.Age(2.0, True)),
        (
            make_dead(wall_s=None, age=record_age.Age(0.9, True)),
            2,
            [],
            record_age.Age(0.9, True),
        ),
        # Nobody knows anything.
        (make_dead(), 2, [UNKNOWING, UNKNOWING], None),
        (make_dead(), 0, [], None),
        # A boot clock that began anew proves nothing of use.
        (make_dead(40_000.0), 3, [], None),
        (
            make_dead(40_000.0),
            2,
            [RESTARTED, RESTARTED],
            record_age.Age(2.0, True),
        ),
    ],
)
def test_age_is_bounded_by_the_best_proof(
    dead: record_age.Predecessor,
    hosts: int,
    statements: list[record_age.Statement],
    age: record_age.Age | None,
) -> None:
    assert record_age.bound_age(dead, hosts, statements) == age
