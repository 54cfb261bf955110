"""Predecessors in the record that a process leaves to the next one.

If a process dies before it has freed its predecessor's holdings, the next one
must free both, and must not assume an age without evidence.
"""

from __future__ import annotations

import pytest

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import record_age
from cyclamenwing.gateway import records

USAGE_BOUNDS = {"t1": escrow.UsageBound(100, 2.0, 3.0, 0.0)}
START = records.ProcessStart("boot-1", 50.0, 1000.0)


@pytest.mark.parametrize(
    ("predecessor", "age"),
    [
        (
            record_age.Predecessor("a-1", USAGE_BOUNDS, 0.9, 1.0),
            record_age.Age(0.9, True),
        ),
        (
            record_age.Predecessor(
                "a-1", USAGE_BOUNDS, None, 1.0, record_age.Age(2.0, False)
            ),
            record_age.Age(2.0, False),
        ),
        (record_age.Predecessor("a-1", USAGE_BOUNDS, None, 1.0), None),
        # This age frees nothing: better evidence may still arrive.
        (record_age.Predecessor("a-1", USAGE_BOUNDS, 9858.0, 1.0), None),
    ],
)
def test_record_passes_on_only_bounded_ages_of_predecessors(
    predecessor: record_age.Predecessor, age: record_age.Age | None
) -> None:
    record = records.HolderRecord(
        "a-2",
        "boot-1",
        49.0,
        999.0,
        {},
        records.write_predecessors([predecessor]),
    )
    predecessors = records.read_predecessors(record, START)
    assert predecessors == [
        record_age.Predecessor("a-1", USAGE_BOUNDS, None, None, age),
        record_age.Predecessor("a-2", {}, 1.0, 1.0),
    ]


@pytest.mark.parametrize(
    ("boot_id", "since_s"), [("boot-2", 49.0), ("", 49.0), ("boot-1", 51.0)]
)
def test_boot_clock_is_no_evidence_after_a_host_restart(
    boot_id: str, since_s: float
) -> None:
    record = records.HolderRecord("a-2", boot_id, since_s, 999.0, {})
    predecessors = records.read_predecessors(record, START)
    assert predecessors[0].boot_elapsed_s is None


def test_number_of_recorded_predecessors_is_bounded() -> None:
    predecessors = [
        record_age.Predecessor(f"a-{n}", USAGE_BOUNDS, None, None)
        for n in range(records.MAX_PREDECESSORS + 3)
    ]
    written = records.write_predecessors(predecessors)
    assert [former.holder for former in written] == [
        predecessor.holder for predecessor in predecessors[3:]
    ]
