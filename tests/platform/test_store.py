"""Client of the metadata store: the era in its results."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
import pytest

from cyclamenwing.gateway import relay
from cyclamenwing.gateway import watches
from cyclamenwing.platform import store
from cyclamenwing.standin import metadata_store
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import h1
from cyclamenwing.transport import pooled_client

Call = Callable[
    [protocol.TransactionStore],
    Awaitable[
        protocol.Snapshot
        | protocol.Changes
        | protocol.Committed
        | protocol.Conflict
    ],
]
CALLS: list[Call] = [
    lambda client: client.read("a"),
    lambda client: client.follow("a", 1, 0.0),
    lambda client: client.commit([], [("a1", b"")]),
    lambda client: client.commit([("a1", 77)], [("a1", b"")]),
]


class HeaderlessStandin(metadata_store.MetadataStoreStandin):
    """Name no era, as an older store does."""

    def _make_headers(self) -> h1.Headers:
        return pooled_client.JSON_HEADERS


class UnsteadyStandin(metadata_store.MetadataStoreStandin):
    """Name another era in each answer."""

    def _make_headers(self) -> h1.Headers:
        self.era += 1
        return super()._make_headers()


async def run_call(
    standin: metadata_store.MetadataStoreStandin, call: Call
) -> int:
    http = pooled_client.PooledClient()
    client = store.KeyValueStore(http, standin.listen())
    try:
        return (await call(client)).era
    finally:
        http.close()
        standin.stop()


@pytest.mark.parametrize("named", [0, 4])
@pytest.mark.parametrize("call", CALLS)
def test_results_have_the_era_of_the_answer(call: Call, named: int) -> None:
    standin = metadata_store.MetadataStoreStandin()
    standin.era = named
    # Era 0 of the product is that of answers that name none.
    assert asyncio.run(run_call(standin, call)) == named + 1


@pytest.mark.parametrize("call", CALLS)
def test_answers_without_an_era_have_era_0(call: Call) -> None:
    assert asyncio.run(run_call(HeaderlessStandin(), call)) == 0


def test_pages_of_different_eras_are_no_snapshot() -> None:
    standin = UnsteadyStandin()
    for number in range(metadata_store.PAGE_ITEMS + 1):
        standin.items[f"a{number:03}"] = (b"", 1)
    with pytest.raises(errors.StoreUnavailableError):
        asyncio.run(run_call(standin, CALLS[0]))


@pytest.mark.parametrize(
    ("kind", "message"),
    [
        (relay.RelayReply, b'{"revision": 5}'),
        (
            watches.WatchReply,
            b'{"revision": 5, "complete": true, "entries": [],'
            b' "view_age_s": 0.1, "failure_age_s": null}',
        ),
        (
            watches.WatchRequest,
            b'{"prefix": "a", "revision": 5, "wait_s": 1.0, "host": "h"}',
        ),
    ],
)
def test_messages_of_gateways_that_know_no_eras_are_read(
    kind: type[relay.RelayReply], message: bytes
) -> None:
    assert msgspec.json.decode(message, type=kind).era == 0
