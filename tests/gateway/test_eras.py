"""Era of the store: which answers count, and what watches do with it.

After the store has returned from an older copy its revisions are reused, so a
comparison of revisions of two eras would hide changes.
"""

from __future__ import annotations

import asyncio

import pytest
from tests.gateway import deployments
from tests.gateway import test_watches

from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import compression
from cyclamenwing.gateway import eras
from cyclamenwing.gateway import watches
from cyclamenwing.metrics import recorder
from cyclamenwing.platform import store
from cyclamenwing.standin import metadata_store
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import pooled_client


def make_tracker(*seen: int) -> eras.EraTracker:
    tracker = eras.EraTracker(recorder.Recorder())
    for era in seen:
        tracker.observe(era, "store")
    return tracker


@pytest.mark.parametrize(
    ("seen", "era", "known"),
    [((), 0, 0), ((), 3, 3), ((3,), 3, 3), ((3,), 4, 4)],
)
def test_answers_of_the_newest_era_count(
    seen: tuple[int, ...], era: int, known: int
) -> None:
    tracker = make_tracker(*seen)
    tracker.check(era, "store")
    assert tracker.known == known


@pytest.mark.parametrize("era", [0, 2])
def test_answers_of_an_earlier_era_are_dropped(era: int) -> None:
    tracker = make_tracker(3)
    with pytest.raises(errors.StoreAnswerLostError):
        tracker.check(era, "store")
    assert tracker.known == 3


@pytest.mark.parametrize(
    ("seen", "changes"), [((), 0), ((3,), 0), ((3, 4), 1), ((3, 4, 6, 5), 2)]
)
def test_changes_are_counted(seen: tuple[int, ...], changes: int) -> None:
    metrics = recorder.Recorder()
    tracker = eras.EraTracker(metrics)
    for era in seen:
        tracker.observe(era, "store")
    assert sum(metrics.counts.get(eras.ERA_CHANGES, {}).values()) == changes


def test_call_of_an_earlier_era_ends_with_the_change() -> None:
    async def check() -> None:
        tracker = make_tracker(1)
        running = asyncio.ensure_future(
            tracker.run_within(1, asyncio.sleep(60.0))
        )
        await asyncio.sleep(0)
        tracker.observe(2, "store")
        async with asyncio.timeout(1.0):
            with pytest.raises(errors.StoreHistoryLostError):
                await running

    asyncio.run(check())


@pytest.mark.parametrize(
    ("era", "markers"), [(1, [1]), (3, [1, 2, 3]), (9, [7, 8, 9])]
)
def test_markers_of_an_era_end_the_commits_of_earlier_ones(
    era: int, markers: list[int]
) -> None:
    written = {key for key, _ in eras.make_markers(era)}
    assert written == {f"cyclamenwing/eras/{number}" for number in markers}
    for earlier in markers[:-1]:
        (key, revision), *_ = eras.make_guard(earlier)
        assert key in written
        assert revision == 0
    assert eras.make_guard(era)[0][0] not in written
    assert eras.make_guard(0) == []


def test_commit_of_an_earlier_era_has_no_effect() -> None:
    async def check() -> None:
        standin = metadata_store.MetadataStoreStandin()
        http = pooled_client.PooledClient()
        client = store.KeyValueStore(http, standin.listen())
        copy = standin.copy()
        await client.commit([], [("pool", b"first")])
        revision = standin.revision
        await standin.restore(copy)
        await client.commit([], eras.make_markers(2))
        standin.revision = copy.revision
        await client.commit([], [("pool", b"second")])
        # The key has the revision again that the commit expects.
        assert standin.items["pool"] == (b"second", revision)
        outcome = await eras.commit(
            client, 1, [("pool", revision)], [("pool", b"late")]
        )
        assert isinstance(outcome, protocol.Conflict)
        assert standin.items["pool"] == (b"second", revision)
        http.close()
        standin.stop()

    asyncio.run(check())


def test_commit_that_landed_in_a_later_era_is_in_doubt() -> None:
    async def check() -> None:
        standin = metadata_store.MetadataStoreStandin()
        http = pooled_client.PooledClient()
        client = store.KeyValueStore(http, standin.listen())
        await standin.restore(standin.copy())
        with pytest.raises(errors.StoreAnswerLostError):
            await eras.commit(client, 1, [("pool", 0)], [("pool", b"")])
        http.close()
        standin.stop()

    asyncio.run(check())


def make_snapshot(era: int, revision: int, **values: int) -> protocol.Snapshot:
    return test_watches.make_snapshot(revision, **values)._replace(era=era)


@pytest.mark.parametrize("revision", [8, 12])
def test_watch_of_an_earlier_era_gets_all_entries(revision: int) -> None:
    # The new era has the watched revision again, or not yet.
    cache = test_watches.fill_cache(
        make_snapshot(1, 10, a=5, b=6), make_snapshot(2, 9, b=7)
    )
    reply = cache.collect(revision, 0.0, 1)
    assert (reply.era, reply.revision, reply.complete) == (2, 9, True)
    assert [
        (key, int(compression.unpack(value)))
        for key, value, _ in reply.entries
        if value is not None
    ] == [("b", 7)]


def test_long_poll_of_an_earlier_era_ends_with_the_change() -> None:
    async def check() -> None:
        cache = watches.WatchCache()
        await cache.load(make_snapshot(1, 10, a=5))
        waiting = asyncio.ensure_future(cache.wait(10, 5.0, 1))
        await asyncio.sleep(0)
        await cache.load(make_snapshot(2, 10, a=5))
        async with asyncio.timeout(1.0):
            await waiting

    asyncio.run(check())


@pytest.mark.parametrize(("seen", "accepted"), [((), True), ((2,), False)])
def test_relay_that_knows_no_eras_serves_until_the_first_change(
    seen: tuple[int, ...], accepted: bool
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        gateway = deployment.gateways[0]
        board = gateway.board
        for era in seen:
            board.eras.observe(era, "store")

        async def answer(*_: object) -> tuple[int, bytes]:
            return 200, b'{"revision": 5}'

        gateway._store._caller.call = answer  # type: ignore[assignment]
        gateway._store._unreachable = True
        now_s = clock.read_time()
        board.peers["p"] = blackboard.Peer(
            "p", "127.0.0.1:1", "p-1", 0, {}, {}, now_s, 0.0, 0.0
        )
        if accepted:
            assert (await gateway._store.read("a")).era == board.eras.known
            return
        with pytest.raises(errors.StoreAnswerLostError):
            await gateway._store.read("a")

    async def run_check() -> None:
        async with deployments.deploy() as deployment:
            await check(deployment)

    asyncio.run(run_check())


# Guards against a delegate that still follows the copy before.
@pytest.mark.parametrize(
    ("era", "revision", "complete", "outdated"),
    [
        (1, 99, True, True),
        (1, 99, False, True),
        (2, 11, True, False),
        (2, 9, True, True),
        (2, 9, False, False),
        (3, 9, True, False),
        (0, 99, True, False),
    ],
)
def test_watch_answer_of_an_earlier_era_is_outdated(
    era: int, revision: int, complete: bool, outdated: bool
) -> None:
    async def check(deployment: deployments.Deployment) -> None:
        board = deployment.gateways[0].board
        board.eras.observe(2, "store")
        watched = deployment.gateways[0]._watched
        reply = watches.WatchReply(revision, complete, [], 0.0, None, era)
        assert watched._is_outdated(reply, 10, 2) is outdated
        assert board.eras.known == max(era, 2)

    async def run() -> None:
        async with deployments.deploy() as deployment:
            await check(deployment)

    asyncio.run(run())
