"""All interleavings, up to a depth, of two sessions that share a budget.

One lost answer, one pause and one transfer may happen at any step. Each
session commits through a coordinator of its own, so that commits conflict. No
interleaving may charge more than was paid or bill a run twice.
"""

from __future__ import annotations

import pickle

from tests.budget import simulation

DEPTH = 4
LIMITS = {
    "request": 2,
    "settle": 2,
    "transfer": 1,
    "lose_answer": 1,
    "pause": 1,
    "mark_closing": 1,
}
EXCLUDED = frozenset((
    "extend",
    "fail",
    "report_settled",
    "resolve",
    "start_entry",
))


def make_simulation() -> simulation.Simulation:
    """Return two entries that hold grants, one with a run in progress."""
    state = simulation.Simulation(2, 1, dict(LIMITS))
    for name in ("entry0", "entry1"):
        state.request(name)
        state.read(0)
        state.swap(0)
        state.deliver(0)
    state.transfer("entry0", "entry1")
    state.deliver(0)
    state.request("entry0")
    state.deliver(0)
    state.faults = dict(LIMITS)
    return state


def list_actions(state: simulation.Simulation) -> list[simulation.Action]:
    return [
        action
        for action in state.list_actions()
        if action[0] not in EXCLUDED and state.faults.get(action[0], 1) > 0
    ]


def encode(state: simulation.Simulation) -> bytes:
    """Encode the state without counters that only generate ids."""
    return pickle.dumps((
        state.shard["budgets"],
        state.shard["bills"],
        state.records,
        [(e.board, e.alive, e.paused) for e in state.entries.values()],
        state.boards,
        state.messages,
        [(c.ops, c.document is None, c.revision) for c in state.commits],
        state.faults,
    ))


def walk(depth: int) -> int:
    """Visit every state within `depth` actions; return their number."""
    layer = {encode(start): start for start in [make_simulation()]}
    visited = set(layer)
    for _ in range(depth):
        next_layer: dict[bytes, simulation.Simulation] = {}
        for state in layer.values():
            for action in list_actions(state):
                successor = state.clone()
                successor.perform(action)
                encoded = encode(successor)
                if encoded not in visited:
                    visited.add(encoded)
                    next_layer[encoded] = successor
        layer = next_layer
    return len(visited)


def test_every_interleaving_keeps_the_invariants() -> None:
    assert walk(DEPTH) > 1_000


if __name__ == "__main__":
    print(walk(DEPTH))
