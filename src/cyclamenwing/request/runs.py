"""A sidecar's table of runs, their answers and what each session spent."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import NamedTuple

from cyclamenwing.request import errors
from cyclamenwing.request import types

ANSWER_RETENTION_S = 600.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Run:
    """Hold one run and the answer so far."""

    order: types.RunOrder
    phase: types.RunPhase = "queued"
    status: int = 0
    content_type: str = ""
    answer: bytearray = dataclasses.field(default_factory=bytearray)
    usage: types.Usage = dataclasses.field(
        default_factory=lambda: types.Usage(prompt=0, completion=0)
    )
    refusal: types.Refusal | None = None
    ended_at: float = 0.0
    digest: str = ""


class Admission(NamedTuple):
    """Tell whether an order starts a run or joins one."""

    run: Run
    started: bool


@dataclasses.dataclass(slots=True)
class RunBoard:
    """Hold a sidecar's runs by request key."""

    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    by_request: dict[str, str] = dataclasses.field(default_factory=dict)
    closed_sessions: set[str] = dataclasses.field(default_factory=set)
    held_bytes: int = 0
    leaving: bool = False


class RunController:
    """Admit, join and end runs."""

    def admit(self, board: RunBoard, order: types.RunOrder) -> Admission:
        """Start a run, or join the one that has the same key."""
        found = board.runs.get(order["key"])
        if found is not None:
            return self._join(found, order)
        if board.leaving:
            raise DrainingError("the endpoint is leaving")
        for charge in order["charges"]:
            if charge["session"] in board.closed_sessions:
                raise FencedError(f"session {charge['session']!r} is closed")
        run = Run(order)
        board.runs[order["key"]] = run
        board.by_request[order["request"]] = order["key"]
        return Admission(run, True)

    def append(self, board: RunBoard, run: Run, data: bytes) -> None:
        """Add bytes to a run's answer."""
        run.answer.extend(data)
        board.held_bytes += len(data)

    def finish(self, run: Run, now: float) -> None:
        """Close a run whose answer is whole."""
        run.digest = hashlib.sha256(run.answer).hexdigest()
        run.phase = "done"
        run.ended_at = now

    def fail(self, run: Run, refusal: types.Refusal, now: float) -> None:
        """Close a run that has no whole answer."""
        run.refusal = refusal
        run.phase = "failed"
        run.ended_at = now

    def expire(self, board: RunBoard, now: float) -> int:
        """Drop runs past their retention; return how many."""
        stale = [
            key
            for key, run in board.runs.items()
            if run.ended_at and now - run.ended_at > ANSWER_RETENTION_S
        ]
        for key in stale:
            run = board.runs.pop(key)
            board.by_request.pop(run.order["request"], None)
            board.held_bytes -= len(run.answer)
        return len(stale)

    def _join(self, found: Run, order: types.RunOrder) -> Admission:
        if found.order["fingerprint"] != order["fingerprint"]:
            raise errors.KeyReusedError("the key names another request")
        return Admission(found, False)


class FencedError(errors.RequestError):
    """Report an order of a session that is closed."""

    code = "fenced"
    status = 409


class DrainingError(errors.RequestError):
    """Report an order to an endpoint that is leaving."""

    code = "draining"
    status = 503


__all__ = (
    "ANSWER_RETENTION_S",
    "MAX_ANSWER_BYTES",
    "Admission",
    "DrainingError",
    "FencedError",
    "Run",
    "RunBoard",
    "RunController",
)
