"""Recovery of a closing session from incomplete reports.

While a sidecar has not reported or a transfer is unknown, the session may have
spent more than its bills show, so its units must stay in doubt.
"""

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


def make_closing_session(
    reports: dict[str, list[Any]],
) -> recovery.ClosingSession:
    sidecar_reports: dict[str, messages.SidecarReport] = {
        name: {"incarnation": name, "records": records}
        for name, records in reports.items()
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
        sidecar_reports,
    )


ENDED = make_record(1, 20, False)
RUNNING = make_record(2, 0, True)


@pytest.mark.parametrize(
    ("reports", "billed", "running", "doubted"),
    [
        ({"i1": [ENDED], "i2": [RUNNING]}, [20], 50, False),
        ({"i1": [ENDED], "i2": []}, [20], 0, False),
        ({"i1": [ENDED, RUNNING]}, [20], 50, True),
        ({}, [], 0, True),
        ({"i1": [ENDED], "i2": [ENDED]}, [20], 0, False),
    ],
)
def test_missing_sidecar_reports_leave_units_in_doubt(
    reports: dict[str, list[Any]],
    billed: list[int],
    running: int,
    doubted: bool,
) -> None:
    plan = recovery.plan_recovery(make_closing_session(reports), "b", "")
    assert [bill["units"] for bill in plan["bills"]] == billed
    assert plan["running"] == running
    assert bool(plan["reason"]) == doubted
    assert ("host-i2" in plan["reason"]) == ("i2" not in reports)


def test_unknown_transfers_leave_units_in_doubt() -> None:
    closing = make_closing_session({"i1": [], "i2": []})
    plan = recovery.plan_recovery(closing, "b", "an entry is out of reach")
    assert plan["reason"] == "an entry is out of reach"
