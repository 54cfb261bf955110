"""Guards against store faults that are reported as the wrong error.

The stand-in answers late, not at all or with invalid data. The client must
say whether a write may have taken effect.
"""

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
    async def main() -> None:
        table = faults.FaultTable(rows)
        standin = store_standin.StoreStandin("127.0.0.1:0", table, limits)
        http = client.CurlClient("key")
        try:
            await scenario(
                store_client.StoreClient(http, standin.address), standin
            )
        finally:
            await standin.close()
            await http.close()

    asyncio.run(main())


def make_fault(call: str, kind: faults.FaultKind) -> faults.Fault:
    return {"call": call, "kind": kind, "skip": 0, "count": 1, "delay_s": 0.0}


# Each row: the fault of a write, the error and whether the write took effect.
WRITE_CASES: list[tuple[faults.FaultKind, type[errors.StoreError], bool]] = [
    ("down", LOST, False),
    ("lost_answer", LOST, True),
    ("cut", LOST, True),
    ("silent", LOST, True),
    ("garbage", GARBLED, True),
]


@pytest.mark.parametrize(("kind", "error", "effect"), WRITE_CASES)
def test_write_with_fault_reports_a_lost_answer(
    kind: faults.FaultKind,
    error: type[errors.StoreError],
    effect: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_client, "CALL_TIMEOUT_S", 0.3)

    async def scenario(
        store: store_client.StoreClient, standin: store_standin.StoreStandin
    ) -> None:
        with pytest.raises(error) as caught:
            await store.swap("k", 0, b"v")
        assert isinstance(caught.value, LOST)
        entry = await store.get("k")
        assert (entry is not None) == effect
        assert standin.state.calls["kv/txn"] == 1

    run(scenario, [make_fault("kv/txn", kind)])


@pytest.mark.parametrize("kind", [case[0] for case in WRITE_CASES])
def test_read_with_fault_reports_an_unavailable_store(
    kind: faults.FaultKind, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_client, "CALL_TIMEOUT_S", 0.3)

    async def scenario(
        store: store_client.StoreClient, standin: store_standin.StoreStandin
    ) -> None:
        with pytest.raises(DOWN):
            await store.get("k")
        assert await store.get("k") is None

    run(scenario, [make_fault("kv/range", kind)])


def test_slow_answer_arrives() -> None:
    async def scenario(
        store: store_client.StoreClient, standin: store_standin.StoreStandin
    ) -> None:
        assert await store.swap("k", 0, b"v") is not None

    run(scenario, [make_fault("kv/txn", "slow") | {"delay_s": 0.2}])


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
def test_watch_with_fault_ends_and_the_next_one_misses_no_change(
    kind: faults.FaultKind,
    error: type[errors.StoreError],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_client, "WATCH_SILENCE_S", 0.5)

    async def read_one(store: store_client.StoreClient) -> protocol.Entry:
        async for change in store.watch("k", 0):
            return change
        raise AssertionError("the watch ended without an error")

    async def scenario(
        store: store_client.StoreClient, standin: store_standin.StoreStandin
    ) -> None:
        await store.swap("k1", 0, b"v")
        with pytest.raises(error):
            await read_one(store)
        change = await read_one(store)
        assert (change.key, change.value) == ("k1", b"v")

    run(scenario, [make_fault("watch", kind)])


def test_limits_have_other_errors_than_outages() -> None:
    async def scenario(
        store: store_client.StoreClient, standin: store_standin.StoreStandin
    ) -> None:
        with pytest.raises(errors.StoreRefusedError):
            await store.swap("k", 0, b"v" * (protocol.MAX_VALUE_BYTES + 1))
        largest_value = b"v" * protocol.MAX_VALUE_BYTES
        assert await store.swap("k", 0, largest_value) is not None
        with pytest.raises(errors.StoreBusyError):
            await store.swap("k", 0, b"v")
        assert standin.state.refused == {"kv/txn": 1}
        assert standin.state.calls == {"kv/txn": 3}
        assert await store.get("k") is not None

    run(scenario, limits=store_standin.RateLimits(None, 2.0))


def test_open_watches_are_counted() -> None:
    async def scenario(
        store: store_client.StoreClient, standin: store_standin.StoreStandin
    ) -> None:
        async def watch_forever() -> None:
            async for _ in store.watch("k", 0):
                pass

        watch_task = asyncio.create_task(watch_forever())
        async with asyncio.timeout(5):
            while standin.state.open_watches != 1:
                await asyncio.sleep(0.01)
            watch_task.cancel()
            while standin.state.open_watches:
                await asyncio.sleep(0.01)

    run(scenario)


MALFORMED_CALLS: dict[str, tuple[str, bytes]] = {
    "not JSON": ("kv/range", b"{"),
    "wrong type": ("kv/range", b"[]"),
    "no key": ("kv/range", b"{}"),
    "not base64": ("kv/range", b'{"key": "\xc3\xa4"}'),
    "no compare": ("kv/txn", b'{"success": []}'),
    "text for number": ("lease/grant", b'{"TTL": "x"}'),
    "no range": ("watch", b'{"create_request": {}}'),
}


def test_malformed_calls_are_refused() -> None:
    async def scenario(
        store: store_client.StoreClient, standin: store_standin.StoreStandin
    ) -> None:
        for name, (call, body) in MALFORMED_CALLS.items():
            raw = support.make_raw("POST", f"/v3/{call}", {}, body)
            reply = await support.send_raw(standin.address, raw)
            assert reply.status == 400, f"{name}: {reply}"
        assert await store.get("k") is None

    run(scenario)


MALFORMED_ANSWERS: list[tuple[str, Any]] = [
    ("kv/txn", {"succeeded": True}),
    ("kv/txn", {"succeeded": "yes"}),
    ("kv/txn", {"succeeded": True, "header": {"revision": 7}}),
    ("kv/range", {"kvs": [{"key": "!"}]}),
    ("kv/range", {"kvs": [{"key": "aw==", "mod_revision": "x"}]}),
    ("kv/range", {"kvs": {}}),
]


@pytest.mark.parametrize(("call", "answer"), MALFORMED_ANSWERS)
def test_malformed_answers_raise_store_errors(
    call: str, answer: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "cyclamenwing.standin.keyvalue.apply_call", lambda *_: answer
    )

    async def scenario(
        store: store_client.StoreClient, standin: store_standin.StoreStandin
    ) -> None:
        with pytest.raises(errors.StoreError):
            if call == "kv/txn":
                await store.swap("k", 0, b"v")
            else:
                await store.get("k")

    run(scenario)


def test_rate_limit_refills() -> None:
    limit = rate_limit.RateLimit(2.0)
    admitted = [limit.admit(now) for now in (0.0, 0.0, 0.0, 0.4, 0.5, 9.0)]
    assert admitted == [True, True, False, False, True, True]
