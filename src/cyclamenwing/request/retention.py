"""Bounds in time and memory of what a sidecar holds."""

from __future__ import annotations

from cyclamenwing.request import run_table


def expire(board: run_table.RunTable, now: float) -> int:
    """Drop what is past its retention; return how many records.

    The key that a caller gave outlives its answer, so that it can't run
    again within the time in which its bills fold to one.
    """
    ended = [run for run in board.runs.values() if run.ended]
    for run in ended:
        if now - run.ended_at > run_table.ANSWER_RETENTION_S:
            drop_answer(board, run)
    stale = [run for run in ended if now - run.ended_at > _find_retention(run)]
    for run in stale:
        drop_run(board, run)
    while board.ended and _is_old(board.ended[0], now):
        board.ended.popleft()
    old = [
        key
        for key, fence in board.fences.items()
        if now - fence.at > run_table.FENCE_RETENTION_S
    ]
    for key in old:
        del board.fences[key]
    return len(stale) + len(old)


def evict(board: run_table.RunTable, max_held_bytes: int) -> None:
    """Drop ended answers without followers, the oldest first."""
    while board.held_bytes > max_held_bytes:
        run = next((r for r in board.ended if not r.followers), None)
        if run is None:
            return
        board.ended.remove(run)
        drop_answer(board, run)


def make_place(board: run_table.RunTable, max_runs: int, now: float) -> bool:
    """Drop a record if the table is full; tell whether there is a place.

    A second run of an idempotent request costs work, not truth.
    """
    if len(board.runs) < max_runs:
        return True
    stale = next(
        (
            run
            for run in board.runs.values()
            if run.ended and (run.order["idempotent"] or _is_old(run, now))
        ),
        None,
    )
    if stale is None:
        return False
    drop_run(board, stale)
    return True


def drop_run(board: run_table.RunTable, run: run_table.Run) -> None:
    """Forget a run and its key."""
    key = run.order["key"]
    if board.runs.get(key) is run:
        del board.runs[key]
        board.by_request.pop(run.order["request"], None)
    drop_answer(board, run)


def drop_answer(board: run_table.RunTable, run: run_table.Run) -> None:
    """Forget a run's answer; its key stays known."""
    board.held_bytes -= len(run.answer)
    run.answer = bytearray()
    run.expired = run.phase == "done"


def _is_old(run: run_table.Run, now: float) -> bool:
    return now - run.ended_at > run_table.ANSWER_RETENTION_S


def _find_retention(run: run_table.Run) -> float:
    fresh = run.order["key"].endswith(f"/{run.order['request']}")
    return (
        run_table.ANSWER_RETENTION_S
        if fresh
        else run_table.TOMBSTONE_RETENTION_S
    )


__all__ = (
    "drop_answer",
    "drop_run",
    "evict",
    "expire",
    "make_place",
)
