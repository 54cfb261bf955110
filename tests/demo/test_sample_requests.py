"""Guards against a demo whose sample requests fail or are billed wrongly."""

from __future__ import annotations

import asyncio

from cyclamenwing.demo import fleet
from cyclamenwing.demo import sample_requests


def test_samples_have_no_faults() -> None:
    async def run() -> list[str]:
        demo_fleet = await fleet.Fleet.start()
        try:
            return await sample_requests.run_samples(demo_fleet)
        finally:
            await demo_fleet.close()

    assert asyncio.run(run()) == []
