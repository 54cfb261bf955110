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
        made = store_client.StoreClient(http, standin.address)
        try:
            # The faults are for the top-up, not for fixing the layout.
            await layout.load_layout(made, 4)
            table.faults = rows
            result = await admin.apply_top_up(
                made,
                {"op": "top_up", "id": "t", "budget": "b", "amount": 5},
                4,
            )
            return result["left"]
        finally:
            await http.close()
            await standin.close()

    return asyncio.run(run())


SPOILING: list[faults.FaultKind] = ["lost_answer", "cut", "garbage", "down"]


@pytest.mark.parametrize("kind", SPOILING)
def test_spoiled_answer_commits_once(kind: faults.FaultKind) -> None:
    assert top_up([make_fault("kv/txn", kind)]) == 5


def test_store_down_is_a_coded_error() -> None:
    with pytest.raises(errors.StoreUnavailableError):
        top_up([make_fault("kv/range", "down")])


def test_writes_that_never_answer_have_an_unknown_fate() -> None:
    with pytest.raises(errors.StoreAnswerLostError):
        top_up([make_fault("kv/txn", "down", count=-1)])


def test_unknown_fate_is_not_reported_as_no_effect() -> None:
    # The first reads are of the layout and of the shard.
    rows = [
        make_fault("kv/txn", "lost_answer"),
        make_fault("kv/range", "down", skip=2),
    ]
    with pytest.raises(errors.StoreAnswerLostError):
        top_up(rows)
