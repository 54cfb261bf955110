"""Claims on keys of requests that may run at most once.

Two entries that claim one key, or an outcome that arrives after its claim was
taken over, must not let the request run twice or replace its outcome.
"""

from __future__ import annotations

import msgspec
from tests.request import samples

from cyclamenwing.request import claims
from cyclamenwing.store import protocol


def make_complete_op(key: str, attempt: int, body: bytes) -> claims.CompleteOp:
    return {
        "op": "end",
        "key": key,
        "attempt": attempt,
        "status": 201,
        "headers": {},
        "body": claims.encode_body(body),
    }


def acquire(
    cluster: samples.Cluster,
    key: str,
    replaces: int = 0,
    fingerprint: str = "f",
) -> claims.Result:
    order = samples.make_order(key, fingerprint=fingerprint)
    return cluster.acquire_claim(order, cluster.sidecars[0], replaces)


def apply_op(cluster: samples.Cluster, op: claims.ClaimOp) -> claims.Result:
    return claims.apply_ops(cluster.shard, [op], "c", cluster.now)[0]


def test_claim_is_taken_over_only_with_its_current_attempt() -> None:
    cluster = samples.Cluster()
    assert acquire(cluster, "w/1").applied
    assert not acquire(cluster, "w/1").applied
    assert not acquire(cluster, "w/1", 1, "other body").applied
    second = acquire(cluster, "w/1", 1)
    assert second.claim is not None
    assert (second.applied, second.claim["attempt"]) == (True, 2)
    assert not acquire(cluster, "w/1", 1).applied
    assert not apply_op(cluster, make_complete_op("w/1", 1, b"late")).applied
    assert apply_op(cluster, make_complete_op("w/1", 2, b"done")).applied
    assert not apply_op(
        cluster, {"op": "drop", "key": "w/1", "attempt": 2}
    ).applied
    ended_claim = acquire(cluster, "w/1", 2).claim
    assert ended_claim is not None
    assert ended_claim["body"] is not None
    assert claims.decode_body(ended_claim["body"]) == b"done"


def test_released_claim_is_acquired_with_a_higher_attempt() -> None:
    cluster = samples.Cluster()
    acquire(cluster, "w/1")
    apply_op(cluster, {"op": "drop", "key": "w/1", "attempt": 1})
    again = acquire(cluster, "w/1")
    assert again.claim is not None
    assert (again.applied, again.claim["attempt"]) == (True, 2)


def test_full_shard_refuses_claims_and_fits_the_value_limit() -> None:
    cluster = samples.Cluster()
    body = b"x" * claims.MAX_RECORDED_BYTES
    number = 0
    while acquire(cluster, f"w/{number}").applied:
        apply_op(cluster, make_complete_op(f"w/{number}", 1, body))
        number += 1
    encoded = msgspec.json.encode(cluster.shard)
    assert len(encoded) <= protocol.MAX_VALUE_BYTES
    cluster.now += claims.MIN_CLAIM_RETENTION_S + 1
    assert acquire(cluster, "w/new").applied
    assert list(cluster.shard["claims"]) == ["w/new"]


def test_open_claim_is_kept_for_its_whole_retention() -> None:
    cluster = samples.Cluster()
    acquire(cluster, "w/open")
    cluster.now += claims.CLAIM_RETENTION_S
    assert not acquire(cluster, "w/open").applied
    cluster.now += 1
    assert acquire(cluster, "w/open").applied
