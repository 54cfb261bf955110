"""Calls of the key-value API, applied to in-memory data."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable
from typing import Any

from cyclamenwing.standin import memory
from cyclamenwing.store import protocol

WRITES = frozenset(("kv/txn", "lease/grant", "lease/keepalive"))


class ValueTooLargeError(ValueError):
    """Raised for a value that exceeds the service's size limit."""


def apply_call(
    data: memory.MemoryData, call: str, body: dict[str, Any]
) -> object:
    """Apply a call and return its reply.

    :raises ValueError: if the body is malformed or a value is too large
    """
    try:
        return _CALLS[call](data, body)
    except (KeyError, IndexError, TypeError, AttributeError) as err:
        raise ValueError(f"{type(err).__name__}: {err}") from err


def read_range(body: dict[str, Any]) -> tuple[str, str]:
    """Return a range's first key and the key after its last one."""
    low = base64.b64decode(body["key"]).decode()
    end = base64.b64decode(body.get("range_end", "")).decode()
    return low, end or low + "\0"


def list_events(
    data: memory.MemoryData, low: str, high: str, after: int
) -> list[dict[str, Any]]:
    """Return the watch events of a range after a revision."""
    return [
        _encode_event(change)
        for change in data.changes
        if change.revision > after and low <= change.key < high
    ]


def _apply_range(data: memory.MemoryData, body: dict[str, Any]) -> object:
    low, high = read_range(body)
    matches = sorted(
        (key, record)
        for key, record in data.records.items()
        if low <= key < high
    )
    return {
        "header": {"revision": str(data.revision)},
        "kvs": [
            _encode_kv(key, record.value, record.revision)
            for key, record in matches
        ],
        "count": str(len(matches)),
    }


def _apply_txn(data: memory.MemoryData, body: dict[str, Any]) -> object:
    compare = body["compare"][0]
    put = body["success"][0].get("requestPut")
    key = base64.b64decode(compare["key"]).decode()
    value = base64.b64decode(put["value"]) if put else None
    if value is not None and len(value) > protocol.MAX_VALUE_BYTES:
        raise ValueTooLargeError("etcdserver: request is too large")
    lease = int(put.get("lease", "0")) if put else 0
    written = data.swap(key, int(compare["modRevision"]), value, lease)
    return {
        "header": {"revision": str(data.revision)},
        "succeeded": written is not None,
    }


def _apply_grant(data: memory.MemoryData, body: dict[str, Any]) -> object:
    ttl_s = int(body["TTL"])
    lease = data.grant_lease(ttl_s, time.monotonic())
    return {"ID": str(lease), "TTL": str(ttl_s)}


def _apply_keepalive(data: memory.MemoryData, body: dict[str, Any]) -> object:
    ttl_s = data.renew_lease(int(body["ID"]), time.monotonic())
    result = {"ID": body["ID"]}
    if ttl_s:
        result["TTL"] = str(int(ttl_s))
    return {"result": result}


def _encode_kv(key: str, value: bytes, revision: int) -> dict[str, str]:
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(value).decode(),
        "mod_revision": str(revision),
    }


def _encode_event(change: memory.Change) -> dict[str, Any]:
    event: dict[str, Any] = {
        "kv": _encode_kv(change.key, change.value, change.revision)
    }
    if change.deleted:
        event["type"] = "DELETE"
    return event


_CALLS: dict[str, Callable[[memory.MemoryData, dict[str, Any]], object]] = {
    "kv/range": _apply_range,
    "kv/txn": _apply_txn,
    "lease/grant": _apply_grant,
    "lease/keepalive": _apply_keepalive,
}

__all__ = (
    "WRITES",
    "ValueTooLargeError",
    "apply_call",
    "list_events",
    "read_range",
)
