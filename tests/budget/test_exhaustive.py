"""All interleavings of two holders and two coordinators to a depth.

One lost answer, one pause and one transfer may happen anywhere; each
holder's commits are its own coordinator's, so that they meet.
"""

from __future__ import annotations

import pickle

from tests.budget import world

DEPTH = 4
LIMITS = {
    "request": 2,
    "settle": 2,
    "transfer": 1,
    "lose_answer": 1,
    "pause": 1,
    "mark": 1,
}
LEFT_OUT = frozenset(("extend", "fail", "forget", "resolve", "start_entry"))


def make_world() -> world.World:
    """Return two entries that hold grants, one with a run in progress."""
    made = world.World(2, 1, dict(LIMITS))
    for name in ("entry0", "entry1"):
        made.request(name)
        made.read(0)
        made.swap(0)
        made.deliver(0)
    made.transfer("entry0", "entry1")
    made.deliver(0)
    made.request("entry0")
    made.deliver(0)
    made.faults = dict(LIMITS)
    return made


def list_steps(made: world.World) -> list[world.Action]:
    return [
        action
        for action in made.list_actions()
        if action[0] not in LEFT_OUT and made.faults.get(action[0], 1) > 0
    ]


def encode(made: world.World) -> bytes:
    """Return the state without the numbers that only name things."""
    return pickle.dumps((
        made.shard["budgets"],
        made.shard["bills"],
        made.records,
        [(e.board, e.alive, e.paused) for e in made.entries.values()],
        made.boards,
        made.messages,
        [(c.ops, c.document is None, c.revision) for c in made.commits],
        made.faults,
    ))


def walk(depth: int) -> int:
    """Visit every state within a number of steps; return how many."""
    layer = {encode(start): start for start in [make_world()]}
    seen = set(layer)
    for _ in range(depth):
        following: dict[bytes, world.World] = {}
        for state in layer.values():
            for action in list_steps(state):
                made = state.clone()
                made.do(action)
                name = encode(made)
                if name not in seen:
                    seen.add(name)
                    following[name] = made
        layer = following
    return len(seen)


def test_every_interleaving_keeps_the_promises() -> None:
    assert walk(DEPTH) > 1_000


if __name__ == "__main__":
    print(walk(DEPTH))
