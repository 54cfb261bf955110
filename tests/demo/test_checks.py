"""Guards against demo checks that miss a wrong answer, budget or bill."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from cyclamenwing.budget import types
from cyclamenwing.demo import checks
from cyclamenwing.transport import protocol as transport

PROMPT = "a b"
TEXT = "a b a "


def make_whole(text: str) -> bytes:
    return msgspec.json.encode({"choices": [{"message": {"content": text}}]})


def make_stream(text: str, end: bytes = b"data: [DONE]\n\n") -> bytes:
    events = [
        b"data: "
        + msgspec.json.encode({"choices": [{"delta": {"content": word}}]})
        + b"\n\n"
        for word in text.split()
    ]
    return b"".join(event.replace(b'"}}', b' "}}') for event in events) + end


@pytest.mark.parametrize(
    ("text", "faults"), [(TEXT, 0), ("a b ", 1), ("a a b ", 1), ("", 1)]
)
def test_wrong_answer_text_is_a_fault(text: str, faults: int) -> None:
    assert len(checks.check_whole(make_whole(text), PROMPT, 3)) == faults
    assert len(checks.check_stream(make_stream(text), PROMPT, 3)) == faults


def test_stream_without_end_is_a_fault() -> None:
    assert checks.check_stream(make_stream(TEXT, b""), PROMPT, 3)


@pytest.mark.parametrize(
    ("status", "code", "run", "faults"),
    [
        (402, "budget_exhausted", "not_run", 0),
        (402, "budget_exhausted", "unknown", 1),
        (402, "internal", "not_run", 1),
        (402, "internal", "ran", 2),
        (500, "budget_exhausted", "not_run", 1),
        (200, "budget_exhausted", "not_run", 1),
    ],
)
def test_wrong_refusal_is_a_fault(
    status: int, code: str, run: str, faults: int
) -> None:
    body = msgspec.json.encode({"code": code, "message": "", "run": run})
    answer = transport.Response(status, {}, body)
    differences = checks.check_status(answer, 402, "budget_exhausted")
    assert len(differences) == faults


def make_grant(**counts: int) -> Any:
    return {"granted": 0, "spent": 0, "returned": 0} | counts


@pytest.mark.parametrize(
    ("settled", "grant", "faults"),
    [
        (10, make_grant(), 0),
        (11, make_grant(), 1),
        (5, make_grant(granted=5, spent=5), 0),
        (5, make_grant(granted=6), 1),
        (5, make_grant(granted=6, returned=1), 0),
        (5, make_grant(granted=5, spent=6), 1),
    ],
)
def test_overspent_budget_is_a_fault(
    settled: int, grant: Any, faults: int
) -> None:
    budget: types.Budget = {
        "paid": 10,
        "settled": settled,
        "grants": {"s": grant},
    }
    assert len(checks.check_budget("b", budget)) == faults


def make_bill(request: str) -> Any:
    return {"request": request, "budget": "b"}


@pytest.mark.parametrize(
    ("billed", "faults"),
    [("x", 0), ("xx", 1), ("", 1), ("xr", 1), ("r", 2), ("xo", 0)],
)
def test_missing_or_repeated_bill_is_a_fault(billed: str, faults: int) -> None:
    bills = [make_bill(request) for request in billed]
    assert len(checks.check_bills(bills, {"x": "b"}, ["r"])) == faults


@pytest.mark.parametrize(
    ("effects", "faults"), [({"d": 1}, 0), ({"d": 2}, 1), ({}, 0)]
)
def test_repeated_effect_is_a_fault(
    effects: dict[str, int], faults: int
) -> None:
    assert len(checks.check_effects(effects)) == faults
