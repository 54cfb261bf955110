"""What a `LoopWatch` counts as a standstill of the event loop.

Guards against verdicts that depend on what earlier tests have left in memory:
full passes of the garbage collector over it failed tests of endless answers.
"""

from __future__ import annotations

import asyncio
import gc
import time
from typing import Any

from tests.transport import floods

# A pass over as many objects takes far longer than `MAX_PASS_S`.
EARLIER_OBJECTS = 1_500_000
OWN_OBJECTS = 1_500_000
MAX_PASS_S = 0.05


def make_objects(count: int) -> list[Any]:
    return [[number] for number in range(count)]


def measure_pass() -> float:
    started_s = time.monotonic()
    gc.collect()
    return time.monotonic() - started_s


async def watch(action: Any) -> float:
    async with floods.LoopWatch() as loop_watch:
        action()
        await asyncio.sleep(0.05)
    return loop_watch.longest_s


def test_objects_of_earlier_tests_count_for_nothing() -> None:
    earlier = make_objects(EARLIER_OBJECTS)
    assert measure_pass() > MAX_PASS_S
    assert asyncio.run(watch(gc.collect)) < MAX_PASS_S
    assert len(earlier) == EARLIER_OBJECTS
    # Nothing stays frozen.
    assert gc.get_freeze_count() == 0


def test_passes_over_own_objects_count() -> None:
    kept: list[Any] = []

    def allocate() -> None:
        gc.disable()
        kept.extend(make_objects(OWN_OBJECTS))
        gc.enable()
        gc.collect()

    assert asyncio.run(watch(allocate)) > MAX_PASS_S
    assert kept


def test_code_that_holds_the_loop_counts() -> None:
    assert asyncio.run(watch(lambda: time.sleep(0.2))) > 0.15
