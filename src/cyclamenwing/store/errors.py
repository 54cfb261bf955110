"""Errors of the store client."""

from __future__ import annotations

from cyclamenwing import errors


class StoreError(errors.CodedError):
    """Report a failed call of the key-value service."""

    code = "store_error"
    status = 503


class StoreUnavailableError(StoreError):
    """Report that the call had no effect or was never sent."""

    code = "store_unavailable"


class StoreAnswerLostError(StoreError):
    """Report that the call may have taken effect."""

    code = "store_answer_lost"


class StoreBusyError(StoreUnavailableError):
    """Report that the call was over the service's rate."""

    code = "store_busy"
    retry_after_s = 1.0


class StoreHistoryLostError(StoreUnavailableError):
    """Report that changes were missed and all must be read again."""

    code = "store_history_lost"


class StoreRefusedError(StoreError):
    """Report a call that the service will never take, such as a large value.

    It had no effect, and repeating it does not help.
    """

    code = "store_refused"


class StoreMalformedError(StoreAnswerLostError):
    """Report an answer of the service that can't be read."""

    code = "store_malformed"


class CommitConflictError(StoreError):
    """Report that a commit lost its race on every attempt."""

    code = "commit_conflict"
    status = 409


__all__ = (
    "CommitConflictError",
    "StoreAnswerLostError",
    "StoreBusyError",
    "StoreError",
    "StoreHistoryLostError",
    "StoreMalformedError",
    "StoreRefusedError",
    "StoreUnavailableError",
)
