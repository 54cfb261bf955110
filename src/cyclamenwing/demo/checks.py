"""Checks of the demo's answers, budgets and bills."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from cyclamenwing import decoding
from cyclamenwing import errors as base_errors
from cyclamenwing.budget import types
from cyclamenwing.standin import engine
from cyclamenwing.transport import protocol as transport

SSE_DATA_PREFIX = b"data: "
SSE_DONE = b"[DONE]"


class Usage(msgspec.Struct):
    """Decode the token usage of an answer."""

    completion_tokens: int = 0


class Message(msgspec.Struct):
    """Decode the text of a choice or of a streamed part of it."""

    content: str = ""


class Choice(msgspec.Struct):
    """Decode a choice of an answer: a message or a streamed delta."""

    message: Message | None = None
    delta: Message | None = None


class Completion(msgspec.Struct):
    """Decode a complete answer or one event of a stream."""

    choices: list[Choice] = []
    usage: Usage | None = None


def check_status(
    answer: transport.Response, status: int, code: str = ""
) -> list[str]:
    """Return faults in an answer's status, error code and run state."""
    if answer.status != status:
        return [f"status {answer.status} instead of {status}"]
    if status < 400:
        return []
    body = decoding.decode(answer.body, base_errors.ErrorBody)
    faults = []
    if body["code"] != code:
        faults.append(f"code {body['code']} instead of {code}")
    if body["run"] != "not_run":
        faults.append(f"expected run state not_run, got {body['run']}")
    return faults


def check_whole(body: bytes, prompt: str, tokens: int) -> list[str]:
    """Return a fault if a complete answer isn't the engine's text."""
    completion = decoding.decode(body, Completion)
    text = "".join(
        choice.message.content
        for choice in completion.choices
        if choice.message
    )
    return _compare_text(text, prompt, tokens)


def check_stream(body: bytes, prompt: str, tokens: int) -> list[str]:
    """Return a fault if a streamed answer isn't the engine's text."""
    events = [
        line[len(SSE_DATA_PREFIX) :]
        for line in body.split(b"\n\n")
        if line.startswith(SSE_DATA_PREFIX)
    ]
    if not events or events.pop() != SSE_DONE:
        return ["the stream does not end with [DONE]"]
    text = "".join(
        choice.delta.content
        for event in events
        for choice in decoding.decode(event, Completion).choices
        if choice.delta
    )
    return _compare_text(text, prompt, tokens)


def check_effects(effects: Mapping[str, int]) -> list[str]:
    """Return a fault for each call that did not take effect once."""
    return [
        f"call {digest[:12]} took effect {count} times"
        for digest, count in effects.items()
        if count != 1
    ]


def count_spent(budget: types.Budget) -> int:
    """Return the units of a budget that were spent."""
    open_spent = sum(grant["spent"] for grant in budget["grants"].values())
    return budget["settled"] + open_spent


def check_budget(name: str, budget: types.Budget) -> list[str]:
    """Return a fault if a budget is overspent or over-granted."""
    spent = count_spent(budget)
    unreturned = sum(
        grant["granted"] - grant["returned"]
        for grant in budget["grants"].values()
    )
    if max(spent, budget["settled"] + unreturned) > budget["paid"]:
        return [f"budget {name}: {spent} spent of {budget['paid']} paid"]
    return []


def check_bills(
    bills: Iterable[types.Bill],
    answered: Mapping[str, str],
    refused: Iterable[str],
) -> list[str]:
    """Return faults: requests that were not billed exactly as expected.

    :param answered: the budget that pays for each answered request, which
        must be billed once
    :param refused: requests that must not be billed
    """
    counts = collections.Counter(
        (bill["request"], bill["budget"]) for bill in bills
    )
    faults = [
        f"request {request} was billed {counts[request, budget]} times"
        for request, budget in answered.items()
        if counts[request, budget] != 1
    ]
    billed_requests = {request for request, _ in counts}
    faults += [
        f"request {request} was refused and billed"
        for request in refused
        if request in billed_requests
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
