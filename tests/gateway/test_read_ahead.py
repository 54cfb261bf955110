"""Bounds on what is held for clients that do not read.

Pattern: clients stop reading at different times, and their answers differ in
size. The process's memory must not run out, and clients that read must keep
their answers.
"""

from __future__ import annotations

import random

import pytest

from cyclamenwing.gateway import read_ahead

BLOCK = b"x" * read_ahead.EVENT_BLOCK_BYTES
MAX_BYTES = 64 * 1024
SMALLEST_MEMORY_MB = 128
# What the process needs besides, as measured.
PROCESS_MB = 40


def make_bounds(max_bytes: int = MAX_BYTES) -> read_ahead.ReadAhead:
    return read_ahead.ReadAhead(max_bytes, max_bytes // 2)


def make_answer(name: str = "r") -> read_ahead.HeldAnswer:
    return read_ahead.HeldAnswer(name, lambda: None)


def stop_reading(
    bounds: read_ahead.ReadAhead,
    answer: read_ahead.HeldAnswer,
    now_s: float,
    blocks: int,
) -> None:
    """Pass a block that the socket does not take, and hold more."""
    bounds.add_passed(answer, read_ahead.Block(BLOCK, 1), now_s)
    for number in range(blocks):
        bounds.add(answer, BLOCK, number + 2)


# Guards against a choice by size, which would drop large answers whose
# clients read, or by the time at which an answer began.
def test_answer_unread_for_longest_is_dropped_first() -> None:
    bounds = make_bounds()
    large, early, late = (make_answer(n) for n in ("large", "early", "late"))
    stop_reading(bounds, late, 0.0, 3)
    stop_reading(bounds, early, 2.0, 3)
    stop_reading(bounds, large, 5.0, 9)
    # Its client read some at 4 s, so the other one has waited longer.
    bounds.release(late, read_ahead.Block(BLOCK, 1), 4.0)
    assert bounds.choose_dropped(6.0) is early
    bounds.discard(early)
    assert bounds.choose_dropped(6.0) is None


# Guards against dropping many small answers where one large one suffices.
def test_largest_is_dropped_of_those_that_stopped_at_about_one_time() -> None:
    bounds = make_bounds()
    small, large = make_answer("small"), make_answer("large")
    stop_reading(bounds, small, 0.0, 2)
    stop_reading(bounds, large, 0.3, 14)
    assert bounds.choose_dropped(1.8) is large


# Guards against dropping a body that is still being read from its endpoint,
# as its client has had nothing to read yet.
def test_answer_that_has_not_begun_is_dropped_last() -> None:
    bounds = make_bounds()
    body, unread = make_answer("body"), make_answer("unread")
    for _ in range(12):
        bounds.add(body, BLOCK, 0)
    stop_reading(bounds, unread, 0.0, 4)
    assert bounds.choose_dropped(1.5) is unread


class RandomClients:
    """Let clients get, take or lose their answers at random."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._passed: dict[read_ahead.HeldAnswer, read_ahead.Block] = {}
        self.bounds = make_bounds()
        self.answers = [make_answer(str(n)) for n in range(20)]
        self.dropped = 0

    def step(self, number: int, now_s: float) -> None:
        answer = self._rng.choice(self.answers)
        action = self._rng.choices(
            (self._write, self._take, self._discard), (70, 25, 1)
        )[0]
        action(answer, number, now_s)
        while (dropped := self.bounds.choose_dropped(now_s)) is not None:
            self._discard(dropped, number, now_s)
            self.dropped += 1

    def _write(
        self, answer: read_ahead.HeldAnswer, number: int, now_s: float
    ) -> None:
        data = b"x" * self._rng.choice((1, 30, 4096, 9000))
        if answer in self._passed:
            self.bounds.add(answer, data, number)
        else:
            self._pass(answer, read_ahead.Block(data, number), now_s)

    def _take(
        self, answer: read_ahead.HeldAnswer, number: int, now_s: float
    ) -> None:
        if answer not in self._passed:
            return
        self.bounds.release(answer, self._passed.pop(answer), now_s)
        if not answer.empty:
            block = answer.take()
            self.bounds.release(answer, block, now_s)
            self._pass(answer, block, now_s)

    def _pass(
        self,
        answer: read_ahead.HeldAnswer,
        block: read_ahead.Block,
        now_s: float,
    ) -> None:
        self._passed[answer] = block
        self.bounds.add_passed(answer, block, now_s)

    def _discard(
        self, answer: read_ahead.HeldAnswer, number: int, now_s: float
    ) -> None:
        self.bounds.discard(answer)
        self._passed.pop(answer, None)


@pytest.mark.parametrize("seed", range(5))
def test_total_is_kept_and_bounded_over_random_steps(seed: int) -> None:
    clients = RandomClients(seed)
    bounds = clients.bounds
    for number in range(5000):
        clients.step(number, number * 0.01)
        held_bytes = sum(answer.held_bytes for answer in clients.answers)
        assert bounds.held_bytes == held_bytes
        assert 0 <= held_bytes <= MAX_BYTES
    assert clients.dropped
    for answer in clients.answers:
        bounds.discard(answer)
    assert bounds.held_bytes == 0


# Guards against events that are counted before their bytes are passed on.
def test_blocks_carry_the_events_up_to_their_end() -> None:
    bounds, answer = make_bounds(), make_answer()
    events = [b"id: %d\ndata: %s\n\n" % (n, b"y" * 900) for n in range(1, 21)]
    for number, event in enumerate(events, 1):
        bounds.add(answer, event, number)
    written, count = b"", 0
    while not answer.empty:
        block = answer.take()
        assert len(block.data) <= read_ahead.EVENT_BLOCK_BYTES
        written += block.data
        count = block.events
        assert written == b"".join(events[:count])
    assert count == len(events)


def test_smallest_hosts_keep_memory_for_the_process() -> None:
    bounds = read_ahead.ReadAhead.from_config(SMALLEST_MEMORY_MB)
    held_mb = bounds.max_bytes / read_ahead.BYTES_PER_MB
    assert PROCESS_MB + 2 * held_mb <= SMALLEST_MEMORY_MB
    assert 4 * bounds.max_answer_bytes <= bounds.max_bytes
