"""Fault pattern: an unexpected error in a background loop of a role.

An entry or a sidecar whose heartbeats, settlements, catalog or reviews have
ended would go on with what it knew last.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from cyclamenwing import tasks
from cyclamenwing.entry import catalog
from cyclamenwing.entry import dispatch
from cyclamenwing.entry import funding
from cyclamenwing.entry import membership as entry_membership
from cyclamenwing.entry import quarantine
from cyclamenwing.entry import reconciliation
from cyclamenwing.entry import recovery
from cyclamenwing.entry import sessions
from cyclamenwing.sidecar import endpoint_observer
from cyclamenwing.sidecar import handlers
from cyclamenwing.sidecar import membership as sidecar_membership

LOOPS: list[tuple[type, str]] = [
    (catalog.CatalogWatch, "_run"),
    (dispatch.Dispatch, "_review_queues"),
    (endpoint_observer.EndpointObserver, "_run"),
    (entry_membership.Membership, "_poll_hosts"),
    (entry_membership.Membership, "_run"),
    (entry_membership.Membership, "_sync"),
    (funding.Funding, "_run"),
    (handlers.RunService, "_expire"),
    (quarantine.Quarantine, "_expire"),
    (reconciliation.Reconciliation, "_run"),
    (recovery.Recovery, "_run"),
    (sessions.Sessions, "_run"),
    (sidecar_membership.Membership, "_run"),
]


def make_component(owner: type) -> Any:
    """Return a component that knows only what its start needs."""
    component: Any = object.__new__(owner)
    component._tasks = []
    component._hosts = "127.0.0.1:1"
    return component


@pytest.mark.parametrize(("owner", "name"), LOOPS)
def test_background_loop_that_fails_starts_again(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.01)
    calls = 0

    async def fail_first(*_: object) -> None:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise ValueError("unexpected")

    async def rest(*_: object) -> None:
        await asyncio.Event().wait()

    for loop_owner, loop_name in LOOPS:
        if loop_owner is owner:
            monkeypatch.setattr(owner, loop_name, rest)
    monkeypatch.setattr(owner, name, fail_first)

    async def check() -> None:
        make_component(owner).start()
        await asyncio.sleep(0.1)

    asyncio.run(check())
    assert calls == 2
