"""Promises of the demo, as checks of what was seen."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from cyclamenwing import errors as base_errors
from cyclamenwing.budget import types
from cyclamenwing.standin import engine
from cyclamenwing.transport import protocol as transport

DATA = b"data: "
DONE = b"[DONE]"


class Usage(msgspec.Struct):
    """Read the tokens that an answer states."""

    completion_tokens: int = 0


class Message(msgspec.Struct):
    """Read the text of a choice or of its part."""

    content: str = ""


class Choice(msgspec.Struct):
    """Read one choice, whole or a part of it."""

    message: Message | None = None
    delta: Message | None = None


class Completion(msgspec.Struct):
    """Read a whole answer or one event of a stream."""

    choices: list[Choice] = []
    usage: Usage | None = None


def check_status(
    answer: transport.Response, status: int, code: str = ""
) -> list[str]:
    """Return what differs in an answer's status, code and run state."""
    if answer.status != status:
        return [f"status {answer.status} instead of {status}"]
    if status < 400:
        return []
    body = msgspec.json.decode(answer.body, type=base_errors.ErrorBody)
    faults = []
    if body["code"] != code:
        faults.append(f"code {body['code']} instead of {code}")
    if body["run"] != "not_run":
        faults.append(f"refused before it ran, but run is {body['run']}")
    return faults


def check_whole(body: bytes, prompt: str, tokens: int) -> list[str]:
    """Return a fault unless a whole answer is the engine's own."""
    read = msgspec.json.decode(body, type=Completion)
    text = "".join(
        choice.message.content for choice in read.choices if choice.message
    )
    return _compare_text(text, prompt, tokens)


def check_stream(body: bytes, prompt: str, tokens: int) -> list[str]:
    """Return a fault unless a streamed answer is the engine's own."""
    events = [
        line[len(DATA) :]
        for line in body.split(b"\n\n")
        if line.startswith(DATA)
    ]
    if not events or events.pop() != DONE:
        return ["the stream has no end"]
    text = "".join(
        choice.delta.content
        for event in events
        for choice in msgspec.json.decode(event, type=Completion).choices
        if choice.delta
    )
    return _compare_text(text, prompt, tokens)


def check_effects(effects: Mapping[str, int]) -> list[str]:
    """Return calls that took effect more than once."""
    return [
        f"call {digest[:12]} took effect {count} times"
        for digest, count in effects.items()
        if count != 1
    ]


def count_spent(budget: types.Budget) -> int:
    """Return the billed units of a budget."""
    open_spent = sum(grant["spent"] for grant in budget["grants"].values())
    return budget["settled"] + open_spent


def check_budget(name: str, budget: types.Budget) -> list[str]:
    """Return a fault if more than a budget is spent or held."""
    spent = count_spent(budget)
    granted = sum(
        grant["granted"] - grant["returned"]
        for grant in budget["grants"].values()
    )
    if max(spent, budget["settled"] + granted) > budget["paid"]:
        return [f"budget {name}: {spent} spent of {budget['paid']} paid"]
    return []


def check_bills(
    bills: Iterable[types.Bill],
    answered: Mapping[str, str],
    refused: Iterable[str],
) -> list[str]:
    """Return requests whose bills differ from one each.

    `answered` holds the budget that pays for each request.
    """
    counts = collections.Counter(
        (bill["request"], bill["budget"]) for bill in bills
    )
    faults = [
        f"request {request} was billed {counts[request, budget]} times"
        for request, budget in answered.items()
        if counts[request, budget] != 1
    ]
    billed = {request for request, _ in counts}
    faults += [
        f"request {request} was refused and billed"
        for request in refused
        if request in billed
    ]
    return faults


def _compare_text(text: str, prompt: str, tokens: int) -> list[str]:
    expected = "".join(engine.make_words(prompt, tokens))
    if text == expected:
        return []
    return [f"the answer is {text[:60]!r} instead of {expected[:60]!r}"]


__all__ = (
    "check_bills",
    "check_budget",
    "check_effects",
    "check_status",
    "check_stream",
    "check_whole",
    "count_spent",
)
