"""Member view from heartbeats, reports and host list in any order.

Delayed, lost and repeated messages must neither revive a dead incarnation nor
remove a live one.
"""

from __future__ import annotations

from typing import Any

import pytest

from cyclamenwing.membership import types
from cyclamenwing.membership import view


def make_beat(incarnation: str, sequence: int, **fields: Any) -> Any:
    return {
        "host": "h",
        "role": "sidecar",
        "zone": "z",
        "address": "127.0.0.1:1",
        "incarnation": incarnation,
        "route": "r",
        "leaving": False,
        "revision": 1,
        "load": 0,
        "news": {},
        "sequence": sequence,
        "interval_s": 1.0,
        **fields,
    }


def make_report(
    incarnation: str, sequence: int, state: str = "live", **fields: Any
) -> Any:
    beat = make_beat(incarnation, sequence, **fields)
    names = types.MemberReport.__annotations__
    report = {name: beat[name] for name in names if name in beat}
    return {**report, "state": state}


def make_listed(state: str, host: str = "h") -> list[types.Host]:
    return [
        {
            "host": host,
            "role": "sidecar",
            "zone": "z",
            "address": "127.0.0.1:1",
            "state": state,  # type: ignore[typeddict-item]
        },
    ]


LEAVING = {"leaving": True}
# Each scenario: its steps (time and message) and the incarnation that accepts
# runs at the time of the last step, empty if none does.
SCENARIOS: dict[str, tuple[list[tuple[float, Any]], str]] = {
    "first heartbeat": ([(0, make_beat("a", 1))], "a"),
    "silent": ([(0, make_beat("a", 1)), (3.1, None)], ""),
    "two lost": ([(0, make_beat("a", 1)), (2.9, None)], "a"),
    "duplicate does not keep it alive": (
        [(0, make_beat("a", 1)), (2, make_beat("a", 1)), (3.1, None)],
        "",
    ),
    "late heartbeat does not undo leaving": (
        [(0, make_beat("a", 2, **LEAVING)), (0.1, make_beat("a", 1))],
        "",
    ),
    "new incarnation replaces at once": (
        [(0, make_beat("a", 90)), (0.1, make_beat("b", 1))],
        "b",
    ),
    "late heartbeat of the old incarnation": (
        [
            (0, make_beat("a", 90)),
            (0.1, make_beat("b", 1)),
            (0.2, make_beat("a", 91)),
        ],
        "b",
    ),
    "late heartbeat of an unknown old incarnation": (
        [(0, make_beat("b", 1)), (0.2, make_beat("a", 91))],
        "b",
    ),
    "old incarnation was only paused": (
        [
            (0, make_beat("a", 90)),
            (0.1, make_beat("b", 1)),
            (3.5, make_beat("a", 91)),
        ],
        "a",
    ),
    "silent incarnation replaced by a high sequence": (
        [(0, make_beat("a", 1)), (4, make_beat("b", 500))],
        "b",
    ),
    "live host missing from the list": (
        [(0, make_beat("a", 1)), (1, make_listed("live", "other"))],
        "a",
    ),
    "dead host still on the list": (
        [(0, make_beat("a", 1)), (1, make_listed("live")), (4, None)],
        "",
    ),
    "list marks a host as leaving before its heartbeat": (
        [(0, make_beat("a", 1)), (1, make_listed("leaving"))],
        "",
    ),
    "list marks a replaced incarnation as leaving": (
        [
            (0, make_beat("a", 1)),
            (1, make_listed("leaving")),
            (2, make_beat("b", 1)),
            (3, make_listed("leaving")),
        ],
        "b",
    ),
    "list no longer marks the host as leaving": (
        [
            (0, make_beat("a", 1)),
            (1, make_listed("leaving")),
            (2, make_listed("live")),
        ],
        "a",
    ),
    "list marks an unknown host as leaving": (
        [(0, make_listed("leaving")), (1, make_beat("a", 1))],
        "",
    ),
    "another entry's report is enough": (
        [(0, make_report("a", 7)), (60, None)],
        "a",
    ),
    "suspected by its reporter": (
        [(0, make_report("a", 7)), (9, make_report("a", 8, "suspect"))],
        "",
    ),
    "late suspicion": (
        [(0, make_report("a", 7)), (9, make_report("a", 6, "suspect"))],
        "a",
    ),
    "suspicion of an earlier incarnation": (
        [(0, make_report("b", 1)), (9, make_report("a", 99, "suspect"))],
        "b",
    ),
    "suspicion of a direct sender": (
        [(0, make_beat("a", 7)), (1, make_report("a", 9, "suspect"))],
        "a",
    ),
    "partition and heal": (
        [
            (0, make_report("a", 7)),
            (9, make_report("a", 8, "suspect")),
            (20, make_report("a", 8)),
            (21, make_report("a", 30)),
        ],
        "a",
    ),
    "old report after the heal": (
        [
            (0, make_report("a", 7)),
            (9, make_report("a", 30)),
            (10, make_report("a", 8, "suspect")),
        ],
        "a",
    ),
    "report of a replaced incarnation": (
        [
            (0, make_report("a", 90)),
            (1, make_report("b", 2)),
            (2, make_report("a", 95)),
        ],
        "b",
    ),
}


@pytest.mark.parametrize("title", SCENARIOS)
def test_view_of_one_host(title: str) -> None:
    steps, expected = SCENARIOS[title]
    board = view.MemberBoard()
    controller = view.MemberController()
    now = 0.0
    for now, message in steps:
        if isinstance(message, list):
            controller.adopt_hosts(board, message)
        elif message is not None and "state" in message:
            controller.receive_report(board, message, now)
        elif message is not None:
            controller.receive(board, message, now)
    available = controller.list_available(board, "r", now)
    assert [beat["incarnation"] for beat in available] == (
        [expected] if expected else []
    )


def test_suspicion_of_a_live_host_is_refuted() -> None:
    board = view.MemberBoard()
    controller = view.MemberController()
    controller.receive(board, make_beat("a", 9), 0.0)
    refutation = controller.receive_report(
        board, make_report("a", 8, "suspect"), 1.0
    )
    assert refutation is not None
    assert refutation == make_report("a", 9)
    other = view.MemberBoard()
    controller.receive_report(other, make_report("a", 8, "suspect"), 0.0)
    controller.receive_report(other, make_report("a", 8), 0.0)
    controller.receive_report(other, make_report("a", 8, "suspect"), 1.0)
    assert not controller.list_available(other, "r", 1.0)
    controller.receive_report(other, refutation, 2.0)
    assert controller.list_available(other, "r", 2.0)


def test_silent_sidecar_is_reported_once_and_removed() -> None:
    board = view.MemberBoard()
    controller = view.MemberController()
    controller.receive(board, make_beat("a", 9), 0.0)
    assert not controller.suspect_silent(board, 2.0, False)
    reports = controller.suspect_silent(board, 4.0, False)
    assert reports == [make_report("a", 9, "suspect")]
    assert not controller.suspect_silent(board, 5.0, False)
    controller.forget(board, 700.0, 600.0)
    assert not board.members
