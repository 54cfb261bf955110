"""Short runs of the soak, and planted faults that its checks must find."""

from __future__ import annotations

import pathlib
from typing import Any

import pytest
from tests.soak import checks
from tests.soak import faults
from tests.soak import soak
from tests.soak import trace

CLEAN_SEED = 1
SECONDS = 3.0
# A planted fault shows only if requests meet it, which is up to the timing of
# processes; one of these seeds must show it. Beside other work on the machine
# requests are fewer and it takes more of them.
PLANTED_SEEDS = range(3, 13)
# Planted faults by gateway, and the checks that find them there.
PLANTS = (
    "disorder",
    "second-run,ignored-drain",
    "untrue-refusal,leak",
    "overspending,old-configuration",
)
FOUND = (
    (0, "content"),
    (1, "once"),
    (1, "drain"),
    (2, "refused"),
    (2, "process"),
    (3, "version"),
)


# Draws by which an endpoint of each version cuts its streams; those of the
# other pair serve meanwhile.
CUTTING_DRAWS = ((25, 10), (19, 2), (64, 29), (42, 86))
CUTS = tuple(
    faults.Event(1.2 * number, "endpoint-behaviour", 1.0, draw)
    for number, draws in enumerate(CUTTING_DRAWS)
    for draw in draws
)


def make_schedule() -> tuple[faults.Event, ...]:
    """Return faults that bring out what is planted."""
    return (
        faults.Event(0.1, "drain", 0.0, 4),
        *(
            faults.Event(0.2 + 0.15 * n, "endpoint-behaviour", 1.0, n)
            for n in range(24)
        ),
        faults.Event(0.5, "publish", 0.0, 0),
        faults.Event(2.8, "publish", 0.0, 0),
    )


def test_short_run_finds_nothing(tmp_path: pathlib.Path) -> None:
    result = soak.run(soak.Settings(CLEAN_SEED, SECONDS, 3, tmp_path / "run"))
    assert result.findings == []
    assert result.judged["answered"] > 50


def test_planted_faults_are_found(tmp_path: pathlib.Path) -> None:
    found: set[tuple[int, str]] = set()
    overspent = False
    for seed in PLANTED_SEEDS:
        result = soak.run(
            soak.Settings(
                seed,
                0.0,
                len(PLANTS),
                tmp_path / f"run-{seed}",
                PLANTS,
                make_schedule(),
                callers=24,
            )
        )
        found |= {(f.gateway, f.check) for f in result.findings}
        # All gateways spend the budget, so any may be the one to exceed it.
        overspent = "budget" in {check for _, check in found}
        if set(FOUND) <= found and overspent:
            break
    assert set(FOUND) <= found
    assert overspent


def test_requests_cut_by_the_former_shutdown_are_found(
    tmp_path: pathlib.Path,
) -> None:
    plants = ("former-shutdown",) * 2
    schedule = (faults.Event(0.1, "restart-slow-store", 1.0, 0),)
    found: set[str] = set()
    for seed in PLANTED_SEEDS:
        result = soak.run(
            soak.Settings(
                seed,
                0.0,
                2,
                tmp_path / f"run-{seed}",
                plants,
                schedule,
                callers=6,
            )
        )
        # A request that is cut has no answer or half of one.
        found = {f.check for f in result.findings} & {"answered", "whole"}
        if found:
            break
    assert found


@pytest.mark.parametrize("plant", ["", "whole-limit"])
def test_whole_limit_at_each_gateway_is_found(
    tmp_path: pathlib.Path, plant: str
) -> None:
    schedule = (faults.Event(0.0, "limit", 9.0, 2),)
    result = soak.run(
        soak.Settings(
            6, 9.0, 4, tmp_path / "run", (plant,) * 4, schedule, callers=24
        )
    )
    assert result.judged["limit"] > 0
    found = {f.check for f in result.findings}
    assert ("limit" in found) == bool(plant)


@pytest.mark.parametrize("plant", ["", "any-version"])
def test_streams_over_two_versions_are_found(
    tmp_path: pathlib.Path, plant: str
) -> None:
    found: set[str] = set()
    for seed in PLANTED_SEEDS if plant else range(1):
        result = soak.run(
            soak.Settings(
                seed,
                0.0,
                3,
                tmp_path / f"run-{seed}",
                (plant,) * 3,
                CUTS,
                callers=24,
                versions=True,
            )
        )
        assert result.judged["software"] > 0
        assert result.seen.count_faults()["endpoint-cut"] == len(CUTS)
        found = {f.check for f in result.findings}
        if "software" in found:
            break
    assert ("software" in found) == bool(plant)


def make_request(**changes: Any) -> trace.Request:
    values: dict[str, Any] = {
        "request_id": "r",
        "task": "r",
        "gateway": 0,
        "process": 0,
        "route": "read",
        "version": 0,
        "workspace": "ample",
        "prompt_tokens": 0,
        "sent_s": 10.0,
        "deadline_s": 11.0,
        "reused": False,
        "status": 200,
        "whole": True,
        "end_s": 11.0,
    }
    return trace.Request(**(values | changes))


@pytest.mark.parametrize(
    ("request_changes", "process_changes", "found"),
    [
        ({}, {}, []),
        ({"end_s": 11.6}, {}, ["deadline"]),
        ({"status": 0, "whole": False}, {}, ["answered"]),
        # Not read: it was sent as the process closed its connections.
        (
            {"status": 0, "whole": False, "sent_s": 10.95},
            {"terminated_s": 8.0},
            [],
        ),
        # The incident: read, kept for a while and then cut.
        (
            {"status": 0, "whole": False, "sent_s": 10.7},
            {"terminated_s": 8.0},
            ["answered"],
        ),
        ({"status": 0, "whole": False}, {"killed_s": 10.9}, []),
        ({"whole": False, "end_s": 10.5}, {}, ["whole"]),
        ({}, {"ended_s": 12.0, "exit_code": 0}, ["process"]),
        (
            {},
            {"terminated_s": 7.0, "ended_s": 12.9, "exit_code": 0},
            [],
        ),
        (
            {},
            {"terminated_s": 7.0, "ended_s": 13.1, "exit_code": 0},
            ["process"],
        ),
        (
            {},
            {"terminated_s": 7.0, "ended_s": 11.0, "exit_code": -15},
            ["process"],
        ),
    ],
)
def test_checks_of_answers_and_processes(
    request_changes: dict[str, Any],
    process_changes: dict[str, Any],
    found: list[str],
) -> None:
    seen = trace.Trace()
    process = trace.Process(0, 0, 0.0)
    for name, value in process_changes.items():
        setattr(process, name, value)
    seen.processes.append(process)
    seen.requests.append(make_request(**request_changes))
    checks.check(seen)
    assert [f.check for f in seen.findings] == found
