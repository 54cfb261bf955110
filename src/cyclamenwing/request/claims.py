"""Durable claims on request keys that may run at most once.

A claim is stored before a non-idempotent request is sent to a sidecar.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

import msgspec

from cyclamenwing import decoding
from cyclamenwing.request import errors
from cyclamenwing.store import protocol

CLAIM_SHARDS = 64
CLAIM_RETENTION_S = 24 * 3_600.0
# Retention of closed claims in a shard that is more than half full.
MIN_CLAIM_RETENTION_S = 3_600.0
# Latest commits that a shard remembers, to find one after a lost answer.
MAX_COMMIT_IDS = 64
# A full shard takes no new claims, but open claims in it still get their
# status and headers; the margin leaves room for them.
MAX_SHARD_BYTES = protocol.MAX_VALUE_BYTES - 100_000
# Largest answer body that is stored with a claim.
MAX_RECORDED_BYTES = 4_096

ClaimPhase = Literal["claimed", "not_run", "ended"]


class RunLocation(TypedDict):
    """Identify the sidecar incarnation that may run a claimed request."""

    host: str
    address: str
    incarnation: str


class Claim(TypedDict):
    """Hold a key's claim, and the outcome once the run has ended.

    `attempt` counts the acquisitions of the claim, `session` is that of the
    entry that acquired it last, and `at` is the time of this in seconds
    since the epoch. `body` is base64, or None if there is no answer
    or it was too large to store.
    """

    request: str
    fingerprint: str
    phase: ClaimPhase
    attempt: int
    session: str
    place: RunLocation
    at: float
    status: int
    headers: dict[str, str]
    body: str | None


class ClaimShard(TypedDict):
    """Hold one shard of claims, stored as the value of one key."""

    commits: list[str]
    claims: dict[str, Claim]


class AcquireOp(TypedDict):
    """Acquire the claim on a key for a sidecar incarnation.

    `replaces` is the attempt that is known not to have run, and whose open
    claim is taken over; 0 acquires only a key without an open claim.
    """

    op: Literal["take"]
    key: str
    request: str
    fingerprint: str
    session: str
    place: RunLocation
    replaces: int


class ReleaseOp(TypedDict):
    """Release a claim because its attempt did not run."""

    op: Literal["drop"]
    key: str
    attempt: int


class CompleteOp(TypedDict):
    """Complete a claim with the outcome of its attempt."""

    op: Literal["end"]
    key: str
    attempt: int
    status: int
    headers: dict[str, str]
    body: str | None


ClaimOp = AcquireOp | ReleaseOp | CompleteOp


class Result(NamedTuple):
    """Hold whether an operation was applied, and the key's claim after it.

    The claim is None if the key has none, for an `AcquireOp` because the
    shard is full.
    """

    applied: bool
    claim: Claim | None


class ShardCodec:
    """Convert a claim shard to and from JSON."""

    def decode(self, value: bytes | None) -> ClaimShard:
        """Decode a shard; None gives an empty one.

        :raises MalformedClaimsError: if the value is not a claim shard
        """
        if value is None:
            return {"commits": [], "claims": {}}
        try:
            return decoding.decode(value, ClaimShard)
        except msgspec.DecodeError as err:
            raise MalformedClaimsError(str(err)) from err

    def encode(self, document: ClaimShard) -> bytes:
        """Encode a shard."""
        return msgspec.json.encode(document)

    def contains(self, document: ClaimShard, commit_id: str) -> bool:
        """Return whether the shard contains a commit."""
        return commit_id in document["commits"]


class MalformedClaimsError(errors.RequestError):
    """Report a stored claim shard that can't be decoded."""

    code = "malformed_claims"
    status = 503


