"""Errors of calls to the key-value store."""

from __future__ import annotations

from cyclamenwing import errors


class StoreError(errors.CodedError):
    """Report a failed call to the key-value store."""

    code = "store_error"
    status = 503


class StoreUnavailableError(StoreError):
    """Report a call that had no effect or was not sent."""

    code = "store_unavailable"


class StoreAnswerLostError(StoreError):
    """Report a call that may have taken effect."""

    code = "store_answer_lost"


class StoreBusyError(StoreUnavailableError):
    """Report a call that exceeded the store's rate limit."""

    code = "store_busy"
    retry_after_s = 1.0


class StoreHistoryLostError(StoreUnavailableError):
    """Report that the store no longer has the changes asked for.

    The caller must read all keys again.
    """

    code = "store_history_lost"


class StoreRefusedError(StoreError):
    """Report a call that the store rejects, such as one with a large value.

    The call had no effect and would be rejected again.
    """

    code = "store_refused"


class StoreMalformedError(StoreAnswerLostError):
    """Report an answer of the store that can't be decoded."""

    code = "store_malformed"


class CommitConflictError(StoreError):
    """Report a commit that met a concurrent write on every attempt."""

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
