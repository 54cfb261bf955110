"""Guards against cut streams when an entry and a sidecar get SIGTERM.

A draining entry must refuse new requests, finish the open streams and
exit with status 0, even if SIGTERM arrives twice.
"""

from __future__ import annotations

import asyncio
import signal

import msgspec
from tests.process import conftest
from tests.process import endpoint
from tests.process import fleet as process_fleet

from cyclamenwing.entry import admission

STREAMS = 20


def test_sigterm_under_load_cuts_no_stream(
    run_fleet: conftest.RunFleet,
) -> None:
    async def scenario(fleet: process_fleet.Fleet) -> None:
        await fleet.set_event_limit(2)
        readers = [
            fleet.open(
                0, process_fleet.CHAT, process_fleet.STREAM_BODY, f"k{i}"
            )
            for i in range(STREAMS)
        ]
        for reader in readers:
            await reader.read_events(2)
        for name in ("entry-0", "endpoint-0"):
            fleet.send_signal(name, signal.SIGTERM)
            fleet.send_signal(name, signal.SIGTERM)

        async def is_refusing() -> bool:
            refused = await fleet.send(0, process_fleet.DECISIONS, {})
            return refused.status == 503

        await process_fleet.wait_until(is_refusing, "refusal")
        refused = await fleet.send(0, process_fleet.DECISIONS, {})
        refusal = msgspec.json.decode(refused.body)
        assert (refusal["code"], refusal["run"]) == (
            "entry_draining",
            "not_run",
        )
        assert refused.headers["Retry-After"] == "1"
        await fleet.set_event_limit(100)
        for number, reader in enumerate(readers):
            request = admission.identify_request(f"panels/k{number}")
            expected = endpoint.make_answer(request)
            assert await reader.read_events() == expected
            assert fleet.count_runs(request) == 1
        for name in ("entry-0", "endpoint-0"):
            process = fleet.processes[name]
            async with asyncio.timeout(process_fleet.WAIT_TIMEOUT_S):
                assert await process.wait() == 0

    run_fleet(scenario, 2, 0)
