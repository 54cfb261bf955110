"""Errors of requests, with their codes and HTTP statuses."""

from __future__ import annotations

from cyclamenwing import errors


class RequestError(errors.CodedError):
    """Serve as the base of errors about one request."""

    code = "request_error"
    status = 400


class MalformedRequestError(RequestError):
    """Report a request body or header that can't be parsed."""

    code = "malformed_request"


class TooLargeError(RequestError):
    """Report a request body larger than the limit."""

    code = "too_large"
    status = 413


class UnauthorizedError(RequestError):
    """Report a missing or unknown API key."""

    code = "unauthorized"
    status = 401


class NoBudgetError(RequestError):
    """Report a model request for which its workspace has no budget."""

    code = "no_budget"
    status = 402


class UnknownRouteError(RequestError):
    """Report a model or path for which the workspace has no route."""

    code = "unknown_route"
    status = 404


class KeyReusedError(RequestError):
    """Report an idempotency key that was used for another request."""

    code = "key_reused"
    status = 422


class OtherIncarnationError(RequestError):
    """Report an order for an earlier incarnation of the sidecar."""

    code = "other_incarnation"
    status = 409


class OutcomeUnknownError(RequestError):
    """Report a request that may or may not have run."""

    code = "outcome_unknown"
    status = 502
    retry_after_s = 2.0


class AnswerBrokenError(RequestError):
    """Report an answer whose parts, length or digest are inconsistent."""

    code = "answer_broken"
    status = 502


class ExpiredAnswerError(RequestError):
    """Report a finished run whose answer is past its retention."""

    code = "answer_expired"
    status = 410


class AnswerGapError(AnswerBrokenError):
    """Report missing parts of an answer, which a resume may deliver."""

    code = "answer_gap"


class AnswerTooLargeError(RequestError):
    """Report an answer larger than a sidecar may buffer."""

    code = "answer_too_large"
    status = 502


class BuffersFullError(RequestError):
    """Report a sidecar without free buffer space for another run."""

    code = "buffers_full"
    status = 503
    retry_after_s = 1.0


class ClaimsFullError(RequestError):
    """Report a claim shard without room for another claim."""

    code = "claims_full"
    status = 503
    retry_after_s = 30.0


class EntryDrainingError(RequestError):
    """Report a request to an entry that is draining."""

    code = "entry_draining"
    status = 503
    retry_after_s = 1.0


class RunNotFoundError(RequestError):
    """Report a key without a run at the sidecar."""

    code = "run_not_found"
    status = 404


class CancelledError(RequestError):
    """Report a cancelled run."""

    code = "cancelled"
    status = 409


class DeadlineExceededError(RequestError):
    """Report a request that did not end before its deadline."""

    code = "deadline_exceeded"
    status = 504


__all__ = (
    "AnswerBrokenError",
    "AnswerGapError",
    "AnswerTooLargeError",
    "BuffersFullError",
    "CancelledError",
    "ClaimsFullError",
    "DeadlineExceededError",
    "EntryDrainingError",
    "ExpiredAnswerError",
    "KeyReusedError",
    "MalformedRequestError",
    "NoBudgetError",
    "OtherIncarnationError",
    "OutcomeUnknownError",
    "RequestError",
    "RunNotFoundError",
    "TooLargeError",
    "UnauthorizedError",
    "UnknownRouteError",
)
