"""Guards against batching, cache and load reports unlike a real engine's."""

from __future__ import annotations

import pytest

from cyclamenwing.standin import batch

OPTIONS = batch.EngineOptions(
    max_batch=2,
    prefill_chunk_tokens=100,
    step_s=0.01,
    prefill_token_s=0.001,
    sequence_s=0.0,
    cache_blocks=6,
    event_lag_s=2.0,
    event_loss_interval=10,
    load_lag_s=1.0,
)


def make_work(
    name: str,
    priority: int = 0,
    blocks: tuple[int, ...] = (),
    crashes: bool = False,
) -> batch.GenerationRequest:
    return batch.GenerationRequest(name, priority, blocks, 100, 3, 0, crashes)


def run_all(model: batch.BatchModel, now: float) -> dict[str, list[float]]:
    times: dict[str, list[float]] = {}
    while (length_s := model.begin_step(now)) is not None:
        now += length_s
        for emission in model.finish_step(now):
            times.setdefault(emission.request, []).append(now)
    return times


def test_queue_is_ordered_by_priority_and_batch_is_limited() -> None:
    model = batch.BatchModel(OPTIONS)
    for name, priority in (("a", 0), ("b", 1), ("c", 1), ("d", 0)):
        model.submit(make_work(name, priority), 0.0)
    assert model.begin_step(0.0) == pytest.approx(0.11)
    assert (model.running, model.waiting) == (2, 2)
    times = run_all(model, 0.0)
    assert sorted(times, key=lambda name: times[name][0]) == [*"adbc"]
    assert all(len(token_times) == 3 for token_times in times.values())


def test_cached_prefix_shortens_time_to_first_token() -> None:
    model = batch.BatchModel(OPTIONS)
    first_token_times: list[float] = []
    for number, blocks in enumerate(((1, 2, 3, 4), (1, 2, 3, 9))):
        model.submit(make_work(str(number), blocks=blocks), number * 10.0)
        times = run_all(model, number * 10.0)
        first_token_times.append(times[str(number)][0] - number * 10.0)
    assert first_token_times == [pytest.approx(0.11), pytest.approx(0.035)]


def test_cache_events_are_delayed_and_every_tenth_is_lost() -> None:
    model = batch.BatchModel(OPTIONS)
    for number in range(10):
        model.cache.store((number * 2, number * 2 + 1), float(number))
    assert model.cache.used == OPTIONS.cache_blocks
    readable = model.cache.read_events(0, 8.5)
    assert [event["at"] for event in readable][-1] <= 6.5
    sequence_numbers = [
        event["seq"] for event in model.cache.read_events(0, 99.0)
    ]
    assert sequence_numbers == [seq for seq in range(1, 18) if seq % 10]
    assert model.cache.read_events(17, 99.0) == []


def test_load_is_reported_with_delay() -> None:
    model = batch.BatchModel(OPTIONS)
    model.submit(make_work("a"), 0.0)
    model.submit(make_work("b"), 0.5)
    waiting = [
        model.read_load(now)["waiting"] for now in (0.9, 1.0, 1.4, 1.5, 9.0)
    ]
    assert waiting == [0, 1, 1, 2, 2]


def test_cancel_and_crash_remove_requests() -> None:
    model = batch.BatchModel(OPTIONS)
    for name in "abc":
        model.submit(make_work(name), 0.0)
    model.begin_step(0.0)
    model.cancel("a", 0.0)
    model.cancel("c", 0.0)
    assert (model.running, model.waiting) == (1, 0)
    model.submit(make_work("poison", crashes=True), 0.0)
    with pytest.raises(batch.EngineCrashError):
        model.begin_step(0.0)
    assert model.crash(0.0) == ["b"]
    assert model.begin_step(1.0) is None
