"""Expiry and eviction of a sidecar's answers, runs and fences."""

from __future__ import annotations

from cyclamenwing.request import run_table


def expire(table: run_table.RunTable, now: float) -> int:
    """Drop answers, runs and fences past their retention.

    A run whose key was given by the caller stays as a tombstone after its
    answer is dropped. Otherwise a retry could run again unpaid, because the
    ledger refunds a second bill of the same key during that time.

    :param now: monotonic time in seconds
    :return: the number of runs and fences that were dropped
    """
    ended = [run for run in table.runs.values() if run.ended]
    for run in ended:
        if now - run.ended_at > run_table.ANSWER_RETENTION_S:
            drop_answer(table, run)
    expired_runs = [
        run for run in ended if now - run.ended_at > _get_key_retention_s(run)
    ]
    for run in expired_runs:
        drop_run(table, run)
    while table.ended and _is_answer_expired(table.ended[0], now):
        table.ended.popleft()
    expired_fences = [
        key
        for key, fence in table.fences.items()
        if now - fence.at > run_table.FENCE_RETENTION_S
    ]
    for key in expired_fences:
        del table.fences[key]
    return len(expired_runs) + len(expired_fences)


def evict(table: run_table.RunTable, max_held_bytes: int) -> None:
    """Drop answers of ended runs until the held bytes are within the limit.

    The oldest answer goes first; one that has followers is kept.
    """
    while table.held_bytes > max_held_bytes:
        run = next((r for r in table.ended if not r.followers), None)
        if run is None:
            return
        table.ended.remove(run)
        drop_answer(table, run)


def make_room(table: run_table.RunTable, max_runs: int, now: float) -> bool:
    """Drop an ended run if the table is full; return whether there is room.

    An ended run of an idempotent request may be dropped at any time, as a
    second run only repeats work. Others are dropped after
    `ANSWER_RETENTION_S`.
    """
    if len(table.runs) < max_runs:
        return True
    droppable = next(
        (
            run
            for run in table.runs.values()
            if run.ended
            and (run.order["idempotent"] or _is_answer_expired(run, now))
        ),
        None,
    )
    if droppable is None:
        return False
    drop_run(table, droppable)
    return True


def drop_run(table: run_table.RunTable, run: run_table.Run) -> None:
    """Remove a run, its key and its answer."""
    key = run.order["key"]
    if table.runs.get(key) is run:
        del table.runs[key]
        table.by_request.pop(run.order["request"], None)
    drop_answer(table, run)


def drop_answer(table: run_table.RunTable, run: run_table.Run) -> None:
    """Drop a run's answer and keep its key as a tombstone."""
    table.held_bytes -= len(run.answer)
    run.answer = bytearray()
    run.expired = run.phase == "done"


def _is_answer_expired(run: run_table.Run, now: float) -> bool:
    return now - run.ended_at > run_table.ANSWER_RETENTION_S


def _get_key_retention_s(run: run_table.Run) -> float:
    generated = run.order["key"].endswith(f"/{run.order['request']}")
    return (
        run_table.ANSWER_RETENTION_S
        if generated
        else run_table.TOMBSTONE_RETENTION_S
    )


__all__ = (
    "drop_answer",
    "drop_run",
    "evict",
    "expire",
    "make_room",
)
