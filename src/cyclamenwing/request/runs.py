"""A sidecar's table of runs and their answers, in bounded memory."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import NamedTuple

from cyclamenwing.request import errors
from cyclamenwing.request import types

RETENTION_S = 600.0
TOMBSTONE_RETENTION_S = 3_600.0
FENCE_RETENTION_S = 3_600.0
MAX_HELD_BYTES = 64 * 1024 * 1024
MAX_RUN_BYTES = 8 * 1024 * 1024
MAX_RUNS = 20_000
MAX_FENCES = 20_000
EVENT_BYTES = 256
PLAIN_BYTES = 64 * 1024
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(slots=True)
class Run:
    """Hold one run and the answer so far.

    `booked` bytes are set aside for the order and the answer while the
    run lasts; `expired` marks an answer that was dropped, `delivered`
    one that a follower has whole.
    """

    order: types.RunOrder
    booked: int
    deadline: float
    phase: types.RunPhase = "queued"
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    answer: bytearray = dataclasses.field(default_factory=bytearray)
    usage: types.Usage = dataclasses.field(
        default_factory=lambda: types.Usage(prompt=0, completion=0)
    )
    refusal: types.Refusal | None = None
    ended_at: float = 0.0
    digest: str = ""
    expired: bool = False
    followers: int = 0
    delivered: bool = False

    @property
    def ended(self) -> bool:
        """Tell whether the run came to an end."""
        return self.phase in {"done", "failed"}


class Fence(NamedTuple):
    """Bar a key's attempts up to a number from ever running here."""

    attempt: int
    at: float


class Admission(NamedTuple):
    """Tell whether an order starts a run or joins one."""

    run: Run
    started: bool


@dataclasses.dataclass(slots=True)
class RunBoard:
    """Hold a sidecar's runs by request key."""

    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    fences: dict[str, Fence] = dataclasses.field(default_factory=dict)
    ended: collections.deque[Run] = dataclasses.field(
        default_factory=collections.deque
    )
    booked_bytes: int = 0
    held_bytes: int = 0
    leaving: bool = False


