"""Fault pattern: an unexpected error in one background task of a gateway.

The gateway goes on: the task starts again, and the others do not notice.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from tests.gateway import deployments

from cyclamenwing.gateway import follower
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import registration
from cyclamenwing.gateway import reservations
from cyclamenwing.gateway import tasks

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
