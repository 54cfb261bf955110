from __future__ import annotations

from typing import Any

import pytest

from cyclamenwing.budget import messages
from cyclamenwing.budget import recovery


def make_record(sequence: int, used: int, running: bool) -> Any:
    return {
        "request": f"r{sequence}",
        "key": "",
        "workspace": "w",
        "budget": "b",
        "sequence": sequence,
        "kind": "k",
        "reviewer": "",
        "reserved": 50,
        "used": used,
        "running": running,
        "at": 1.0,
    }


def make_inquest(told: dict[str, list[Any]]) -> recovery.ClosingSession:
    answers: dict[str, messages.SidecarReport] = {
        name: {"incarnation": name, "records": records}
        for name, records in told.items()
    }
    return recovery.ClosingSession(
        {
            "session": "s1",
            "host": "e1",
            "state": "closing",
            "sidecars": [
                {"incarnation": name, "host": f"host-{name}", "address": ""}
                for name in ("i1", "i2")
            ],
            "commits": [],
        },
        answers,
    )


ENDED = make_record(1, 20, False)
RUNNING = make_record(2, 0, True)


@pytest.mark.parametrize(
    ("told", "billed", "running", "doubted"),
    [
        ({"i1": [ENDED], "i2": [RUNNING]}, [20], 50, False),
        ({"i1": [ENDED], "i2": []}, [20], 0, False),
        ({"i1": [ENDED, RUNNING]}, [20], 50, True),
        ({}, [], 0, True),
        ({"i1": [ENDED], "i2": [ENDED]}, [20], 0, False),
    ],
)
def test_silent_sidecars_leave_the_rest_in_doubt(
    told: dict[str, list[Any]], billed: list[int], running: int, doubted: bool
) -> None:
    plan = recovery.plan_recovery(make_inquest(told), "b", "")
    assert [bill["units"] for bill in plan["bills"]] == billed
    assert plan["running"] == running
    assert bool(plan["reason"]) == doubted
    assert ("host-i2" in plan["reason"]) == ("i2" not in told)


def test_unclear_transfers_leave_the_rest_in_doubt() -> None:
    inquest = make_inquest({"i1": [], "i2": []})
    plan = recovery.plan_recovery(inquest, "b", "an entry is out of reach")
    assert plan["reason"] == "an entry is out of reach"
