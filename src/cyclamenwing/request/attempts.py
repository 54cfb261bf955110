"""Retry policy: resume a failed attempt, try another sidecar or give up."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Literal
from typing import NamedTuple

from cyclamenwing import errors as base_errors
from cyclamenwing.request import errors

# Sidecars tried for one request.
MAX_ATTEMPTS = 4
# Resumes in a row of one attempt that may bring no new bytes.
MAX_RESUMES = 3
MAX_SILENT_RESUMES = 1
# Delay before the first resume; it doubles with each further one.
RESUME_BASE_DELAY_S = 0.05

FailureKind = Literal[
    "unsent", "lost", "silent", "refused", "replaced", "crashed", "final"
]
DecisionKind = Literal["resume", "elsewhere", "fail"]


class Failure(NamedTuple):
    """Describe how an attempt failed.

    The kinds are:

    - `unsent`: the connection failed, so the order was not sent;
    - `lost`: the connection broke or parts of the answer are missing;
    - `silent`: the sidecar sent nothing within the timeout;
    - `refused`: the sidecar did not run the order and will not run it;
    - `replaced`: another incarnation of the sidecar answered;
    - `crashed`: the endpoint failed during the run;
    - `final`: another attempt would fail in the same way.
    """

    kind: FailureKind
    error: base_errors.CodedError


class Decision(NamedTuple):
    """Hold what to do after a failure.

    `resume` sends the order to the same sidecar again after `delay_s`,
    `elsewhere` tries another sidecar, `fail` returns `error` to the caller.
    """

    kind: DecisionKind
    delay_s: float = 0.0
    error: base_errors.CodedError | None = None


@dataclasses.dataclass(slots=True)
class Progress:
    """Hold the state of one request's attempts.

    `attempts` counts the sidecars tried and `resumes` the resumes in a row
    of the current attempt that brought no new bytes. `sending` is set
    during an exchange, `received` if the current attempt may have reached
    its sidecar and `doubtful` if an earlier attempt may have run.

    :param idempotent: whether the request may run more than once
    :param deadline: monotonic time in seconds at which the request expires
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
        """Return whether a sidecar may have run the request."""
        return self.sending or self.received or self.doubtful


class AttemptController:
    """Decide how to go on after each failed attempt of a request."""

    def begin(self, progress: Progress) -> None:
        """Record the start of an attempt at another sidecar."""
        progress.attempts += 1
        progress.resumes = 0
        progress.received = False

    def decide(
        self, progress: Progress, failure: Failure, now: float
    ) -> Decision:
        """Return what to do after a failure at time `now`."""
        return _DECIDERS[failure.kind](self, progress, failure.error, now)

    def advance(self, progress: Progress) -> None:
        """Reset the resume count after new bytes of the answer arrived."""
        progress.resumes = 0

    def conclude(
        self, progress: Progress, error: base_errors.CodedError
    ) -> base_errors.CodedError:
        """Return the caller's error, with the run state over all attempts.

        The last attempt's "not run" becomes "unknown" if an earlier attempt
        may have run.
        """
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
        return self._retry_elsewhere(progress, error, now)

    def _decide_lost(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        progress.received = True
        delay_s = RESUME_BASE_DELAY_S * 2**progress.resumes
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
        # The resume on a new connection got no answer either, so the sidecar
        # process hangs, not just one connection.
        return self._decide_doubtful(progress, error, now)

    def _decide_refused(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        progress.received = False
        return self._retry_elsewhere(progress, error, now)

    def _decide_replaced(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        if progress.received:
            return self._decide_doubtful(progress, error, now)
        return self._retry_elsewhere(progress, error, now)

    def _decide_doubtful(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        progress.doubtful = True
        if progress.idempotent:
            return self._retry_elsewhere(progress, error, now)
        message = f"{error.code}: {error.message}"
        unknown = errors.OutcomeUnknownError(message, "unknown")
        return Decision("fail", 0.0, unknown)

    def _decide_final(
        self,
        progress: Progress,
        error: base_errors.CodedError,
        now: float,
    ) -> Decision:
        return Decision("fail", 0.0, self.conclude(progress, error))

    def _retry_elsewhere(
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
    "Decision",
    "Failure",
    "Progress",
)
