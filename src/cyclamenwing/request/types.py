"""Messages between an entry and a sidecar about one run."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from cyclamenwing import errors

RunPhase = Literal["queued", "running", "done", "failed"]
Protocol = Literal["chat", "plain"]


class Charge(TypedDict):
    """Name the reservation that pays for a run."""

    budget: str
    session: str
    sequence: int
    amount: int
    unit: Literal["tokens", "requests"]


class RunOrder(TypedDict):
    """Order a sidecar to run a request.

    `key` identifies the request across retries, `fingerprint` its
    content, `body` is base64 unless `text` holds it, `sidecar` is the
    incarnation that the order is meant for, `submission` differs each
    time that a caller sends the request.
    """

    request: str
    key: str
    submission: str
    fingerprint: str
    sidecar: str
    attempt: int
    workspace: str
    route: str
    kind: str
    reviewer: str
    protocol: Protocol
    idempotent: bool
    method: str
    path: str
    headers: dict[str, str]
    body: str
    charges: list[Charge]
    max_tokens: int
    priority: int
    deadline_ms: int
    revision: int


class Usage(TypedDict):
    """Count the tokens of one run."""

    prompt: int
    completion: int


class Head(TypedDict):
    """Open a run's stream with the endpoint's status line."""

    t: Literal["head"]
    status: int
    headers: dict[str, str]
    request: str


class Part(TypedDict):
    """Carry bytes of the answer at an offset; `b` marks base64."""

    t: Literal["part"]
    o: int
    d: str
    b: NotRequired[bool]


class Beat(TypedDict):
    """Show that the stream is alive."""

    t: Literal["beat"]


class End(TypedDict):
    """Close a run's stream; `length` and `digest` cover all bytes.

    `charges` are the reservations that pay for the run.
    """

    t: Literal["end"]
    length: int
    digest: str
    usage: Usage
    billed_request: str
    charges: list[Charge]


class Refusal(TypedDict):
    """Close a stream with a coded error, after a run with its usage."""

    t: Literal["refusal"]
    code: str
    message: str
    run: errors.RunState
    usage: NotRequired[Usage]
    charges: NotRequired[list[Charge]]


class Frame(TypedDict, total=False):
    """Hold any frame of a run's stream, for decoding."""

    t: Literal["head", "part", "beat", "end", "refusal"]
    status: int
    headers: dict[str, str]
    request: str
    o: int
    d: str
    b: bool
    length: int
    digest: str
    usage: Usage
    billed_request: str
    charges: list[Charge]
    code: str
    message: str
    run: errors.RunState


class KeyQuery(TypedDict):
    """Name a request's run at a sidecar.

    `incarnation` is the one that may know it, `attempt` the number up
    to which a fence bars it.
    """

    key: str
    fingerprint: str
    incarnation: str
    attempt: int


class KeyReply(TypedDict):
    """Tell whether a sidecar has a key's run, or has barred it."""

    found: bool
    barred: bool
    incarnation: str


class Outcome(NamedTuple):
    """Hold how a request ended and which reservations pay for it."""

    usage: Usage
    charges: list[Charge]


__all__ = (
    "Beat",
    "Charge",
    "End",
    "Frame",
    "Head",
    "KeyQuery",
    "KeyReply",
    "Outcome",
    "Part",
    "Protocol",
    "Refusal",
    "RunOrder",
    "RunPhase",
    "Usage",
)
