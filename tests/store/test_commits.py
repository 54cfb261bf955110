"""Commits to a store that fails or loses answers.

A write whose answer is lost may have taken effect; repeating it blindly would
apply the change twice.
"""

from __future__ import annotations

import asyncio

import pytest

from cyclamenwing.budget import admin
from cyclamenwing.budget import layout
from cyclamenwing.standin import faults
from cyclamenwing.standin import store
from cyclamenwing.store import client as store_client
from cyclamenwing.store import errors
from cyclamenwing.transport import client


def make_fault(
    call: str, kind: faults.FaultKind, skip: int = 0, count: int = 1
) -> faults.Fault:
    return {
        "call": call,
        "kind": kind,
        "skip": skip,
        "count": count,
        "delay_s": 0.0,
    }


def top_up(rows: list[faults.Fault]) -> int:
    async def run() -> int:
        table = faults.FaultTable()
        standin = store.StoreStandin("127.0.0.1:0", table)
        http = client.CurlClient("key")
        store_under_test = store_client.StoreClient(http, standin.address)
        try:
            # Faults apply to the top-up only, not to writing the layout.
            await layout.load_layout(store_under_test, 4)
            table.faults = rows
            result = await admin.apply_top_up(
                store_under_test,
                {"op": "top_up", "id": "t", "budget": "b", "amount": 5},
                4,
            )
            return result["left"]
        finally:
            await http.close()
            await standin.close()

    return asyncio.run(run())


WRITE_FAULTS: list[faults.FaultKind] = [
    "lost_answer",
    "cut",
    "garbage",
    "down",
]


@pytest.mark.parametrize("kind", WRITE_FAULTS)
def test_write_with_a_faulty_answer_commits_once(
    kind: faults.FaultKind,
) -> None:
    assert top_up([make_fault("kv/txn", kind)]) == 5


def test_read_from_a_failed_store_raises_unavailable() -> None:
    with pytest.raises(errors.StoreUnavailableError):
        top_up([make_fault("kv/range", "down")])


def test_unanswered_writes_raise_answer_lost() -> None:
    with pytest.raises(errors.StoreAnswerLostError):
        top_up([make_fault("kv/txn", "down", count=-1)])


def test_failed_read_after_a_lost_answer_raises_answer_lost() -> None:
    # The first two reads are those of the layout and of the shard.
    rows = [
        make_fault("kv/txn", "lost_answer"),
        make_fault("kv/range", "down", skip=2),
    ]
    with pytest.raises(errors.StoreAnswerLostError):
        top_up(rows)
