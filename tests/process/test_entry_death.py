from __future__ import annotations

import signal
import time

from tests.process import conftest
from tests.process import endpoint
from tests.process import fleet as process_fleet

from cyclamenwing.entry import admission

RESUME_BOUND_S = 2.0


def test_retry_elsewhere_resumes_after_kill(
    run_fleet: conftest.RunFleet,
) -> None:
    async def scenario(fleet: process_fleet.Fleet) -> None:
        request = admission.identify_request("panels/k1")
        await fleet.allow(3)
        first = fleet.open(
            0, process_fleet.CHAT, process_fleet.STREAM_BODY, "k1"
        )
        seen = await first.read_events(3)
        fleet.signal("entry-0", signal.SIGKILL)
        started_at = time.monotonic()
        second = fleet.open(
            1, process_fleet.CHAT, process_fleet.STREAM_BODY, "k1"
        )
        again = await second.read_events(3)
        elapsed_s = time.monotonic() - started_at
        await fleet.allow(100)
        whole = await second.read_events()
        late = await fleet.send(
            1, process_fleet.CHAT, process_fleet.STREAM_BODY, "k1"
        )
        reused = await fleet.send(
            1,
            process_fleet.CHAT,
            process_fleet.STREAM_BODY | {"max_tokens": 7},
            "k1",
        )
        assert seen == again
        assert whole == late.body == endpoint.make_answer(request)
        assert elapsed_s < RESUME_BOUND_S
        assert fleet.count_runs(request) == 1
        assert b"key_reused" in reused.body
        explained = await fleet.run_command([
            "explain",
            request,
            *(part for peer in fleet.peers for part in ("--entry", peer)),
        ])
        steps = [line.split()[1:3] for line in explained.splitlines()]
        runner = f"endpoint-{fleet.find_runner(request)}"
        assert [runner, "run_started"] in steps
        assert [runner, "run_attached"] in steps
        assert ["entry-1", "attached"] in steps
        assert ["entry-1", "attempt"] not in steps

    run_fleet(scenario, 2, 0)
