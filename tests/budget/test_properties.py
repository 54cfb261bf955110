"""Random interleavings of the processes that share a budget.

Crashes, pauses, lost answers, and dropped or repeated messages may happen at
any step. None of them may overspend the budget, bill a run twice or, once all
faults have ended, leave units in doubt.
"""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies as st
from tests.budget import simulation

from cyclamenwing.budget import shard as shards

STEPS = 200
EXAMPLES = 200
WEIGHTS = {
    "request": 4.0,
    "read": 6.0,
    "swap": 8.0,
    "deliver": 5.0,
    "complete_run": 1.5,
    "settle": 1.0,
    "transfer": 1.0,
    "recover": 2.0,
    "resolve": 0.3,
    "report_settled": 0.3,
    "start_entry": 1.0,
}
FAULTS = {
    "crash": 2,
    "pause": 2,
    "mark_closing": 2,
    "duplicate": 4,
    "drop": 4,
    "lose_answer": 3,
    "restart_sidecar": 1,
    "top_up": 2,
    "toggle_store": 4,
}


@hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(st.integers(0, 2**32))
def test_no_interleaving_overspends_or_bills_twice(seed: int) -> None:
    rng = random.Random(seed)
    restarts = {"restart_sidecar": int(seed % 3 == 0)}
    state = simulation.Simulation(3, 2, FAULTS | restarts)
    for _ in range(STEPS):
        state.perform(pick_action(state, rng))
    settle_all(state)


def pick_action(
    state: simulation.Simulation, rng: random.Random
) -> simulation.Action:
    """Draw a kind of action by weight, then one action of that kind."""
    by_kind: dict[str, list[simulation.Action]] = {}
    for action in state.list_actions():
        by_kind.setdefault(action[0], []).append(action)
    kinds = list(by_kind)
    weights = [WEIGHTS.get(kind, 0.15) for kind in kinds]
    return rng.choice(by_kind[rng.choices(kinds, weights)[0]])


def settle_all(state: simulation.Simulation) -> None:
    """End all faults; check that every run is billed and nothing in doubt."""
    state.faults = dict.fromkeys(FAULTS, 0)
    state.store_up = True
    for name, entry in list(state.entries.items()):
        entry.paused = False
        if not entry.alive:
            state.mark_closing(entry.board.session)
            state.start_entry(name)
    for _ in range(60):
        drain(state)
    budget = state.shard["budgets"][simulation.BUDGET]
    if state.sidecar_records_lost:
        return
    assert shards.count_settled(budget) == sum(state.used_units.values())
    assert shards.count_in_doubt(budget) == 0


def drain(state: simulation.Simulation) -> None:
    while state.messages:
        state.deliver(0)
    for action in state.list_actions():
        if action[0] == "complete_run":
            state.perform(action)
    finish_commits(state)
    recover_all(state)
    for name, entry in list(state.entries.items()):
        if entry.board.stale:
            state.start_entry(name)
        state.resolve(name)
        state.settle(name)
    state.check()


def finish_commits(state: simulation.Simulation) -> None:
    while state.commits:
        state.read(0)
        if state.commits and state.commits[0].document is not None:
            state.swap(0)


def recover_all(state: simulation.Simulation) -> None:
    live = {entry.board.session for entry in state.entries.values()}
    for session, record in list(state.records.items()):
        if session not in live:
            state.mark_closing(session)
        if record["state"] == "closing":
            state.recover(session)
