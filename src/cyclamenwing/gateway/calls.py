"""Requests and answers as parsed from the platform's HTTP headers."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol

from cyclamenwing import errors
from cyclamenwing.transport import h1


class Part(NamedTuple):
    """Name a prompt part that several requests may share."""

    name: str
    tokens: int


class Size(NamedTuple):
    """Hold the prompt tokens and the most output tokens of a request."""

    prompt_tokens: int
    output_tokens: int

    @property
    def max_tokens(self) -> int:
        """Return the most tokens that the request may cost."""
        return self.prompt_tokens + self.output_tokens


class Call(NamedTuple):
    """Hold what the headers of a client's request say.

    :param key: API key of the workspace
    :param wait_s: time until the client's deadline, None if not set
    :param parts: parts of the prompt, in order
    :param last_event_id: event after which a stream is to be resumed
    :param resumes: the client's request that brought the first event of that
        stream; its header names no request to go on with
    """

    request_id: bytes | None
    virtual_host: str
    path: str
    key: str
    wait_s: float | None
    size: Size | None
    parts: tuple[Part, ...]
    last_event_id: bytes | None
    resumes: bytes | None = None


class UpstreamOptions(NamedTuple):
    """Hold what the gateway adds to the request it sends to an endpoint.

    :param endpoint: endpoint that is expected at the address
    :param wait_s: time until the endpoint's deadline
    :param resume_after: id of the last event that the client has received
    """

    endpoint: str
    wait_s: float
    workspace: str | None
    resume_after: bytes | None


class AnswerMetadata(NamedTuple):
    """Hold what the headers of an endpoint's answer say.

    :param request_id: the request that was answered, None if not given
    :param signed: the answer carries the signature of an endpoint, a stamp
    :param not_run: the endpoint declares that it has not run the request
    :param closes: the endpoint closes the connection after this answer
    :param keep_alive_s: idle time after which the endpoint closes it
    :param encoded: the body has a content encoding
    :param leaving: the endpoint takes no new requests any more and will exit
    :param refuse_s: time for which the endpoint wants no requests from this
        gateway; its header reads like advice on one request, but concerns all
    :param limit_rps: requests per second that the endpoint takes from all
        gateways together; its header doesn't say that it concerns the sum
    :param limit_unreadable: the endpoint names a limit that is no such rate
    :param cold_remaining_s: cold time that the endpoint has left, None if it
        does not say
    """

    request_id: bytes | None
    signed: bool
    not_run: bool
    closes: bool
    keep_alive_s: float | None
    encoded: bool
    leaving: bool = False
    refuse_s: float | None = None
    limit_rps: float | None = None
    limit_unreadable: bool = False
    cold_remaining_s: float | None = None


class Refusal(NamedTuple):
    """Hold an error answer that the gateway itself gives.

    :param run: whether the request has run
    """

    status: int
    code: str
    run: errors.RunState = "not_run"
    retry_after_s: float | None = None


class Dialect(Protocol):
    """Translate between the platform's HTTP headers and these types."""

    def read_call(self, request: h1.Request) -> Call:
        """Parse the headers of a client's request.

        :raises CodedError: for headers that can't be parsed
        """

    def write_call(
        self, request: h1.Request, call: Call, options: UpstreamOptions
    ) -> h1.Request:
        """Return the request to send to an endpoint."""

    def read_answer(self, head: h1.ResponseHead) -> AnswerMetadata:
        """Parse the headers of an endpoint's answer."""

    def write_refusal(
        self, refusal: Refusal, request_id: bytes | None
    ) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
        """Return status, headers and body of a refusal."""


def format_request_id(request_id: bytes | None) -> str | None:
    """Return a request id as text for the log."""
    return None if request_id is None else request_id.decode("latin-1")


__all__ = (
    "AnswerMetadata",
    "Call",
    "Dialect",
    "Part",
    "Refusal",
    "Size",
    "UpstreamOptions",
    "format_request_id",
)
