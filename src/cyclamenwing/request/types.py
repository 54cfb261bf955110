"""Messages between entries and sidecars about one run."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from cyclamenwing import errors

RunPhase = Literal["queued", "running", "done", "failed"]
Protocol = Literal["chat", "plain"]


class Charge(TypedDict):
    """Identify a reservation that pays for a run."""

    budget: str
    session: str
    sequence: int
    amount: int
    unit: Literal["tokens", "requests"]


class RunOrder(TypedDict):
    """Order a sidecar to run a request.

    `key` identifies the request across retries, `fingerprint` its content
    and `submission` one sending of it by the caller. `sidecar` is the
    incarnation for which the order is meant. `body` is base64, `deadline_ms`
    the time left in milliseconds and `revision` that of the catalog.
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
    """Open a run's stream with the status and headers of the answer."""

    t: Literal["head"]
    status: int
    headers: dict[str, str]
    request: str


class Part(TypedDict):
    """Carry bytes of the answer.

    `o` is the offset in the answer, `d` the data, as base64 if `b` is set.
    """

    t: Literal["part"]
    o: int
    d: str
    b: NotRequired[bool]


class KeepAlive(TypedDict):
    """Show that the stream is alive while no part is sent."""

    t: Literal["beat"]


class End(TypedDict):
    """Close a run's stream after the complete answer.

    `length` and `digest` are those of the whole answer, `charges` the
    reservations that pay for the run and `billed_request` the request id
    under which it is billed.
    """

    t: Literal["end"]
    length: int
    digest: str
    usage: Usage
    billed_request: str
    charges: list[Charge]


class Refusal(TypedDict):
    """Close a run's stream with an error.

    `usage` and `charges` are present if the request was run.
    """

    t: Literal["refusal"]
    code: str
    message: str
    run: errors.RunState
    usage: NotRequired[Usage]
    charges: NotRequired[list[Charge]]


class Frame(TypedDict, total=False):
    """Hold the fields of any frame of a run's stream, for decoding."""

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
    """Ask a sidecar for a key's run.

    If `incarnation` is the sidecar's own and the key has no run, attempts
    up to `attempt` are fenced; 0 adds no fence.
    """

    key: str
    fingerprint: str
    incarnation: str
    attempt: int


class KeyReply(TypedDict):
    """Report whether a sidecar has a key's run, or has fenced the key."""

    found: bool
    barred: bool
    incarnation: str


class Outcome(NamedTuple):
    """Hold the usage of a finished request and the reservations for it."""

    usage: Usage
    charges: list[Charge]


__all__ = (
    "Charge",
    "End",
    "Frame",
    "Head",
    "KeepAlive",
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
