"""Watches through a delegate: what is kept, sent, and asked of the store."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import pytest

from cyclamenwing.gateway import compression
from cyclamenwing.gateway import errors
from cyclamenwing.gateway import watches
from cyclamenwing.store import protocol


def make_snapshot(revision: int, **values: int) -> protocol.Snapshot:
    return protocol.Snapshot(
        [
            protocol.Entry(key, b"%d" % changed, changed)
            for key, changed in values.items()
        ],
        revision,
    )


def make_changes(
    revision: int, *changes: tuple[str, bool, int]
) -> protocol.Changes:
    return protocol.Changes(
        [
            protocol.Change(key, b"%d" % changed if exists else None, changed)
            for key, exists, changed in changes
        ],
        revision,
    )


def fill_cache(
    *steps: protocol.Snapshot | protocol.Changes,
) -> watches.WatchCache:
    async def fill() -> watches.WatchCache:
        cache = watches.WatchCache()
        for step in steps:
            if isinstance(step, protocol.Snapshot):
                await cache.load(step)
            else:
                await cache.apply(step)
        return cache

    return asyncio.run(fill())


@pytest.mark.parametrize(
    ("after", "complete", "entries"),
    [
        # A gateway that knows nothing gets all entries.
        (-1, True, [("b", 12), ("c", 13)]),
        # One that has missed removals from before the delegate's start too.
        (4, True, [("b", 12), ("c", 13)]),
        (10, False, [("a", None), ("b", 12), ("c", 13)]),
        (11, False, [("b", 12), ("c", 13)]),
        (13, False, []),
        # One that has read more from another delegate.
        (20, False, []),
    ],
)
def test_changes_since_a_revision(
    after: int, complete: bool, entries: Sequence[tuple[str, int | None]]
) -> None:
    cache = fill_cache(
        make_snapshot(10, a=5, b=6),
        make_changes(12, ("a", False, 11), ("b", True, 12)),
        make_changes(13, ("c", True, 13)),
    )
    reply = cache.collect(after, 0.0)
    assert reply.complete == complete
    assert reply.revision == max(13, after)
    assert sorted(
        (key, None if value is None else int(compression.unpack(value)))
        for key, value, _ in reply.entries
    ) == list(entries)


def test_many_changes_of_a_key_are_sent_once() -> None:
    cache = fill_cache(
        make_snapshot(1, a=1),
        *(make_changes(n, ("a", True, n)) for n in range(2, 30)),
    )
    reply = cache.collect(1, 0.0)
    assert [(key, revision) for key, _, revision in reply.entries] == [
        ("a", 29)
    ]


def test_full_read_after_lost_history_shows_what_was_removed() -> None:
    cache = fill_cache(make_snapshot(1, a=1, b=1), make_snapshot(9, b=1))
    reply = cache.collect(1, 0.0)
    assert not reply.complete
    assert [(key, value) for key, value, _ in reply.entries] == [("a", None)]


def test_removals_are_bounded_and_older_ones_cause_a_full_read() -> None:
    count = watches.MAX_REMOVALS + 5
    cache = fill_cache(
        make_snapshot(0),
        *(make_changes(n, (f"k{n}", False, n)) for n in range(1, count + 1)),
    )
    assert cache.collect(3, 0.0).complete
    assert not cache.collect(5, 0.0).complete


def test_long_poll_ends_with_the_change() -> None:
    async def check() -> None:
        cache = watches.WatchCache()
        await cache.load(make_snapshot(1))
        waiting = asyncio.ensure_future(cache.wait(1, 5.0))
        await asyncio.sleep(0)
        await cache.apply(make_changes(2, ("a", True, 2)))
        async with asyncio.timeout(1.0):
            await waiting

    asyncio.run(check())


@pytest.mark.parametrize("size", [0, 10, 100_000])
def test_values_are_the_same_after_compression(size: int) -> None:
    value = b"route " * size
    assert compression.unpack(compression.pack(value)) == value


def test_large_configuration_shrinks_for_slow_links() -> None:
    routes = b"".join(
        b'{"name": "r%d", "host": "a.example", "prefix": "/p%d/"},' % (n, n)
        for n in range(1500)
    )
    assert len(compression.pack(routes)) < len(routes) / 5


@pytest.mark.parametrize("data", [b"", b"?x", b"zbroken"])
def test_damaged_values_are_reported(data: bytes) -> None:
    with pytest.raises(errors.PeerDataError):
        compression.unpack(data)
