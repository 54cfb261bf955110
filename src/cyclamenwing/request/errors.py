"""Errors of requests."""

from __future__ import annotations

from cyclamenwing import errors


class RequestError(errors.CodedError):
    """Report a request that can't be served."""

    code = "request_error"
    status = 400


class MalformedRequestError(RequestError):
    """Report a body or header that can't be read."""

    code = "malformed_request"


class TooLargeError(RequestError):
    """Report a body beyond the limit."""

    code = "too_large"
    status = 413


class UnauthorizedError(RequestError):
    """Report a missing or unknown key."""

    code = "unauthorized"
    status = 401


class UnknownRouteError(RequestError):
    """Report a model or path without a route for the workspace."""

    code = "unknown_route"
    status = 404


class KeyReusedError(RequestError):
    """Report an idempotency key sent with another body."""

    code = "key_reused"
    status = 422


class OutcomeUnknownError(RequestError):
    """Report a run whose fate is not known."""

    code = "outcome_unknown"
    status = 502


class AnswerBrokenError(RequestError):
    """Report an answer whose parts don't add up."""

    code = "answer_broken"
    status = 502


class ExpiredAnswerError(RequestError):
    """Report a run that ended and whose answer is no longer held."""

    code = "answer_expired"
    status = 410


class DeadlineExceededError(RequestError):
    """Report a request that ran out of time."""

    code = "deadline_exceeded"
    status = 504


__all__ = (
    "AnswerBrokenError",
    "DeadlineExceededError",
    "ExpiredAnswerError",
    "KeyReusedError",
    "MalformedRequestError",
    "OutcomeUnknownError",
    "RequestError",
    "TooLargeError",
    "UnauthorizedError",
    "UnknownRouteError",
)
