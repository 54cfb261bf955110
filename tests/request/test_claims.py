from __future__ import annotations

import msgspec
from tests.request import samples

from cyclamenwing.request import claims
from cyclamenwing.store import protocol


def end(key: str, attempt: int, body: bytes) -> claims.CompleteOp:
    return {
        "op": "end",
        "key": key,
        "attempt": attempt,
        "status": 201,
        "headers": {},
        "body": claims.encode_body(body),
    }


def take(
    world: samples.World, key: str, replaces: int = 0, fingerprint: str = "f"
) -> claims.Result:
    order = samples.make_order(key, fingerprint=fingerprint)
    return world.take(order, world.sidecars[0], replaces)


def apply(world: samples.World, op: claims.ClaimOp) -> claims.Result:
    return claims.apply_ops(world.shard, [op], "c", world.now)[0]


def test_claim_changes_hands_only_by_its_attempt() -> None:
    world = samples.World()
    assert take(world, "w/1").applied
    assert not take(world, "w/1").applied
    assert not take(world, "w/1", 1, "other body").applied
    second = take(world, "w/1", 1)
    assert second.claim is not None
    assert (second.applied, second.claim["attempt"]) == (True, 2)
    assert not take(world, "w/1", 1).applied
    assert not apply(world, end("w/1", 1, b"late")).applied
    assert apply(world, end("w/1", 2, b"done")).applied
    assert not apply(world, {"op": "drop", "key": "w/1", "attempt": 2}).applied
    kept = take(world, "w/1", 2).claim
    assert kept is not None
    assert kept["body"] is not None
    assert claims.decode_body(kept["body"]) == b"done"


def test_dropped_claim_goes_on_with_a_higher_attempt() -> None:
    world = samples.World()
    take(world, "w/1")
    apply(world, {"op": "drop", "key": "w/1", "attempt": 1})
    again = take(world, "w/1")
    assert again.claim is not None
    assert (again.applied, again.claim["attempt"]) == (True, 2)


def test_full_shard_stays_below_the_stores_bound_and_refuses() -> None:
    world = samples.World()
    body = b"x" * claims.MAX_RECORDED_BYTES
    number = 0
    while take(world, f"w/{number}").applied:
        apply(world, end(f"w/{number}", 1, body))
        number += 1
    encoded = msgspec.json.encode(world.shard)
    assert len(encoded) <= protocol.MAX_VALUE_BYTES
    world.now += claims.MIN_RETENTION_S + 1
    assert take(world, "w/new").applied
    assert list(world.shard["claims"]) == ["w/new"]


def test_open_claims_outlive_ended_ones() -> None:
    world = samples.World()
    take(world, "w/open")
    world.now += claims.CLAIM_RETENTION_S
    assert not take(world, "w/open").applied
    world.now += 1
    assert take(world, "w/open").applied
