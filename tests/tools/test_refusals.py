"""Counting refusals that asked for tokens left over.

Guards against figures that count true ends of budgets, or tokens lost with
dead processes, as mistakes of the gateways, and the reverse.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from tools import refusals

HOLDER = "holder"


def write_log(*messages: tuple[float, str, dict[str, Any]]) -> str:
    """Return a log of messages, each with seconds, host and fields."""
    return "".join(
        f"{at_s:10.4f} {host} {json.dumps(fields)}\n"
        for at_s, host, fields in messages
    )


def run(
    at_s: float, tokens: int, spent: int, ms: float = 500.0
) -> tuple[float, str, dict[str, Any]]:
    """Return the end of a request that ran for `ms`."""
    return (
        at_s,
        "front",
        {
            "message_type": "request:done",
            "request": f"run-{at_s}",
            "workspace": "w1",
            "tokens": tokens,
            "spent": spent,
            "reserved_ms": 0.0,
            "ms": ms,
        },
    )


def refuse(
    at_s: float, tokens: int, **decision: int
) -> list[tuple[float, str, dict[str, Any]]]:
    """Return the messages of a request that a holder refused."""
    request = f"refused-{at_s}"
    known = {"held": 0, "available": 0, "free": 0, "prepaid": 1_000}
    return [
        (
            at_s - 0.02,
            HOLDER,
            {
                "message_type": "funds:refused",
                "workspace": "w1",
                "tokens": tokens,
                **known,
                **decision,
            },
        ),
        (
            at_s - 0.01,
            "front",
            {
                "message_type": "request:refused",
                "request": request,
                "code": "budget_unreachable",
                "reason": f"{tokens} tokens can't be obtained in time",
                "route": "r1",
            },
        ),
        (
            at_s,
            "front",
            {
                "message_type": "request:done",
                "request": request,
                "workspace": "w1",
                "tokens": tokens,
                "spent": 0,
                "reserved_ms": None,
                "ms": 100.0,
            },
        ),
    ]


def find(
    *messages: tuple[float, str, dict[str, Any]],
) -> list[refusals.Refusal]:
    return refusals.find_refusals(refusals.read_lines(write_log(*messages)))


def test_rest_is_what_was_paid_less_what_is_used() -> None:
    found = find(
        run(1.0, 400, 300),
        # Still running: counts with what it has reserved.
        *refuse(2.0, 101),
        run(2.2, 600, 100, ms=1_000.0),
    )
    assert [(r.left, r.fits, r.cause) for r in found] == [
        (100, False, "reserved by running")
    ]


def test_refusals_that_fit_only_one_by_one_count_once() -> None:
    found = find(
        run(1.0, 900, 900), *refuse(2.0, 80), *refuse(3.0, 80), *refuse(4, 20)
    )
    assert [r.fits for r in found] == [True, False, True]
    report = refusals.format_report(found)
    assert "budget_unreachable: 3, fitted 2 (each taken alone 3)" in report


def test_tokens_closed_with_a_dead_process_are_not_left() -> None:
    closed = {
        "message_type": "funds:predecessor_closed",
        "workspace": "w1",
        "drawn": 950,
        "bound": 900,
    }
    messages = [run(1.0, 300, 300), (2.0, HOLDER, closed)]
    found = find(*messages, *refuse(3.0, 101), *refuse(4.0, 100))
    assert [r.fits for r in found] == [False, True]
    budgets = refusals.read_budgets(
        refusals.read_lines(write_log(*messages, *refuse(3.0, 101)))
    )
    assert budgets["w1"].measure_lost() == 600


@pytest.mark.parametrize(
    ("decision", "away", "cause"),
    [
        ({"held": 500, "available": 10}, True, "held, above the usage bound"),
        ({"held": 500, "available": 50}, True, "available after the wait"),
        ({"held": 20, "free": 100}, True, "held by other gateways"),
        ({"held": 20, "free": 990}, True, "free, store away"),
        ({"held": 20, "free": 990}, False, "free, store in reach"),
    ],
)
def test_cause_names_where_the_tokens_were(
    decision: dict[str, int], away: bool, cause: str
) -> None:
    failed = {"message_type": "funds:commit_failed"}
    messages = [(1.9, HOLDER, failed)] if away else []
    (found,) = find(*messages, *refuse(2.0, 50, **decision))
    assert (found.fits, found.cause, found.asked_holder) == (True, cause, True)


def test_line_that_is_cut_off_is_left_out() -> None:
    text = write_log(*refuse(2.0, 50)) + '   3.0 front {"message_ty'
    assert len(refusals.find_refusals(refusals.read_lines(text))) == 1
