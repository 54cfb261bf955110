from __future__ import annotations

import asyncio

import pytest

from cyclamenwing.budget import payment
from cyclamenwing.standin import faults
from cyclamenwing.standin import store
from cyclamenwing.store import client as store_client
from cyclamenwing.store import errors
from cyclamenwing.transport import client


def top_up(fault_kind: faults.FaultKind, count: int) -> int:
    async def run() -> int:
        table = faults.FaultTable([
            {
                "call": "kv/txn",
                "kind": fault_kind,
                "skip": 0,
                "count": count,
                "delay_s": 0.0,
            }
        ])
        standin = store.StoreStandin("127.0.0.1:0", table)
        http = client.CurlClient("key")
        try:
            result = await payment.apply_top_up(
                store_client.StoreClient(http, standin.address),
                {"op": "top_up", "id": "t", "budget": "b", "amount": 5},
                4,
            )
            return result["left"]
        finally:
            await http.close()
            await standin.close()

    return asyncio.run(run())


def test_lost_answer_commits_once() -> None:
    assert top_up("lost_answer", 1) == 5


def test_store_down_is_a_coded_error() -> None:
    with pytest.raises(errors.StoreUnavailableError):
        top_up("down", 1)
