"""Admission, fencing and completion of runs at a sidecar."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from cyclamenwing.request import errors
from cyclamenwing.request import retention
from cyclamenwing.request import run_table
from cyclamenwing.request import types

RETRY_AFTER_S = 1.0


class Admission(NamedTuple):
    """Hold the run of an admitted order, and whether the order started it."""

    run: run_table.Run
    started: bool


class RunController:
    """Admit orders to a run table and end their runs.

    Times are monotonic, in seconds.

    :param max_held_bytes: limit of the memory of all orders and answers
    :param max_runs: limit of the number of runs and tombstones
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
        table: run_table.RunTable,
        order: types.RunOrder,
        now: float,
        resumed: bool = False,
    ) -> Admission:
        """Start a run, or join the run with the same key.

        If a resumed order is refused, its attempt is fenced: the copy that
        was sent first may still arrive and must not run then. Where the
        fence can't be added, the error's run state becomes "unknown".

        :param resumed: whether the order may have reached this sidecar before
        :raises RequestError: if the order may neither start nor join a run
        """
        existing = table.runs.get(order["key"])
        if existing is not None and not self._may_replace(
            existing, order, resumed
        ):
            self.check_content(existing, order["fingerprint"])
            return Admission(existing, False)
        try:
            self._check_fence(table, order)
            self._check_capacity(table, order, now)
        except errors.RequestError as err:
            if resumed and not self.fence_order(table, order, now):
                err.run = "unknown"
            raise
        if existing is not None:
            retention.drop_run(table, existing)
        return Admission(self._add(table, order, now), True)

    def find(
        self, table: run_table.RunTable, key: str
    ) -> run_table.Run | None:
        """Return the run or tombstone of a key, or None."""
        return table.runs.get(key)

    def check_content(self, run: run_table.Run, fingerprint: str) -> None:
        """Check that a run can answer a request.

        :raises KeyReusedError: if the run is of another request
        :raises ExpiredAnswerError: if the run's answer has been dropped
        """
        if run.order["fingerprint"] != fingerprint:
            raise errors.KeyReusedError("the key names another request")
        if run.expired:
            raise errors.ExpiredAnswerError(
                "the answer is no longer held", "ran"
            )

    def fence_key(
        self, table: run_table.RunTable, key: str, attempt: int, now: float
    ) -> bool:
        """Fence a key up to an attempt; return whether it is fenced.

        A key that has a run is not fenced.
        """
        if key in table.runs:
            return False
        return self._add_fence(table, key, attempt, now)

    def fence_order(
        self, table: run_table.RunTable, order: types.RunOrder, now: float
    ) -> bool:
        """Fence a refused order's attempt; return whether it is fenced.

        Other copies of the order are then refused too.
        """
        fence_key = _make_fence_key(order)
        return self._add_fence(table, fence_key, order["attempt"], now)

    def append(
        self, table: run_table.RunTable, run: run_table.Run, data: bytes
    ) -> None:
        """Append bytes to a run's answer.

        :raises AnswerTooLargeError: if the answer, or all reserved bytes
            together, exceed their limit
        """
        run.answer.extend(data)
        table.held_bytes += len(data)
        run_bytes = len(run.order["body"]) + len(run.answer)
        if run_bytes > run.reserved_bytes:
            table.reserved_bytes += run_bytes - run.reserved_bytes
            run.reserved_bytes = run_bytes
        retention.evict(table, self._max_held_bytes)
        over_limit = table.reserved_bytes > self._max_held_bytes
        if over_limit or len(run.answer) > run_table.MAX_ANSWER_BYTES:
            raise errors.AnswerTooLargeError(
                f"answer exceeds the limit at {len(run.answer)} bytes",
                "unknown",
            )

    def finish(
        self, table: run_table.RunTable, run: run_table.Run, now: float
    ) -> None:
        """End a run whose answer is complete."""
        run.digest = hashlib.sha256(run.answer).hexdigest()
        self._end(table, run, "done", now)

    def fail(
        self,
        table: run_table.RunTable,
        run: run_table.Run,
        refusal: types.Refusal,
        now: float,
    ) -> None:
        """End a run without a complete answer.

        If the endpoint did not run the request, the run is dropped, so that a
        retry with the same key may start it.
        """
        run.refusal = refusal
        self._end(table, run, "failed", now)
        if refusal["run"] == "not_run":
            table.ended.pop()
            retention.drop_run(table, run)

    def has_undelivered(self, table: run_table.RunTable) -> bool:
        """Return whether an ended run's answer was never received whole."""
        return any(run.answer and not run.delivered for run in table.ended)

    def _may_replace(
        self, run: run_table.Run, order: types.RunOrder, resumed: bool
    ) -> bool:
        # Only a failed run of an idempotent request may be replaced. A resumed
        # order joins the failed run instead, to receive its refusal.
        return run.phase == "failed" and order["idempotent"] and not resumed

    def _add_fence(
        self,
        table: run_table.RunTable,
        fence_key: str,
        attempt: int,
        now: float,
    ) -> bool:
        fence = table.fences.get(fence_key)
        if fence is None and len(table.fences) >= run_table.MAX_FENCES:
            return False
        attempt_bound = max(attempt, fence.attempt if fence else 0)
        table.fences[fence_key] = run_table.Fence(attempt_bound, now)
        return True

    def _check_fence(
        self, table: run_table.RunTable, order: types.RunOrder
    ) -> None:
        fence = table.fences.get(_make_fence_key(order))
        if fence is not None and order["attempt"] <= fence.attempt:
            raise FencedError("a later attempt has replaced this one")

    def _check_capacity(
        self, table: run_table.RunTable, order: types.RunOrder, now: float
    ) -> None:
        if table.draining:
            raise DrainingError("the endpoint is draining")
        needed = table.reserved_bytes + _count_reserved_bytes(order)
        if needed > self._max_held_bytes or not retention.make_room(
            table, self._max_runs, now
        ):
            raise errors.BuffersFullError("the answer buffers are full")

    def _add(
        self, table: run_table.RunTable, order: types.RunOrder, now: float
    ) -> run_table.Run:
        run = run_table.Run(
            order,
            _count_reserved_bytes(order),
            now + order["deadline_ms"] / 1000,
        )
        table.runs[order["key"]] = run
        table.by_request[order["request"]] = order["key"]
        table.reserved_bytes += run.reserved_bytes
        table.held_bytes += len(order["body"])
        retention.evict(table, self._max_held_bytes)
        return run

    def _end(
        self,
        table: run_table.RunTable,
        run: run_table.Run,
        phase: types.RunPhase,
        now: float,
    ) -> None:
        table.reserved_bytes -= run.reserved_bytes
        table.held_bytes -= len(run.order["body"])
        run.reserved_bytes = 0
        run.order["body"] = ""
        run.phase = phase
        run.ended_at = now
        table.ended.append(run)


def _make_fence_key(order: types.RunOrder) -> str:
    # Each submission of an idempotent request counts its attempts from 1,
    # so its fence must not refuse the attempts of another submission.
    if order["idempotent"]:
        return f"{order['key']}\0{order['submission']}"
    return order["key"]


def _count_reserved_bytes(order: types.RunOrder) -> int:
    answer = (
        order["max_tokens"] * run_table.ANSWER_BYTES_PER_TOKEN
        or run_table.PLAIN_ANSWER_BYTES
    )
    return len(order["body"]) + min(answer, run_table.MAX_ANSWER_BYTES)


class FencedError(errors.RequestError):
    """Report an order whose attempt is fenced at this sidecar."""

    code = "fenced"
    status = 409


class DrainingError(errors.RequestError):
    """Report an order to a sidecar whose endpoint is draining."""

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
