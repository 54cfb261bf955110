"""Records of dead processes, as one process hands them to the next."""

from __future__ import annotations

import pytest

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import records
from cyclamenwing.gateway import succession

PROMISES = {"t1": escrow.UsageBound(100, 2.0, 3.0, 0.0)}
START = records.Start("boot-1", 50.0, 1000.0)


@pytest.mark.parametrize(
    ("dead", "age"),
    [
        (
            succession.Predecessor("a-1", PROMISES, 0.9, 1.0),
            succession.Age(0.9, True),
        ),
        (
            succession.Predecessor(
                "a-1", PROMISES, None, 1.0, succession.Age(2.0, False)
            ),
            succession.Age(2.0, False),
        ),
        (succession.Predecessor("a-1", PROMISES, None, 1.0), None),
        # Nothing is left free after this long: a better proof may come.
        (succession.Predecessor("a-1", PROMISES, 9858.0, 1.0), None),
    ],
)
def test_next_process_but_one_knows_only_what_was_proved(
    dead: succession.Predecessor, age: succession.Age | None
) -> None:
    record = records.HolderRecord(
        "a-2", "boot-1", 49.0, 999.0, {}, records.write_former([dead])
    )
    found = records.read_predecessors(record, START)
    assert found == [
        succession.Predecessor("a-1", PROMISES, None, None, age),
        succession.Predecessor("a-2", {}, 1.0, 1.0),
    ]


@pytest.mark.parametrize(
    ("boot_id", "since_s"), [("boot-2", 49.0), ("", 49.0), ("boot-1", 51.0)]
)
def test_boot_clock_proves_nothing_over_a_restart_of_the_host(
    boot_id: str, since_s: float
) -> None:
    record = records.HolderRecord("a-2", boot_id, since_s, 999.0, {})
    found = records.read_predecessors(record, START)
    assert found[0].boot_elapsed_s is None


def test_dead_processes_that_are_handed_on_are_bounded() -> None:
    dead = [
        succession.Predecessor(f"a-{n}", PROMISES, None, None)
        for n in range(records.MAX_FORMER + 3)
    ]
    found = records.write_former(dead)
    assert [former.holder for former in found] == [
        item.holder for item in dead[3:]
    ]
