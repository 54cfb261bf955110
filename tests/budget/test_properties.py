"""Random interleavings of a budget's processes, checked at each step."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies as st
from tests.budget import world

from cyclamenwing.budget import shard as shards

STEPS = 200
EXAMPLES = 200
WEIGHTS = {
    "request": 4.0,
    "read": 6.0,
    "swap": 8.0,
    "deliver": 5.0,
    "end": 1.5,
    "settle": 1.0,
    "transfer": 1.0,
    "recover": 2.0,
    "resolve": 0.3,
    "forget": 0.3,
    "start_entry": 1.0,
}
FAULTS = {
    "crash": 2,
    "pause": 2,
    "mark": 2,
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
    source = random.Random(seed)
    restarts = {"restart_sidecar": int(seed % 3 == 0)}
    made = world.World(3, 2, FAULTS | restarts)
    for _ in range(STEPS):
        made.do(pick_action(made, source))
    settle_all(made)


def pick_action(made: world.World, source: random.Random) -> world.Action:
    """Draw a kind of step by weight, then one step of that kind."""
    by_kind: dict[str, list[world.Action]] = {}
    for action in made.list_actions():
        by_kind.setdefault(action[0], []).append(action)
    kinds = list(by_kind)
    weights = [WEIGHTS.get(kind, 0.15) for kind in kinds]
    return source.choice(by_kind[source.choices(kinds, weights)[0]])


def settle_all(made: world.World) -> None:
    """Let all faults end; nothing may then be stranded or unbilled."""
    made.faults = dict.fromkeys(FAULTS, 0)
    made.store_up = True
    for name, entry in list(made.entries.items()):
        entry.paused = False
        if not entry.alive:
            made.mark(entry.board.session)
            made.start_entry(name)
    for _ in range(60):
        drain(made)
    budget = made.shard["budgets"][world.BUDGET]
    if made.forgotten:
        return
    assert shards.count_settled(budget) == sum(made.served.values())
    assert shards.count_in_doubt(budget) == 0


def drain(made: world.World) -> None:
    while made.messages:
        made.deliver(0)
    for action in made.list_actions():
        if action[0] == "end":
            made.do(action)
    finish_commits(made)
    recover_all(made)
    for name, entry in list(made.entries.items()):
        if entry.board.stale:
            made.start_entry(name)
        made.resolve(name)
        made.settle(name)
    made.check()


def finish_commits(made: world.World) -> None:
    while made.commits:
        made.read(0)
        if made.commits and made.commits[0].document is not None:
            made.swap(0)


def recover_all(made: world.World) -> None:
    live = {entry.board.session for entry in made.entries.values()}
    for session, record in list(made.records.items()):
        if session not in live:
            made.mark(session)
        if record["state"] == "closing":
            made.recover(session)
