"""Load pattern: the soak itself is stalled while answers arrive.

Its callers read the answers before its clock of stalls runs again, and checks
may run in between.
"""

from __future__ import annotations

import pytest
from tests.soak import checks
from tests.soak import trace

POLL_S = 0.05
SENT_S = 10.0
DEADLINE_S = 11.0
STALLED_S = 10.5
RESUMED_S = 12.0


class SteppedTrace(trace.Trace):
    """Take the time from the test."""

    now_s = 0.0

    def read_time(self) -> float:
        return self.now_s


def make_trace(end_s: float) -> SteppedTrace:
    seen = SteppedTrace()
    seen.processes.append(trace.Process(0, 0, started_s=0.0))
    seen.requests.append(
        trace.Request(
            request_id="r1",
            task="t1",
            gateway=0,
            process=0,
            route="read",
            version=1,
            workspace="ample",
            prompt_tokens=0,
            sent_s=SENT_S,
            deadline_s=DEADLINE_S,
            reused=False,
            end_s=end_s,
            status=200,
            whole=True,
        )
    )
    return seen


def measure_lag(seen: SteppedTrace, slept_s: float, now_s: float) -> None:
    seen.now_s = now_s
    seen.record_lag(slept_s, POLL_S)


@pytest.mark.parametrize("check_early", [True, False])
def test_answer_read_after_a_stall_is_judged_once_the_stall_is_known(
    check_early: bool,
) -> None:
    seen = make_trace(end_s=RESUMED_S)
    measure_lag(seen, STALLED_S - POLL_S, STALLED_S)
    if check_early:
        checks.check(seen)
    measure_lag(seen, STALLED_S, RESUMED_S + 0.01)
    checks.check(seen)
    assert seen.findings == []


@pytest.mark.parametrize("end_lags", [True, False])
def test_late_answer_is_found_with_the_next_measurement(
    end_lags: bool,
) -> None:
    seen = make_trace(end_s=RESUMED_S)
    measure_lag(seen, RESUMED_S - POLL_S, RESUMED_S - 0.01)
    checks.check(seen)
    if end_lags:
        seen.end_lags()
    else:
        measure_lag(seen, RESUMED_S - 0.01, RESUMED_S + 0.05)
    checks.check(seen)
    assert [finding.check for finding in seen.findings] == ["deadline"]
