"""Runs, answers, tombstones and fences of a sidecar in bounded memory.

A retry must get the answer of the first run or an error with a true run
state, also after the answer was evicted or has expired.
"""

from __future__ import annotations

import pytest
from tests.request import samples

from cyclamenwing.request import errors
from cyclamenwing.request import retention
from cyclamenwing.request import run_table
from cyclamenwing.request import runs

MAX_HELD_BYTES = 300_000
ANSWER = b"x" * 100_000


def make_controller(max_runs: int = 100) -> runs.RunController:
    return runs.RunController(MAX_HELD_BYTES, max_runs)


def run_to_end(
    controller: runs.RunController,
    table: run_table.RunTable,
    key: str,
    now: float,
) -> run_table.Run:
    run = controller.admit(table, samples.make_order(key), now).run
    controller.append(table, run, ANSWER)
    controller.finish(table, run, now)
    return run


def test_oldest_ended_answer_is_evicted_and_leaves_a_tombstone() -> None:
    controller, table = make_controller(), run_table.RunTable()
    followed = run_to_end(controller, table, "w/0", 0.0)
    followed.followers = 1
    for number in range(1, 6):
        run_to_end(controller, table, f"w/{number}", float(number))
    assert table.held_bytes <= MAX_HELD_BYTES
    answered_keys = [key for key, run in table.runs.items() if run.answer]
    assert answered_keys == ["w/0", "w/4", "w/5"]
    with pytest.raises(errors.ExpiredAnswerError) as caught:
        controller.admit(table, samples.make_order("w/1"), 9.0)
    assert caught.value.run == "ran"


def test_order_is_refused_when_running_answers_reserve_all_memory() -> None:
    controller, table = make_controller(), run_table.RunTable()
    running = [
        controller.admit(table, samples.make_order(f"w/{n}"), 0.0).run
        for n in range(4)
    ]
    with pytest.raises(errors.BuffersFullError) as caught:
        controller.admit(table, samples.make_order("w/9"), 0.0)
    assert caught.value.run == "not_run"
    assert caught.value.retry_after_s
    for run in running:
        controller.finish(table, run, 1.0)
    assert controller.admit(table, samples.make_order("w/9"), 2.0).started


def test_answer_above_the_limit_raises_an_error() -> None:
    controller, table = make_controller(), run_table.RunTable()
    run = controller.admit(table, samples.make_order("w/1"), 0.0).run
    with pytest.raises(errors.AnswerTooLargeError):
        for _ in range(4):
            controller.append(table, run, ANSWER)


@pytest.mark.parametrize("idempotent", [True, False])
def test_full_table_drops_only_tombstones_of_idempotent_requests(
    idempotent: bool,
) -> None:
    controller, table = make_controller(max_runs=2), run_table.RunTable()
    for number in range(2):
        order = samples.make_order(f"w/{number}", idempotent=idempotent)
        controller.finish(table, controller.admit(table, order, 0.0).run, 0.0)
    if idempotent:
        assert controller.admit(table, samples.make_order("w/9"), 1.0).started
    else:
        with pytest.raises(errors.BuffersFullError):
            controller.admit(table, samples.make_order("w/9"), 1.0)


def test_expiry_drops_runs_and_releases_their_bytes() -> None:
    """A tombstone remains of a caller's key, not of a generated one."""
    controller, table = make_controller(), run_table.RunTable()
    run_to_end(controller, table, "w/given", 0.0)
    generated = samples.make_order("w/fresh", request="fresh")
    run = controller.admit(table, generated, 0.0).run
    controller.finish(table, run, 0.0)
    controller.fence_order(table, samples.make_order("w/2"), 0.0)
    assert retention.expire(table, run_table.ANSWER_RETENTION_S) == 0
    assert retention.expire(table, run_table.ANSWER_RETENTION_S + 1) == 1
    assert table.held_bytes == 0
    with pytest.raises(errors.ExpiredAnswerError):
        controller.admit(table, samples.make_order("w/given"), 700.0)
    with pytest.raises(errors.KeyReusedError):
        controller.admit(
            table, samples.make_order("w/given", fingerprint="g"), 700.0
        )
    assert retention.expire(table, run_table.TOMBSTONE_RETENTION_S + 1) == 2
    assert (table.runs, table.reserved_bytes, table.fences) == ({}, 0, {})


@pytest.mark.parametrize(
    ("run_state", "idempotent", "resumed", "runs_again"),
    [
        ("not_run", False, False, True),
        ("unknown", False, False, False),
        ("unknown", True, False, True),
        ("unknown", True, True, False),
    ],
)
def test_failed_run_is_repeated_only_if_that_is_safe(
    run_state: str, idempotent: bool, resumed: bool, runs_again: bool
) -> None:
    controller, table = make_controller(), run_table.RunTable()
    order = samples.make_order("w/1", idempotent=idempotent)
    run = controller.admit(table, {**order}, 0.0).run
    controller.fail(
        table,
        run,
        {"t": "refusal", "code": "c", "message": "", "run": run_state},  # type: ignore[typeddict-item]
        1.0,
    )
    readmitted = controller.admit(table, {**order}, 2.0, resumed)
    assert readmitted.started == runs_again


def test_other_body_under_the_same_key_is_refused() -> None:
    controller, table = make_controller(), run_table.RunTable()
    run_to_end(controller, table, "w/1", 0.0)
    with pytest.raises(errors.KeyReusedError):
        controller.admit(
            table, samples.make_order("w/1", fingerprint="other"), 1.0
        )
