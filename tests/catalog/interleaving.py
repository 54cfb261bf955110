"""Exhaustive walk of the order in which programs reach a shared store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
from typing import Any
from typing import NamedTuple

from cyclamenwing.store import errors
from cyclamenwing.store import protocol

Program = Callable[[protocol.Store], Coroutine[Any, Any, Any]]


class Choice(NamedTuple):
    """Let a program take its next step, under a fault."""

    program: int
    fault: str


class Pause:
    """Hand control to the walk before a store call."""

    def __await__(self) -> Generator[bool, str, str]:
        return (yield False)


class SwapPause(Pause):
    """Hand control to the walk before a write."""

    def __await__(self) -> Generator[bool, str, str]:
        return (yield True)


class StepStore:
    """Keep values in memory; revisions count by key."""

    def __init__(
        self, values: dict[str, tuple[bytes, int]], seen: list[Any]
    ) -> None:
        self.values = values
        self.seen = seen

    async def get(self, key: str) -> protocol.Entry | None:
        await Pause()
        found = self.values.get(key)
        self.seen.append(found)
        return protocol.Entry(key, *found) if found else None

    async def swap(
        self, key: str, revision: int, value: bytes, lease: int = 0
    ) -> int | None:
        fault = await SwapPause()
        if fault == "lost_before":
            self.seen.append(fault)
            raise errors.StoreAnswerLostError("lost")
        held = self.values.get(key, (b"", 0))[1]
        matches = held == revision
        if matches:
            self.values[key] = (value, revision + 1)
        self.seen.append((fault, matches))
        if fault == "lost_after":
            raise errors.StoreAnswerLostError("lost")
        return revision + 1 if matches else None

    async def scan(self, prefix: str) -> list[protocol.Entry]:
        raise NotImplementedError

    async def delete(self, key: str, revision: int) -> bool:
        raise NotImplementedError

    async def grant_lease(self, ttl_s: int) -> int:
        raise NotImplementedError

    async def renew_lease(self, lease: int) -> bool:
        raise NotImplementedError

    async def watch(
        self, prefix: str, revision: int
    ) -> AsyncIterator[protocol.Entry]:
        raise NotImplementedError
        yield


class State(NamedTuple):
    """Hold where a walk has come to."""

    values: dict[str, tuple[bytes, int]]
    seen: list[list[Any]]
    waiting: list[bool | None]
    outcomes: list[Any]

    def make_key(self) -> Any:
        """Return what all that follows depends on."""
        return repr((sorted(self.values.items()), self.seen))


def replay(
    programs: list[Program],
    values: dict[str, tuple[bytes, int]],
    choices: list[Choice],
) -> State:
    """Run the programs along some choices."""
    state = State(dict(values), [[] for _ in programs], [], [])
    running = []
    for number, program in enumerate(programs):
        made = program(StepStore(state.values, state.seen[number]))
        running.append(made)
        state.outcomes.append(None)
        state.waiting.append(made.send(None))
    for choice in choices:
        try:
            state.waiting[choice.program] = running[choice.program].send(
                choice.fault
            )
        except StopIteration as stop:
            state.waiting[choice.program] = None
            state.outcomes[choice.program] = stop.value
    for made in running:
        made.close()
    return state


def walk(
    programs: list[Program],
    values: dict[str, tuple[bytes, int]],
    check: Callable[[State], None],
) -> tuple[int, int]:
    """Check the end of each order; return the states and ends seen."""
    visited: set[Any] = set()
    ends = 0
    pending: list[list[Choice]] = [[]]
    while pending:
        choices = pending.pop()
        state = replay(programs, values, choices)
        key = state.make_key()
        if key in visited:
            continue
        visited.add(key)
        if not any(item is not None for item in state.waiting):
            check(state)
            ends += 1
        used = any(choice.fault for choice in choices)
        for number, writes in enumerate(state.waiting):
            if writes is None:
                continue
            faults = [""]
            if writes and not used:
                faults += ["lost_before", "lost_after"]
            pending += [[*choices, Choice(number, fault)] for fault in faults]
    return len(visited), ends
