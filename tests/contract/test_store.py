from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import pytest
from tests.contract import support

from cyclamenwing.standin import faults
from cyclamenwing.standin import rate_limit
from cyclamenwing.standin import store as store_standin
from cyclamenwing.store import client as store_client
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import client

LOST = errors.StoreAnswerLostError
DOWN = errors.StoreUnavailableError
GARBLED = errors.StoreMalformedError

Scenario = Callable[
    [store_client.StoreClient, store_standin.StoreStandin], Awaitable[None]
]


def run(
    scenario: Scenario,
    rows: list[faults.Fault] | None = None,
    limits: store_standin.RateLimits = store_standin.NO_LIMITS,
) -> None:
    async def play() -> None:
        table = faults.FaultTable(rows)
        made = store_standin.StoreStandin("127.0.0.1:0", table, limits)
        http = client.CurlClient("key")
        try:
            await scenario(store_client.StoreClient(http, made.address), made)
        finally:
            await made.close()
            await http.close()

    asyncio.run(play())


def fault(call: str, kind: faults.FaultKind) -> faults.Fault:
    return {"call": call, "kind": kind, "skip": 0, "count": 1, "delay_s": 0.0}


# What a write reports, and whether it took effect.
WRITES: list[tuple[faults.FaultKind, type[errors.StoreError], bool]] = [
    ("down", LOST, False),
    ("lost_answer", LOST, True),
    ("cut", LOST, True),
    ("silent", LOST, True),
    ("garbage", GARBLED, True),
]


@pytest.mark.parametrize(("kind", "error", "effect"), WRITES)
def test_spoiled_writes(
    kind: faults.FaultKind,
    error: type[errors.StoreError],
    effect: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_client, "CALL_TIMEOUT_S", 0.3)

    async def scenario(
        store: store_client.StoreClient, made: store_standin.StoreStandin
    ) -> None:
        with pytest.raises(error) as caught:
            await store.swap("k", 0, b"v")
        assert isinstance(caught.value, LOST)
        found = await store.get("k")
        assert (found is not None) == effect
        assert made.state.calls["kv/txn"] == 1

    run(scenario, [fault("kv/txn", kind)])


@pytest.mark.parametrize("kind", [row[0] for row in WRITES])
def test_spoiled_reads_have_no_effect_to_report(
    kind: faults.FaultKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_client, "CALL_TIMEOUT_S", 0.3)

    async def scenario(
        store: store_client.StoreClient, made: store_standin.StoreStandin
    ) -> None:
        with pytest.raises(DOWN):
            await store.get("k")
        assert await store.get("k") is None

    run(scenario, [fault("kv/range", kind)])


def test_slow_answer_arrives() -> None:
    async def scenario(
        store: store_client.StoreClient, made: store_standin.StoreStandin
    ) -> None:
        assert await store.swap("k", 0, b"v") is not None

    run(scenario, [fault("kv/txn", "slow") | {"delay_s": 0.2}])


@pytest.mark.parametrize(
    ("kind", "error"),
    [
        ("down", DOWN),
        ("lost_answer", DOWN),
        ("cut", DOWN),
        ("silent", DOWN),
        ("garbage", GARBLED),
    ],
)
def test_spoiled_watch_ends_and_the_next_one_misses_nothing(
    kind: faults.FaultKind,
    error: type[errors.StoreError],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_client, "WATCH_SILENCE_S", 0.5)

    async def read_one(store: store_client.StoreClient) -> protocol.Entry:
        async for change in store.watch("k", 0):
            return change
        raise AssertionError("the watch ended quietly")

    async def scenario(
        store: store_client.StoreClient, made: store_standin.StoreStandin
    ) -> None:
        await store.swap("k1", 0, b"v")
        with pytest.raises(error):
            await read_one(store)
        change = await read_one(store)
        assert (change.key, change.value) == ("k1", b"v")

    run(scenario, [fault("watch", kind)])


def test_limits_are_told_apart_from_outages() -> None:
    async def scenario(
        store: store_client.StoreClient, made: store_standin.StoreStandin
    ) -> None:
        with pytest.raises(errors.StoreRefusedError):
            await store.swap("k", 0, b"v" * (protocol.MAX_VALUE_BYTES + 1))
        most = b"v" * protocol.MAX_VALUE_BYTES
        assert await store.swap("k", 0, most) is not None
        with pytest.raises(errors.StoreBusyError):
            await store.swap("k", 0, b"v")
        assert made.state.refused == {"kv/txn": 1}
        assert made.state.calls == {"kv/txn": 3}
        assert await store.get("k") is not None

    run(scenario, limits=store_standin.RateLimits(None, 2.0))


def test_waiting_watches_are_counted() -> None:
    async def scenario(
        store: store_client.StoreClient, made: store_standin.StoreStandin
    ) -> None:
        async def follow() -> None:
            async for _ in store.watch("k", 0):
                pass

        following = asyncio.create_task(follow())
        async with asyncio.timeout(5):
            while made.state.open_watches != 1:
                await asyncio.sleep(0.01)
            following.cancel()
            while made.state.open_watches:
                await asyncio.sleep(0.01)

    run(scenario)


BAD: dict[str, tuple[str, bytes]] = {
    "not JSON": ("kv/range", b"{"),
    "wrong type": ("kv/range", b"[]"),
    "no key": ("kv/range", b"{}"),
    "not base64": ("kv/range", b'{"key": "\xc3\xa4"}'),
    "no compare": ("kv/txn", b'{"success": []}'),
    "text for number": ("lease/grant", b'{"TTL": "x"}'),
    "no range": ("watch", b'{"create_request": {}}'),
}


def test_bad_calls_are_refused() -> None:
    async def scenario(
        store: store_client.StoreClient, made: store_standin.StoreStandin
    ) -> None:
        for name, (call, body) in BAD.items():
            raw = support.make_raw("POST", f"/v3/{call}", {}, body)
            reply = await support.exchange(made.address, raw)
            assert reply.status == 400, f"{name}: {reply}"
        assert await store.get("k") is None

    run(scenario)


ANSWERS: list[tuple[str, Any]] = [
    ("kv/txn", {"succeeded": True}),
    ("kv/txn", {"succeeded": "yes"}),
    ("kv/txn", {"succeeded": True, "header": {"revision": 7}}),
    ("kv/range", {"kvs": [{"key": "!"}]}),
    ("kv/range", {"kvs": [{"key": "aw==", "mod_revision": "x"}]}),
    ("kv/range", {"kvs": {}}),
]


@pytest.mark.parametrize(("call", "answer"), ANSWERS)
def test_malformed_answers_are_coded(
    call: str, answer: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "cyclamenwing.standin.keyvalue.apply_call", lambda *_: answer
    )

    async def scenario(
        store: store_client.StoreClient, made: store_standin.StoreStandin
    ) -> None:
        with pytest.raises(errors.StoreError):
            if call == "kv/txn":
                await store.swap("k", 0, b"v")
            else:
                await store.get("k")

    run(scenario)


def test_rate_refills() -> None:
    rate = rate_limit.RateLimit(2.0)
    admitted = [rate.admit(now) for now in (0.0, 0.0, 0.0, 0.4, 0.5, 9.0)]
    assert admitted == [True, True, False, False, True, True]
