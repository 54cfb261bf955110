"""Base class of all errors that carry a stable code."""

from __future__ import annotations

from typing import ClassVar
from typing import Literal
from typing import TypedDict

RunState = Literal["not_run", "ran", "unknown"]


class ErrorBody(TypedDict):
    """Hold the JSON body of an error response."""

    code: str
    message: str
    run: RunState


class CodedError(Exception):
    """Carry a stable error code, a message and the request's run state.

    `code` and `status` are set by each subclass: the code that callers
    match and the HTTP status of the response. `retry_after_s` is sent as
    the Retry-After header if it is set.

    :param message: human-readable text without secrets
    :param run: whether an endpoint ran the failed request
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    retry_after_s: float | None = None

    def __init__(self, message: str, run: RunState = "not_run") -> None:
        super().__init__(message)
        self.message = message
        self.run: RunState = run

    def describe(self) -> ErrorBody:
        """Return the error as the JSON body of a response."""
        return {"code": self.code, "message": self.message, "run": self.run}


__all__ = (
    "CodedError",
    "ErrorBody",
    "RunState",
)
