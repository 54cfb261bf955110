"""Decisions after a failed attempt: resume, run elsewhere or give up."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Literal
from typing import NamedTuple

from cyclamenwing import errors as base_errors
from cyclamenwing.request import errors

MAX_ATTEMPTS = 4
MAX_RESUMES = 3
MAX_SILENT_RESUMES = 1
RESUME_DELAY_S = 0.05

FailureKind = Literal[
    "unsent", "lost", "silent", "refused", "replaced", "crashed", "final"
]
StepKind = Literal["resume", "elsewhere", "fail"]


class Failure(NamedTuple):
    """Describe how an attempt failed.

    `unsent`: nothing reached the sidecar; `lost`: the connection broke
    or lost parts; `silent`: nothing came within the bound; `refused`:
    the sidecar has not run it and won't; `replaced`: another incarnation
    answered; `crashed`: the endpoint failed during the run; `final`: no
    attempt can mend it.
    """

    kind: FailureKind
    error: base_errors.CodedError


class Decision(NamedTuple):
    """Tell what to do next; `error` is the caller's final answer."""

    kind: StepKind
    delay_s: float = 0.0
    error: base_errors.CodedError | None = None


@dataclasses.dataclass(slots=True)
class Progress:
    """Hold the course of one request's attempts.

    `sending` marks an exchange in progress, `received` that the present
    attempt may have reached its sidecar, `doubtful` that an earlier one
    may have run.

    :param idempotent: whether it may run more than once
    :param deadline: when the request runs out of time, in seconds
    """

    idempotent: bool
    deadline: float
    attempts: int = 0
    resumes: int = 0
    sending: bool = False
    received: bool = False
    doubtful: bool = False

    @property
    def may_have_run(self) -> bool:
        """Tell whether some sidecar may have run it unnoticed."""
        return self.sending or self.received or self.doubtful


class AttemptController:
    """Decide on each failure of a request's attempts."""

    def begin(self, progress: Progress) -> None:
        """Count an attempt at another sidecar."""
        progress.attempts += 1
        progress.resumes = 0
        progress.received = False

    def decide(
        self, progress: Progress, failure: Failure, now: float
    ) -> Decision:
        """Return the next step after a failure."""
        return _DECIDERS[failure.kind](self, progress, failure.error, now)

    def advance(self, progress: Progress) -> None:
        """Take note that an attempt brought new bytes of the answer."""
        progress.resumes = 0

    def conclude(
        self, progress: Progress, error: base_errors.CodedError
    ) -> base_errors.CodedError:
        """Return an error whose run state covers all attempts."""
        if progress.may_have_run and error.run == "not_run":
            return errors.OutcomeUnknownError(error.message, "unknown")
        return error

    def _decide_unsent(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        if progress.received:
            return self._decide_lost(progress, error, now)
        return self._go_elsewhere(progress, error, now)

    def _decide_lost(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        progress.received = True
        delay_s = RESUME_DELAY_S * 2**progress.resumes
        in_time = now + delay_s < progress.deadline
        if progress.resumes < MAX_RESUMES and in_time:
            progress.resumes += 1
            return Decision("resume", delay_s)
        return self._decide_doubtful(progress, error, now)

    def _decide_silent(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        if progress.resumes < MAX_SILENT_RESUMES:
            return self._decide_lost(progress, error, now)
        # New connections are silent too: the process itself is.
        return self._decide_doubtful(progress, error, now)

    def _decide_refused(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        progress.received = False
        return self._go_elsewhere(progress, error, now)

    def _decide_replaced(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        if progress.received:
            return self._decide_doubtful(progress, error, now)
        return self._go_elsewhere(progress, error, now)

    def _decide_doubtful(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        progress.doubtful = True
        if progress.idempotent:
            return self._go_elsewhere(progress, error, now)
        message = f"{error.code}: {error.message}"
        made = errors.OutcomeUnknownError(message, "unknown")
        return Decision("fail", 0.0, made)

    def _decide_final(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        return Decision("fail", 0.0, self.conclude(progress, error))

    def _go_elsewhere(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        if progress.attempts < MAX_ATTEMPTS and now < progress.deadline:
            return Decision("elsewhere")
        return Decision("fail", 0.0, self.conclude(progress, error))


_DECIDERS: dict[
    FailureKind,
    Callable[
        [AttemptController, Progress, base_errors.CodedError, float], Decision
    ],
] = {
    "unsent": AttemptController._decide_unsent,
    "lost": AttemptController._decide_lost,
    "silent": AttemptController._decide_silent,
    "refused": AttemptController._decide_refused,
    "replaced": AttemptController._decide_replaced,
    "crashed": AttemptController._decide_doubtful,
    "final": AttemptController._decide_final,
}

__all__ = (
    "MAX_ATTEMPTS",
    "MAX_RESUMES",
    "MAX_SILENT_RESUMES",
    "AttemptController",
    "Failure",
    "Progress",
    "Decision",
)
