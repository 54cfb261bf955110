"""Fault pattern: an unexpected error in one background task of a gateway.

The gateway goes on: the task starts again, and the others do not notice.
Records of gateways in the store that can't be read end no task.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import pytest
from tests.gateway import deployments

from cyclamenwing import tasks
from cyclamenwing.gateway import follower
from cyclamenwing.gateway import host_record
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import pool_restoration
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import registration
from cyclamenwing.gateway import reservations

SIZE = {"Token-Counts": b"100,20"}
RESUMED_S = tasks.RESTART_DELAY_S + 1.0


def fail_once(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str
) -> asyncio.Event:
    """Let a method raise once; return an event set by its next call."""
    original: Callable[..., Any] = getattr(owner, name)
    failed: set[object] = set()
    resumed = asyncio.Event()

    async def fail_first(self: Any, *args: Any, **more: Any) -> Any:
        if self not in failed:
            failed.add(self)
            raise ValueError("unexpected")
        resumed.set()
        return await original(self, *args, **more)

    def fail_first_at_once(self: Any, *args: Any) -> Any:
        if self not in failed:
            failed.add(self)
            raise ValueError("unexpected")
        resumed.set()
        return original(self, *args)

    asynchronous = asyncio.iscoroutinefunction(original)
    monkeypatch.setattr(
        owner, name, fail_first if asynchronous else fail_first_at_once
    )
    return resumed


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (follower.Follower, "_follow"),
        (registration.Registration, "_read_members"),
        (peers.Peers, "_start_due_exchanges"),
        (pools.PoolClient, "_renew_in_era"),
        (reservations.Reservations, "return_idle"),
    ],
)
def test_background_task_that_fails_starts_again(
    monkeypatch: pytest.MonkeyPatch, owner: type, name: str
) -> None:
    monkeypatch.setattr(registration, "REFRESH_INTERVAL_S", 0.2)

    async def check() -> None:
        async with deployments.deploy() as deployment:
            resumed = fail_once(monkeypatch, owner, name)
            # Wakes the tasks that wait for changes.
            await deployment.store.put(
                "op/config", deployments.make_configuration(2)
            )
            async with asyncio.timeout(RESUMED_S + 2.0):
                await resumed.wait()
            await deployment.store.put(
                "op/config", deployments.make_configuration(3)
            )
            await asyncio.sleep(RESUMED_S)
            head, _ = await deployment.send("chat", headers=SIZE)
            assert head.status == 200
            config = deployment.gateways[0].board.configuration
            assert config is not None
            assert config.version == 3

    asyncio.run(check())


def test_task_that_keeps_failing_is_not_started_in_a_tight_loop() -> None:
    starts = 0

    async def fail() -> None:
        nonlocal starts
        starts += 1
        raise ValueError("unexpected")

    async def check() -> None:
        task = asyncio.ensure_future(tasks.supervise("test", fail))
        await asyncio.sleep(tasks.RESTART_DELAY_S * 2.5)
        task.cancel()

    asyncio.run(check())
    assert 2 <= starts <= 3


def test_supervised_task_ends_when_cancelled_or_done() -> None:
    async def finish() -> None:
        await asyncio.sleep(0)

    async def wait() -> None:
        await asyncio.Event().wait()

    async def check() -> None:
        await asyncio.wait_for(tasks.supervise("test", finish), 1.0)
        task = asyncio.ensure_future(tasks.supervise("test", wait))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(check())


async def check_service(deployment: deployments.Deployment) -> None:
    """Check that tokens are still drawn, and that the record is renewed."""
    head, _ = await deployment.send("chat", headers=SIZE)
    assert head.status == 200
    board = deployment.gateways[-1].board
    written_s = board.record_written_s
    async with asyncio.timeout(5):
        while board.record_written_s <= written_s:
            await asyncio.sleep(0.05)


def spoil_other_record(
    deployment: deployments.Deployment, value: bytes
) -> Awaitable[None]:
    return deployment.store.put(host_record.HOLDER_PREFIX + "gone", value)


def spoil_record_of_next_host(
    deployment: deployments.Deployment, value: bytes
) -> Awaitable[None]:
    return deployment.store.put(host_record.HOLDER_PREFIX + "g1", value)


def spoil_other_pool(
    deployment: deployments.Deployment, value: bytes
) -> Awaitable[None]:
    return deployment.store.put(pool_restoration.POOL_PREFIX + "gone", value)


@pytest.mark.parametrize("value", [b"", b"\xff", b"[]", b'{"drawn": 1}'])
@pytest.mark.parametrize(
    "spoil", [spoil_other_record, spoil_record_of_next_host, spoil_other_pool]
)
def test_record_that_cannot_be_read_does_not_stop_the_next_gateway(
    spoil: Callable[[deployments.Deployment, bytes], Awaitable[None]],
    value: bytes,
) -> None:
    async def check() -> None:
        async with deployments.deploy() as deployment:
            await spoil(deployment, value)
            await deployment.add_gateway("g1")
            await check_service(deployment)

    asyncio.run(check())


TENANTS = [
    {"name": name, "api_keys": [key], "prepaid": deployments.PREPAID}
    for name, key in (("t1", "k1"), ("t2", "k2"))
]


@pytest.mark.parametrize("returned", [False, True])
@pytest.mark.parametrize("value", [b"", b"\xff", b'{"drawn": 1}'])
def test_pool_that_cannot_be_read_is_closed_and_others_go_on(
    value: bytes, returned: bool
) -> None:
    """Spoil a pool that is in use, also after a return to an older copy."""

    async def check() -> None:
        async with deployments.deploy() as deployment:
            store = deployment.store
            await store.put(
                "op/config", deployments.make_configuration(2, tenants=TENANTS)
            )
            await asyncio.sleep(0.5)
            other_key = SIZE | {"Key": b"k2"}
            assert (await deployment.send("chat", headers=other_key))[
                0
            ].status == 200
            if returned:
                await store.restore(store.copy())
                board = deployment.gateways[0].board
                async with asyncio.timeout(6):
                    while board.escrow.era != 2 or board.escrow.unopened:
                        await asyncio.sleep(0.05)
            await store.put(pool_restoration.POOL_PREFIX + "t2", value)
            await asyncio.sleep(2.5)
            # Nothing is drawn from it, nor does it keep the other pool and
            # the record from being written.
            await check_service(deployment)
            head, _ = await deployment.send(
                "chat", headers={"Token-Counts": b"60000,20"} | {"Key": b"k2"}
            )
            assert head.status in (402, 503)
            await check_service(deployment)

    asyncio.run(check())
