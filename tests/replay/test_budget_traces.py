"""Guards against budget decisions worse than the recorded traces state."""

from __future__ import annotations

import pathlib

import pytest

from cyclamenwing.bench import budget
from cyclamenwing.replay import budget as replay_budget

TRACES = sorted(
    (pathlib.Path(__file__).parents[1] / "traces" / "budget").glob("*.json")
)


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_stays_within_its_stated_outcomes(path: pathlib.Path) -> None:
    replayer = replay_budget.BudgetReplayer()
    assert replayer.replay(budget.read_trace(path)) == []


def test_both_users_have_traces_of_all_kinds() -> None:
    assert len(TRACES) == 16