def apply_ops(
    shard: ClaimShard, ops: list[ClaimOp], commit_id: str, now: float
) -> list[Result]:
    """Apply operations in order and add the commit's id to the shard.

    :param now: time in seconds since the epoch
    """
    _expire(shard, now, CLAIM_RETENTION_S, ("claimed", "not_run", "ended"))
    size = len(msgspec.json.encode(shard))
    if size > MAX_SHARD_BYTES // 2:
        _expire(shard, now, MIN_CLAIM_RETENTION_S, ("not_run", "ended"))
        size = len(msgspec.json.encode(shard))
    results: list[Result] = []
    for op in ops:
        has_room = size < MAX_SHARD_BYTES
        result = _APPLIERS[op["op"]](shard, op, has_room, now)
        if result.applied and result.claim is not None:
            size += len(msgspec.json.encode(result.claim)) + len(op["key"])
        results.append(result)
    shard["commits"].append(commit_id)
    del shard["commits"][:-MAX_COMMIT_IDS]
    return results


def encode_body(body: bytes | None) -> str | None:
    """Return an answer body in the form stored in a claim."""
    return None if body is None else base64.b64encode(body).decode()


def decode_body(body: str) -> bytes:
    """Return the bytes of an answer body stored in a claim."""
    return base64.b64decode(body)


def _apply_acquire(
    shard: ClaimShard, op: AcquireOp, has_room: bool, now: float
) -> Result:
    existing = shard["claims"].get(op["key"])
    if existing is not None and not _may_acquire(existing, op):
        return Result(False, existing)
    if existing is None and not has_room:
        return Result(False, None)
    claim: Claim = {
        "request": op["request"],
        "fingerprint": op["fingerprint"],
        "phase": "claimed",
        "attempt": existing["attempt"] + 1 if existing else 1,
        "session": op["session"],
        "place": op["place"],
        "at": now,
        "status": 0,
        "headers": {},
        "body": None,
    }
    shard["claims"][op["key"]] = claim
    return Result(True, claim)


def _may_acquire(claim: Claim, op: AcquireOp) -> bool:
    if claim["fingerprint"] != op["fingerprint"]:
        return False
    if claim["phase"] == "not_run":
        return True
    return claim["phase"] == "claimed" and claim["attempt"] == op["replaces"]


def _apply_release(
    shard: ClaimShard, op: ReleaseOp, has_room: bool, now: float
) -> Result:
    claim = _find_open_claim(shard, op["key"], op["attempt"])
    if claim is None:
        return Result(False, shard["claims"].get(op["key"]))
    claim["phase"] = "not_run"
    return Result(True, claim)


def _apply_complete(
    shard: ClaimShard, op: CompleteOp, has_room: bool, now: float
) -> Result:
    claim = _find_open_claim(shard, op["key"], op["attempt"])
    if claim is None:
        return Result(False, shard["claims"].get(op["key"]))
    claim["phase"] = "ended"
    claim["status"] = op["status"]
    claim["headers"] = op["headers"]
    claim["body"] = op["body"] if has_room else None
    return Result(True, claim)


def _find_open_claim(
    shard: ClaimShard, key: str, attempt: int
) -> Claim | None:
    claim = shard["claims"].get(key)
    if claim is None or claim["attempt"] != attempt:
        return None
    return claim if claim["phase"] == "claimed" else None


def _expire(
    shard: ClaimShard,
    now: float,
    retention_s: float,
    phases: tuple[ClaimPhase, ...],
) -> None:
    expired = [
        key
        for key, claim in shard["claims"].items()
        if now - claim["at"] > retention_s and claim["phase"] in phases
    ]
    for key in expired:
        del shard["claims"][key]


_APPLIERS: dict[str, Callable[[ClaimShard, Any, bool, float], Result]] = {
    "take": _apply_acquire,
    "drop": _apply_release,
    "end": _apply_complete,
}

__all__ = (
    "CLAIM_RETENTION_S",
    "CLAIM_SHARDS",
    "MAX_RECORDED_BYTES",
    "MIN_CLAIM_RETENTION_S",
    "AcquireOp",
    "Claim",
    "ClaimOp",
    "ClaimShard",
    "CompleteOp",
    "ReleaseOp",
    "Result",
    "RunLocation",
    "ShardCodec",
    "apply_ops",
    "decode_body",
    "encode_body",
)
