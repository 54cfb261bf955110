from __future__ import annotations

import asyncio

from cyclamenwing.demo import fleet
from cyclamenwing.demo import sample_requests


def test_tour_keeps_promises() -> None:
    async def run() -> list[str]:
        made = await fleet.Fleet.start()
        try:
            return await sample_requests.run_samples(made)
        finally:
            await made.close()

    assert asyncio.run(run()) == []
