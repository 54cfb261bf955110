"""Base of the coded errors of all layers."""

from __future__ import annotations

from typing import ClassVar
from typing import Literal
from typing import TypedDict

RunState = Literal["not_run", "ran", "unknown"]


class ErrorBody(TypedDict):
    """JSON body of a refusal."""

    code: str
    message: str
    run: RunState


class CodedError(Exception):
    """Carry a stable code, a message and the run state of the request.

    :param message: text for a person, without secrets
    :param run: whether the request that failed was run
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    retry_after_s: float | None = None

    def __init__(self, message: str, run: RunState = "not_run") -> None:
        super().__init__(message)
        self.message = message
        self.run: RunState = run

    def describe(self) -> ErrorBody:
        """Return the error as the JSON body of a refusal."""
        return {"code": self.code, "message": self.message, "run": self.run}


__all__ = (
    "CodedError",
    "ErrorBody",
    "RunState",
)
