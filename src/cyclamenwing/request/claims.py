"""Durable claims of requests that may run at most once."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any
from typing import Literal
from typing import NamedTuple
from typing import TypedDict

import msgspec

from cyclamenwing.request import errors
from cyclamenwing.store import protocol

CLAIM_SHARDS = 64
CLAIM_RETENTION_S = 24 * 3_600.0
MIN_RETENTION_S = 3_600.0
MAX_COMMIT_IDS = 64
MAX_SHARD_BYTES = protocol.MAX_VALUE_BYTES - 100_000
MAX_RECORDED_BYTES = 4_096

ClaimPhase = Literal["claimed", "not_run", "ended"]


class RunLocation(TypedDict):
    """Name the sidecar incarnation that may run a claimed request."""

    host: str
    address: str
    incarnation: str


class Claim(TypedDict):
    """Hold a key's claim, and its outcome once it ended.

    `attempt` grows with each place; `body` is base64, None when the
    answer was too large to keep; `at` is in seconds since the epoch.
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
    """Hold one shard of claims, the value of one key."""

    commits: list[str]
    claims: dict[str, Claim]


class AcquireOp(TypedDict):
    """Claim a key for a place.

    `replaces` is the attempt that is known not to have run; 0 takes a
    key that has none.
    """

    op: Literal["take"]
    key: str
    request: str
    fingerprint: str
    session: str
    place: RunLocation
    replaces: int


class ReleaseOp(TypedDict):
    """Record that an attempt did not run."""

    op: Literal["drop"]
    key: str
    attempt: int


class CompleteOp(TypedDict):
    """Record the outcome of an attempt."""

    op: Literal["end"]
    key: str
    attempt: int
    status: int
    headers: dict[str, str]
    body: str | None


ClaimOp = AcquireOp | ReleaseOp | CompleteOp


class Result(NamedTuple):
    """Tell whether an operation took effect, and the claim as it is.

    No claim means that the shard had no room for one.
    """

    applied: bool
    claim: Claim | None


class ShardCodec:
    """Convert a claim shard to and from JSON."""

    def decode(self, value: bytes | None) -> ClaimShard:
        """Read a shard; raise `MalformedClaimsError` on a wrong one."""
        if value is None:
            return {"commits": [], "claims": {}}
        try:
            return msgspec.json.decode(value, type=ClaimShard)
        except (msgspec.ValidationError, msgspec.DecodeError) as err:
            raise MalformedClaimsError(str(err)) from err

    def encode(self, document: ClaimShard) -> bytes:
        """Write a shard."""
        return msgspec.json.encode(document)

    def contains(self, document: ClaimShard, commit_id: str) -> bool:
        """Tell whether the shard holds a commit."""
        return commit_id in document["commits"]


class MalformedClaimsError(errors.RequestError):
    """Report a claim shard that can't be read."""

    code = "malformed_claims"
    status = 503


def apply_ops(
    shard: ClaimShard, ops: list[ClaimOp], commit_id: str, now: float
) -> list[Result]:
    """Apply operations in order and record the commit."""
    _expire(shard, now, CLAIM_RETENTION_S, ("claimed", "not_run", "ended"))
    size = len(msgspec.json.encode(shard))
    if size > MAX_SHARD_BYTES // 2:
        _expire(shard, now, MIN_RETENTION_S, ("not_run", "ended"))
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
    """Return an answer as a claim keeps it."""
    return None if body is None else base64.b64encode(body).decode()


def decode_body(body: str) -> bytes:
    """Return the bytes of a kept answer."""
    return base64.b64decode(body)


def _apply_take(
    shard: ClaimShard, op: AcquireOp, has_room: bool, now: float
) -> Result:
    found = shard["claims"].get(op["key"])
    if found is not None and not _may_take(found, op):
        return Result(False, found)
    if found is None and not has_room:
        return Result(False, None)
    made: Claim = {
        "request": op["request"],
        "fingerprint": op["fingerprint"],
        "phase": "claimed",
        "attempt": found["attempt"] + 1 if found else 1,
        "session": op["session"],
        "place": op["place"],
        "at": now,
        "status": 0,
        "headers": {},
        "body": None,
    }
    shard["claims"][op["key"]] = made
    return Result(True, made)


def _may_take(found: Claim, op: AcquireOp) -> bool:
    if found["fingerprint"] != op["fingerprint"]:
        return False
    if found["phase"] == "not_run":
        return True
    return found["phase"] == "claimed" and found["attempt"] == op["replaces"]


def _apply_drop(
    shard: ClaimShard, op: ReleaseOp, has_room: bool, now: float
) -> Result:
    found = _find_open(shard, op["key"], op["attempt"])
    if found is None:
        return Result(False, shard["claims"].get(op["key"]))
    found["phase"] = "not_run"
    return Result(True, found)


def _apply_end(
    shard: ClaimShard, op: CompleteOp, has_room: bool, now: float
) -> Result:
    found = _find_open(shard, op["key"], op["attempt"])
    if found is None:
        return Result(False, shard["claims"].get(op["key"]))
    found["phase"] = "ended"
    found["status"] = op["status"]
    found["headers"] = op["headers"]
    found["body"] = op["body"] if has_room else None
    return Result(True, found)


def _find_open(shard: ClaimShard, key: str, attempt: int) -> Claim | None:
    found = shard["claims"].get(key)
    if found is None or found["attempt"] != attempt:
        return None
    return found if found["phase"] == "claimed" else None


def _expire(
    shard: ClaimShard,
    now: float,
    retention_s: float,
    phases: tuple[ClaimPhase, ...],
) -> None:
    stale = [
        key
        for key, claim in shard["claims"].items()
        if now - claim["at"] > retention_s and claim["phase"] in phases
    ]
    for key in stale:
        del shard["claims"][key]


_APPLIERS: dict[str, Callable[[ClaimShard, Any, bool, float], Result]] = {
    "take": _apply_take,
    "drop": _apply_drop,
    "end": _apply_end,
}

__all__ = (
    "CLAIM_RETENTION_S",
    "CLAIM_SHARDS",
    "MAX_RECORDED_BYTES",
    "MIN_RETENTION_S",
    "Claim",
    "ClaimOp",
    "ClaimShard",
    "ReleaseOp",
    "CompleteOp",
    "RunLocation",
    "Result",
    "ShardCodec",
    "AcquireOp",
    "apply_ops",
    "decode_body",
    "encode_body",
)
