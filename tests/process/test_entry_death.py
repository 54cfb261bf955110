"""Guards against a second run when an entry is killed during a stream.

A client that retries with the same key at another entry must attach to the
run in progress and get the complete answer.
"""

from __future__ import annotations

import signal
import time

from tests.process import conftest
from tests.process import endpoint
from tests.process import fleet as process_fleet

from cyclamenwing.entry import admission

RESUME_BOUND_S = 2.0


def test_retry_at_another_entry_resumes_after_kill(
    run_fleet: conftest.RunFleet,
) -> None:
    async def scenario(fleet: process_fleet.Fleet) -> None:
        request = admission.identify_request("panels/k1")
        await fleet.set_event_limit(3)
        first = fleet.open(
            0, process_fleet.CHAT, process_fleet.STREAM_BODY, "k1"
        )
        first_events = await first.read_events(3)
        fleet.send_signal("entry-0", signal.SIGKILL)
        started_at = time.monotonic()
        second = fleet.open(
            1, process_fleet.CHAT, process_fleet.STREAM_BODY, "k1"
        )
        resumed_events = await second.read_events(3)
        elapsed_s = time.monotonic() - started_at
        await fleet.set_event_limit(100)
        whole_answer = await second.read_events()
        repeated = await fleet.send(
            1, process_fleet.CHAT, process_fleet.STREAM_BODY, "k1"
        )
        reused = await fleet.send(
            1,
            process_fleet.CHAT,
            process_fleet.STREAM_BODY | {"max_tokens": 7},
            "k1",
        )
        assert first_events == resumed_events
        assert whole_answer == repeated.body == endpoint.make_answer(request)
        assert elapsed_s < RESUME_BOUND_S
        assert fleet.count_runs(request) == 1
        assert b"key_reused" in reused.body
        explained = await fleet.run_command([
            "explain",
            request,
            *(part for peer in fleet.peers for part in ("--entry", peer)),
        ])
        steps = [line.split()[1:3] for line in explained.splitlines()]
        endpoint_host = f"endpoint-{fleet.find_endpoint(request)}"
        assert [endpoint_host, "run_started"] in steps
        assert [endpoint_host, "run_attached"] in steps
        assert ["entry-1", "attached"] in steps
        assert ["entry-1", "attempt"] not in steps

    run_fleet(scenario, 2, 0)
