"""Decisions of a sidecar on orders, runs and keys."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from cyclamenwing.request import errors
from cyclamenwing.request import retention
from cyclamenwing.request import run_table
from cyclamenwing.request import types

RETRY_AFTER_S = 1.0


class Admission(NamedTuple):
    """Tell whether an order starts a run or joins one."""

    run: run_table.Run
    started: bool


class RunController:
    """Admit, join, end and drop runs.

    :param max_held_bytes: bound of all orders and answers
    :param max_runs: bound of runs and tombstones
    """

    def __init__(
        self,
        max_held_bytes: int = run_table.MAX_HELD_BYTES,
        max_runs: int = run_table.MAX_RUNS,
    ) -> None:
        self._max_held_bytes = max_held_bytes
        self._max_runs = max_runs

    def admit(
        self,
        board: run_table.RunTable,
        order: types.RunOrder,
        now: float,
        resumed: bool = False,
    ) -> Admission:
        """Start a run, or join the one that has the same key.

        A refused order that was sent before is fenced, so that its first
        copy can't run when it comes late.
        """
        found = board.runs.get(order["key"])
        if found is not None and not self._may_replace(found, order, resumed):
            self.check_content(found, order["fingerprint"])
            return Admission(found, False)
        try:
            self._check_fence(board, order)
            self._check_room(board, order, now)
        except errors.RequestError as err:
            if resumed and not self.fence_order(board, order, now):
                err.run = "unknown"
            raise
        if found is not None:
            retention.drop_run(board, found)
        return Admission(self._add(board, order, now), True)

    def find(
        self, board: run_table.RunTable, key: str
    ) -> run_table.Run | None:
        """Return the run or tombstone of a key."""
        return board.runs.get(key)

    def check_content(self, found: run_table.Run, fingerprint: str) -> None:
        """Raise a coded error unless a run can answer a request."""
        if found.order["fingerprint"] != fingerprint:
            raise errors.KeyReusedError("the key names another request")
        if found.expired:
            raise errors.ExpiredAnswerError(
                "the answer is no longer held", "ran"
            )

    def fence_key(
        self, board: run_table.RunTable, key: str, attempt: int, now: float
    ) -> bool:
        """Bar a key's attempts unless one runs; tell whether it is barred."""
        if key in board.runs:
            return False
        return self._add_fence(board, key, attempt, now)

    def fence_order(
        self, board: run_table.RunTable, order: types.RunOrder, now: float
    ) -> bool:
        """Bar a refused order's other copies; tell whether it is barred."""
        name = _name_fence(order)
        return self._add_fence(board, name, order["attempt"], now)

    def append(
        self, board: run_table.RunTable, run: run_table.Run, data: bytes
    ) -> None:
        """Add bytes to a run's answer; raise `AnswerTooLargeError`."""
        run.answer.extend(data)
        board.held_bytes += len(data)
        grown = len(run.order["body"]) + len(run.answer)
        if grown > run.booked:
            board.booked_bytes += grown - run.booked
            run.booked = grown
        retention.evict(board, self._max_held_bytes)
        beyond = board.booked_bytes > self._max_held_bytes
        if beyond or len(run.answer) > run_table.MAX_RUN_BYTES:
            raise errors.AnswerTooLargeError(
                f"answer beyond {len(run.answer)} bytes", "unknown"
            )

    def finish(
        self, board: run_table.RunTable, run: run_table.Run, now: float
    ) -> None:
        """Close a run whose answer is whole."""
        run.digest = hashlib.sha256(run.answer).hexdigest()
        self._end(board, run, "done", now)

    def fail(
        self,
        board: run_table.RunTable,
        run: run_table.Run,
        refusal: types.Refusal,
        now: float,
    ) -> None:
        """Close a run that has no whole answer; forget one that did not run.

        A retry with the key of a run that did not run may run it.
        """
        run.refusal = refusal
        self._end(board, run, "failed", now)
        if refusal["run"] == "not_run":
            board.ended.pop()
            retention.drop_run(board, run)

    def has_undelivered(self, board: run_table.RunTable) -> bool:
        """Tell whether an answer waits for a retry of its caller."""
        return any(run.answer and not run.delivered for run in board.ended)

    def _may_replace(
        self, found: run_table.Run, order: types.RunOrder, resumed: bool
    ) -> bool:
        # Only an idempotent request that failed may run again.
        return found.phase == "failed" and order["idempotent"] and not resumed

    def _add_fence(
        self, board: run_table.RunTable, name: str, attempt: int, now: float
    ) -> bool:
        found = board.fences.get(name)
        if found is None and len(board.fences) >= run_table.MAX_FENCES:
            return False
        barred = max(attempt, found.attempt if found else 0)
        board.fences[name] = run_table.Fence(barred, now)
        return True

    def _check_fence(
        self, board: run_table.RunTable, order: types.RunOrder
    ) -> None:
        fence = board.fences.get(_name_fence(order))
        if fence is not None and order["attempt"] <= fence.attempt:
            raise FencedError("a later attempt took the request over")

    def _check_room(
        self, board: run_table.RunTable, order: types.RunOrder, now: float
    ) -> None:
        if board.draining:
            raise DrainingError("the endpoint is leaving")
        needed = board.booked_bytes + _count_booked(order)
        if needed > self._max_held_bytes or not retention.make_place(
            board, self._max_runs, now
        ):
            raise errors.BuffersFullError("the answer buffers are full")

    def _add(
        self, board: run_table.RunTable, order: types.RunOrder, now: float
    ) -> run_table.Run:
        run = run_table.Run(
            order, _count_booked(order), now + order["deadline_ms"] / 1000
        )
        board.runs[order["key"]] = run
        board.by_request[order["request"]] = order["key"]
        board.booked_bytes += run.booked
        board.held_bytes += len(order["body"])
        retention.evict(board, self._max_held_bytes)
        return run

    def _end(
        self,
        board: run_table.RunTable,
        run: run_table.Run,
        phase: types.RunPhase,
        now: float,
    ) -> None:
        board.booked_bytes -= run.booked
        board.held_bytes -= len(run.order["body"])
        run.booked = 0
        run.order["body"] = ""
        run.phase = phase
        run.ended_at = now
        board.ended.append(run)


def _name_fence(order: types.RunOrder) -> str:
    # Attempts of an idempotent request are counted by each submission.
    if order["idempotent"]:
        return f"{order['key']}\0{order['submission']}"
    return order["key"]


def _count_booked(order: types.RunOrder) -> int:
    answer = (
        order["max_tokens"] * run_table.EVENT_BYTES or run_table.PLAIN_BYTES
    )
    return len(order["body"]) + min(answer, run_table.MAX_RUN_BYTES)


class FencedError(errors.RequestError):
    """Report an order that may not run at this sidecar."""

    code = "fenced"
    status = 409


class DrainingError(errors.RequestError):
    """Report an order to an endpoint that is leaving."""

    code = "draining"
    status = 503
    retry_after_s = RETRY_AFTER_S


__all__ = (
    "RETRY_AFTER_S",
    "Admission",
    "DrainingError",
    "FencedError",
    "RunController",
)
