"""Connections to the store that go silent while new ones work.

A watch on such a connection was given up only after its own time-out of 4 s.
Meanwhile gateways decided by an older configuration.
"""

from __future__ import annotations

import asyncio
import types
from typing import Any

import pytest

from cyclamenwing.gateway import eras
from cyclamenwing.gateway import relay
from cyclamenwing.metrics import recorder
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import errors as transport_errors


class SilentStore:
    """Answer calls on new connections only, as soon as others are silent."""

    def __init__(self) -> None:
        self.silent = False
        self.commit_error: Exception | None = None
        self.watches = 0
        self.reads = 0

    async def read(self, _: str, stale: bool = False) -> protocol.Snapshot:
        self.reads += 1
        return protocol.Snapshot([], 1, era=1)

    async def follow(self, *_: Any) -> protocol.Changes:
        self.watches += 1
        await asyncio.sleep(4.0)
        raise errors.StoreAnswerLostError("the watch timed out")

    async def commit(self, *_: Any) -> protocol.Committed:
        raise errors.StoreAnswerLostError("lost") from self.commit_error


def make_relay(store: SilentStore) -> relay.RelayedStore:
    board: Any = types.SimpleNamespace(
        eras=eras.EraTracker(recorder.Recorder()),
        roster=types.SimpleNamespace(acts_as_delegate=True),
        direct_contact_s=0.0,
        list_live_peers=lambda _: [],
    )
    return relay.RelayedStore(store, board, None)  # type: ignore[arg-type]


@pytest.mark.parametrize("silent", [True, False])
def test_silent_call_ends_the_watches_and_tries_a_new_connection(
    silent: bool,
) -> None:
    # Guards against an older configuration in force behind a silent watch.
    async def check() -> None:
        store = SilentStore()
        # A reset of one connection says nothing of the others.
        store.commit_error = (
            transport_errors.ConnectionSilentError("store")
            if silent
            else transport_errors.ConnectionLostError("store")
        )
        relayed = make_relay(store)
        probe = asyncio.ensure_future(relayed.probe())
        watch = asyncio.ensure_future(relayed.follow("op/", 1, 3.0))
        await asyncio.sleep(0.05)
        with pytest.raises(errors.StoreAnswerLostError):
            await relayed.commit([], [])
        await asyncio.sleep(0.05)
        assert watch.done() == silent
        assert store.reads == int(silent)
        if silent:
            with pytest.raises(errors.StoreUnavailableError):
                watch.result()
            again = asyncio.ensure_future(relayed.follow("op/", 1, 3.0))
            await asyncio.sleep(0.05)
            assert store.watches == 2
            again.cancel()
        watch.cancel()
        probe.cancel()

    asyncio.run(check())
