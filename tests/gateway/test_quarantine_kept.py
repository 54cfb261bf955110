"""Quarantined requests after a loss of all gateways.

Their records were only in memory and in gossip, so a request known to crash
endpoints ran again once all gateways had been killed.
"""

from __future__ import annotations

import asyncio

from tests.gateway import deployments

from cyclamenwing.gateway import poison_records
from cyclamenwing.gateway import poison_requests
from cyclamenwing.routing import quarantine
from cyclamenwing.standin import platform_endpoint

SETTLE_S = 1.5
CONTROLLER = quarantine.QuarantineController()


async def crash_endpoints(deployment: deployments.Deployment) -> None:
    """Let a request crash as many endpoints as put it in quarantine."""
    for name in ("a1", "a2"):
        await deployment.store.put(f"servers/{name}", None)
    for number in range(poison_requests.CRASHES_TO_QUARANTINE):
        endpoint = platform_endpoint.EndpointStandin(f"c{number}", "api")
        endpoint.listen()
        endpoint.behaviour = "crash"
        await deployment.store.put(
            f"servers/{endpoint.name}", endpoint.describe()
        )
        await asyncio.sleep(0.2)
        head, _ = await deployment.send("write")
        assert head.status == 502
        await asyncio.sleep(0.2)
    for endpoint in deployment.get_endpoints("api"):
        await deployment.store.put(
            f"servers/{endpoint.name}", endpoint.describe()
        )


def test_request_stays_in_quarantine_after_a_loss_of_all_gateways() -> None:
    # Guards against crashes by a request whose records were in memory only.
    async def check() -> None:
        async with deployments.deploy(2) as deployment:
            await crash_endpoints(deployment)
            await asyncio.sleep(SETTLE_S)
            for gateway in list(deployment.gateways):
                gateway.stop()
                deployment.gateways.remove(gateway)
            for host in ("g0", "g1"):
                await deployment.add_gateway(host)
            await asyncio.sleep(SETTLE_S)
            ran = deployment.count_runs("api")
            for number in (0, 1):
                head, _ = await deployment.send("write", gateway=number)
                assert head.status == 503
            assert deployment.count_runs("api") == ran

    asyncio.run(check())


def test_cleared_records_leave_the_store_and_too_many_are_bounded() -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            board = deployment.gateways[0].board
            source = poison_records.RequestRecords(board)
            for number in range(600):
                for crash in range(quarantine.MAX_CRASHES_KEPT):
                    CONTROLLER.record_crash(
                        board.quarantine,
                        f"{number:016}",
                        f"e{crash}",
                        1_000_000 + 10_000 * number + crash,
                    )
            stored = source.select({})
            assert len(stored) == poison_records.MAX_REQUESTS_STORED
            assert f"{599:016}" in stored
            CONTROLLER.clear(board.quarantine, f"{599:016}", 10**12, 2_000_000)
            assert f"{599:016}" not in source.select(stored)

    asyncio.run(check())
