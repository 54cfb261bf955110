"""Exhaustive exploration of the interleavings of calls to a shared store."""

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
    """Resume a program at its next store call; `fault` is empty for none."""

    program: int
    fault: str


class Pause:
    """Suspend the program before a store call; it yields False."""

    def __await__(self) -> Generator[bool, str, str]:
        return (yield False)


class SwapPause(Pause):
    """Suspend the program before a write; it yields True.

    A write may fail, so that the explorer resumes it with a fault or none.
    """

    def __await__(self) -> Generator[bool, str, str]:
        return (yield True)


class SteppedStore:
    """Hold values in memory and suspend before each call.

    Revisions count by key. `observed` records each result that the program
    received.
    """

    def __init__(
        self, values: dict[str, tuple[bytes, int]], observed: list[Any]
    ) -> None:
        self.values = values
        self.observed = observed

    async def get(self, key: str) -> protocol.Entry | None:
        await Pause()
        entry = self.values.get(key)
        self.observed.append(entry)
        return protocol.Entry(key, *entry) if entry else None

    async def swap(
        self, key: str, revision: int, value: bytes, lease: int = 0
    ) -> int | None:
        fault = await SwapPause()
        if fault == "lost_before":
            self.observed.append(fault)
            raise errors.StoreAnswerLostError("lost")
        current_revision = self.values.get(key, (b"", 0))[1]
        matches = current_revision == revision
        if matches:
            self.values[key] = (value, revision + 1)
        self.observed.append((fault, matches))
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
    """Hold the state after some choices.

    `waiting` tells for each program whether it waits before a write; None
    if it has ended.
    """

    values: dict[str, tuple[bytes, int]]
    observed: list[list[Any]]
    waiting: list[bool | None]
    outcomes: list[Any]

    def make_fingerprint(self) -> Any:
        """Return a key that determines all later behaviour."""
        return repr((sorted(self.values.items()), self.observed))


def replay(
    programs: list[Program],
    values: dict[str, tuple[bytes, int]],
    choices: list[Choice],
) -> State:
    """Run the programs from the start along some choices."""
    state = State(dict(values), [[] for _ in programs], [], [])
    running = []
    for number, program in enumerate(programs):
        coroutine = program(SteppedStore(state.values, state.observed[number]))
        running.append(coroutine)
        state.outcomes.append(None)
        state.waiting.append(coroutine.send(None))
    for choice in choices:
        try:
            state.waiting[choice.program] = running[choice.program].send(
                choice.fault
            )
        except StopIteration as stop:
            state.waiting[choice.program] = None
            state.outcomes[choice.program] = stop.value
    for coroutine in running:
        coroutine.close()
    return state


def explore_interleavings(
    programs: list[Program],
    values: dict[str, tuple[bytes, int]],
    check: Callable[[State], None],
) -> tuple[int, int]:
    """Check the end state of each interleaving with at most one fault.

    Return the number of distinct states and of end states.
    """
    visited: set[Any] = set()
    end_count = 0
    pending_paths: list[list[Choice]] = [[]]
    while pending_paths:
        choices = pending_paths.pop()
        state = replay(programs, values, choices)
        key = state.make_fingerprint()
        if key in visited:
            continue
        visited.add(key)
        if not any(item is not None for item in state.waiting):
            check(state)
            end_count += 1
        fault_used = any(choice.fault for choice in choices)
        for number, writes in enumerate(state.waiting):
            if writes is None:
                continue
            faults = [""]
            if writes and not fault_used:
                faults += ["lost_before", "lost_after"]
            pending_paths += [
                [*choices, Choice(number, fault)] for fault in faults
            ]
    return len(visited), end_count
