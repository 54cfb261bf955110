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


def run_whole(
    controller: runs.RunController,
    board: run_table.RunTable,
    key: str,
    now: float,
) -> run_table.Run:
    run = controller.admit(board, samples.make_order(key), now).run
    controller.append(board, run, ANSWER)
    controller.finish(board, run, now)
    return run


def test_oldest_ended_answer_goes_first_and_keeps_a_tombstone() -> None:
    controller, board = make_controller(), run_table.RunTable()
    followed = run_whole(controller, board, "w/0", 0.0)
    followed.followers = 1
    for number in range(1, 6):
        run_whole(controller, board, f"w/{number}", float(number))
    assert board.held_bytes <= MAX_HELD_BYTES
    kept = [key for key, run in board.runs.items() if run.answer]
    assert kept == ["w/0", "w/4", "w/5"]
    with pytest.raises(errors.ExpiredAnswerError) as caught:
        controller.admit(board, samples.make_order("w/1"), 9.0)
    assert caught.value.run == "ran"


def test_running_answers_refuse_new_orders_early() -> None:
    controller, board = make_controller(), run_table.RunTable()
    running = [
        controller.admit(board, samples.make_order(f"w/{n}"), 0.0).run
        for n in range(4)
    ]
    with pytest.raises(errors.BuffersFullError) as caught:
        controller.admit(board, samples.make_order("w/9"), 0.0)
    assert caught.value.run == "not_run"
    assert caught.value.retry_after_s
    for run in running:
        controller.finish(board, run, 1.0)
    assert controller.admit(board, samples.make_order("w/9"), 2.0).started


def test_answer_beyond_the_bound_ends_its_run() -> None:
    controller, board = make_controller(), run_table.RunTable()
    run = controller.admit(board, samples.make_order("w/1"), 0.0).run
    with pytest.raises(errors.AnswerTooLargeError):
        for _ in range(4):
            controller.append(board, run, ANSWER)


@pytest.mark.parametrize("idempotent", [True, False])
def test_full_table_keeps_tombstones_of_what_may_not_run_twice(
    idempotent: bool,
) -> None:
    controller, board = make_controller(max_runs=2), run_table.RunTable()
    for number in range(2):
        order = samples.make_order(f"w/{number}", idempotent=idempotent)
        controller.finish(board, controller.admit(board, order, 0.0).run, 0.0)
    if idempotent:
        assert controller.admit(board, samples.make_order("w/9"), 1.0).started
    else:
        with pytest.raises(errors.BuffersFullError):
            controller.admit(board, samples.make_order("w/9"), 1.0)


def test_retention_ends_and_bytes_balance() -> None:
    """A caller's key outlives its answer, a fresh one does not."""
    controller, board = make_controller(), run_table.RunTable()
    run_whole(controller, board, "w/given", 0.0)
    fresh = samples.make_order("w/fresh", request="fresh")
    run = controller.admit(board, fresh, 0.0).run
    controller.finish(board, run, 0.0)
    controller.fence_order(board, samples.make_order("w/2"), 0.0)
    assert retention.expire(board, run_table.ANSWER_RETENTION_S) == 0
    assert retention.expire(board, run_table.ANSWER_RETENTION_S + 1) == 1
    assert board.held_bytes == 0
    with pytest.raises(errors.ExpiredAnswerError):
        controller.admit(board, samples.make_order("w/given"), 700.0)
    with pytest.raises(errors.KeyReusedError):
        controller.admit(
            board, samples.make_order("w/given", fingerprint="g"), 700.0
        )
    assert retention.expire(board, run_table.TOMBSTONE_RETENTION_S + 1) == 2
    assert (board.runs, board.booked_bytes, board.fences) == ({}, 0, {})


@pytest.mark.parametrize(
    ("run_state", "idempotent", "resumed", "runs_again"),
    [
        ("not_run", False, False, True),
        ("unknown", False, False, False),
        ("unknown", True, False, True),
        ("unknown", True, True, False),
    ],
)
def test_failed_run_and_its_key(
    run_state: str, idempotent: bool, resumed: bool, runs_again: bool
) -> None:
    controller, board = make_controller(), run_table.RunTable()
    order = samples.make_order("w/1", idempotent=idempotent)
    run = controller.admit(board, {**order}, 0.0).run
    controller.fail(
        board,
        run,
        {"t": "refusal", "code": "c", "message": "", "run": run_state},  # type: ignore[typeddict-item]
        1.0,
    )
    again = controller.admit(board, {**order}, 2.0, resumed)
    assert again.started == runs_again


def test_other_body_under_the_same_key_is_refused() -> None:
    controller, board = make_controller(), run_table.RunTable()
    run_whole(controller, board, "w/1", 0.0)
    with pytest.raises(errors.KeyReusedError):
        controller.admit(
            board, samples.make_order("w/1", fingerprint="other"), 1.0
        )