class RunController:
    """Admit, join, end and drop runs.

    :param max_held_bytes: bound of all orders and answers
    :param max_runs: bound of runs and tombstones
    """

    def __init__(
        self, max_held_bytes: int = MAX_HELD_BYTES, max_runs: int = MAX_RUNS
    ) -> None:
        self._max_held_bytes = max_held_bytes
        self._max_runs = max_runs

    def admit(
        self,
        board: RunBoard,
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
            self._check_room(board, order)
        except errors.RequestError as err:
            if resumed and not self.bar(board, order, now):
                err.run = "unknown"
            raise
        if found is not None:
            self._drop(board, found)
        return Admission(self._add(board, order, now), True)

    def find(self, board: RunBoard, key: str) -> Run | None:
        """Return the run or tombstone of a key."""
        return board.runs.get(key)

    def check_content(self, found: Run, fingerprint: str) -> None:
        """Raise a coded error unless a run can answer a request."""
        if found.order["fingerprint"] != fingerprint:
            raise errors.KeyReusedError("the key names another request")
        if found.expired:
            raise errors.ExpiredAnswerError(
                "the answer is no longer held", "ran"
            )

    def fence(
        self, board: RunBoard, key: str, attempt: int, now: float
    ) -> bool:
        """Bar a key's attempts unless one runs; tell whether it is barred."""
        if key in board.runs:
            return False
        return self._add_fence(board, key, attempt, now)

    def bar(self, board: RunBoard, order: types.RunOrder, now: float) -> bool:
        """Bar a refused order's other copies; tell whether it is barred."""
        name = _name_fence(order)
        return self._add_fence(board, name, order["attempt"], now)

    def append(self, board: RunBoard, run: Run, data: bytes) -> None:
        """Add bytes to a run's answer; raise `AnswerTooLargeError`."""
        run.answer.extend(data)
        board.held_bytes += len(data)
        grown = len(run.order["body"]) + len(run.answer)
        if grown > run.booked:
            board.booked_bytes += grown - run.booked
            run.booked = grown
        self._evict(board)
        beyond = board.booked_bytes > self._max_held_bytes
        if beyond or len(run.answer) > MAX_RUN_BYTES:
            raise errors.AnswerTooLargeError(
                f"answer beyond {len(run.answer)} bytes", "unknown"
            )

    def finish(self, board: RunBoard, run: Run, now: float) -> None:
        """Close a run whose answer is whole."""
        run.digest = hashlib.sha256(run.answer).hexdigest()
        self._end(board, run, "done", now)

    def fail(
        self,
        board: RunBoard,
        run: Run,
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
            self._drop(board, run)

    def has_undelivered(self, board: RunBoard) -> bool:
        """Tell whether an answer waits for a retry of its caller."""
        return any(run.answer and not run.delivered for run in board.ended)

    def expire(self, board: RunBoard, now: float) -> int:
        """Drop what is past its retention; return how many records.

        The key that a caller gave outlives its answer, so that it can't
        run again within the time in which its bills fold to one.
        """
        ended = [run for run in board.runs.values() if run.ended]
        for run in ended:
            if now - run.ended_at > RETENTION_S:
                self._drop_answer(board, run)
        stale = [
            run for run in ended if now - run.ended_at > _find_retention(run)
        ]
        for run in stale:
            self._drop(board, run)
        while board.ended and now - board.ended[0].ended_at > RETENTION_S:
            board.ended.popleft()
        old = [
            key
            for key, fence in board.fences.items()
            if now - fence.at > FENCE_RETENTION_S
        ]
        for key in old:
            del board.fences[key]
        return len(stale) + len(old)

    def _may_replace(
        self, found: Run, order: types.RunOrder, resumed: bool
    ) -> bool:
        # Only an idempotent request that failed may run again.
        return found.phase == "failed" and order["idempotent"] and not resumed

    def _add_fence(
        self, board: RunBoard, name: str, attempt: int, now: float
    ) -> bool:
        found = board.fences.get(name)
        if found is None and len(board.fences) >= MAX_FENCES:
            return False
        barred = max(attempt, found.attempt if found else 0)
        board.fences[name] = Fence(barred, now)
        return True

    def _check_fence(self, board: RunBoard, order: types.RunOrder) -> None:
        fence = board.fences.get(_name_fence(order))
        if fence is not None and order["attempt"] <= fence.attempt:
            raise FencedError("a later attempt took the request over")

    def _check_room(self, board: RunBoard, order: types.RunOrder) -> None:
        if board.leaving:
            raise DrainingError("the endpoint is leaving")
        needed = board.booked_bytes + _count_booked(order)
        if needed > self._max_held_bytes or not self._make_room(board):
            raise errors.BuffersFullError("the answer buffers are full")

    def _make_room(self, board: RunBoard) -> bool:
        if len(board.runs) < self._max_runs:
            return True
        # A second run of an idempotent request costs work, not truth.
        stale = next(
            (
                run
                for run in board.runs.values()
                if run.ended and run.order["idempotent"]
            ),
            None,
        )
        if stale is None:
            return False
        self._drop(board, stale)
        return True

    def _add(self, board: RunBoard, order: types.RunOrder, now: float) -> Run:
        run = Run(
            order, _count_booked(order), now + order["deadline_ms"] / 1000
        )
        board.runs[order["key"]] = run
        board.by_request[order["request"]] = order["key"]
        board.booked_bytes += run.booked
        board.held_bytes += len(order["body"])
        self._evict(board)
        return run

    def _end(
        self, board: RunBoard, run: Run, phase: types.RunPhase, now: float
    ) -> None:
        board.booked_bytes -= run.booked
        board.held_bytes -= len(run.order["body"])
        run.booked = 0
        run.order["body"] = ""
        run.phase = phase
        run.ended_at = now
        board.ended.append(run)

    def _evict(self, board: RunBoard) -> None:
        while board.held_bytes > self._max_held_bytes:
            run = next((r for r in board.ended if not r.followers), None)
            if run is None:
                return
            board.ended.remove(run)
            self._drop_answer(board, run)

    def _drop(self, board: RunBoard, run: Run) -> None:
        key = run.order["key"]
        if board.runs.get(key) is run:
            del board.runs[key]
            board.by_request.pop(run.order["request"], None)
        self._drop_answer(board, run)

    def _drop_answer(self, board: RunBoard, run: Run) -> None:
        board.held_bytes -= len(run.answer)
        run.answer = bytearray()
        run.expired = run.phase == "done"


def _find_retention(run: Run) -> float:
    fresh = run.order["key"].endswith(f"/{run.order['request']}")
    return RETENTION_S if fresh else TOMBSTONE_RETENTION_S


def _name_fence(order: types.RunOrder) -> str:
    # Attempts of an idempotent request are counted by each submission.
    if order["idempotent"]:
        return f"{order['key']}\0{order['submission']}"
    return order["key"]


def _count_booked(order: types.RunOrder) -> int:
    answer = order["max_tokens"] * EVENT_BYTES or PLAIN_BYTES
    return len(order["body"]) + min(answer, MAX_RUN_BYTES)


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
    "FENCE_RETENTION_S",
    "MAX_HELD_BYTES",
    "MAX_RUNS",
    "MAX_RUN_BYTES",
    "RETENTION_S",
    "RETRY_AFTER_S",
    "TOMBSTONE_RETENTION_S",
    "Admission",
    "DrainingError",
    "Fence",
    "FencedError",
    "Run",
    "RunBoard",
    "RunController",
)
