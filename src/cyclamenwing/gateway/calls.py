"""A client's request in the product's terms."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from cyclamenwing import errors
from cyclamenwing.transport import h1


class Part(NamedTuple):
    """Name a part of a prompt that several requests may share."""

    name: str
    tokens: int


class Size(NamedTuple):
    """Hold a generation's tokens; the output's at the most."""

    prompt_tokens: int
    output_tokens: int

    @property
    def max_tokens(self) -> int:
        """Return what the request may cost at the most."""
        return self.prompt_tokens + self.output_tokens


class Call(NamedTuple):
    """Hold what a request's headers say."""

    request_id: bytes | None
    virtual_host: str
    path: str
    key: str
    wait_s: float | None
    size: Size | None
    parts: tuple[Part, ...]
    last_event_id: bytes | None


class UpstreamOptions(NamedTuple):
    """Hold what the gateway adds to a request that it passes on."""

    endpoint: str
    wait_s: float
    workspace: str | None
    resume_after: bytes | None


class AnswerMetadata(NamedTuple):
    """Hold what the headers of an endpoint's answer say of it.

    :param request_id: the request that it answers, None if it doesn't say
    :param signed: an endpoint that ran the request has signed it
    :param not_run: the endpoint says that it has not run the request
    :param closes: the endpoint closes the connection behind this answer
    :param keep_alive_s: idle time after which the endpoint closes
    :param encoded: the body was changed on the way
    """

    request_id: bytes | None
    signed: bool
    not_run: bool
    closes: bool
    keep_alive_s: float | None
    encoded: bool


class Refusal(NamedTuple):
    """Hold an answer of the gateway's own."""

    status: int
    code: str
    run: errors.RunState = "not_run"
    retry_after_s: float | None = None


class Dialect(Protocol):
    """Translate headers between the wire and the product."""

    def read_call(self, request: h1.Request) -> Call:
        """Read what a client's headers ask for."""

    def write_call(
        self, request: h1.Request, call: Call, options: UpstreamOptions
    ) -> h1.Request:
        """Return a client's request as an endpoint gets it."""

    def read_answer(self, head: h1.Head) -> AnswerMetadata:
        """Read what an endpoint's headers say of its answer."""

    def write_refusal(
        self, refusal: Refusal, request_id: bytes | None
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Return status, headers and body of a refusal of our own."""


__all__ = (
    "AnswerMetadata",
    "Call",
    "Dialect",
    "Part",
    "Refusal",
    "Size",
    "UpstreamOptions",
)
