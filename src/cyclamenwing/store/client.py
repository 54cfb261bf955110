"""Client of the key-value service by the JSON form of etcd's v3 API."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from typing import Any
from typing import TypedDict
from typing import TypeVar

import msgspec

from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import client
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

CALL_TIMEOUT_S = 2.0
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
WATCH_SILENCE_S = 30.0

T = TypeVar("T")


class KeyValue(TypedDict, total=False):
    """Hold a key as the service sends it; integers travel as strings."""

    key: str
    value: str
    mod_revision: str
    lease: str


class RangeReply(TypedDict, total=False):
    """Answer a range call."""

    kvs: list[KeyValue]


class Header(TypedDict, total=False):
    """Carry the service's revision."""

    revision: str


class TxnReply(TypedDict, total=False):
    """Answer a transaction."""

    header: Header
    succeeded: bool


class LeaseReply(TypedDict, total=False):
    """Answer a lease call."""

    ID: str
    TTL: str


class KeepAliveReply(TypedDict, total=False):
    """Answer a renewal."""

    result: LeaseReply


class Event(TypedDict, total=False):
    """Hold one change; an absent type is a write."""

    type: str
    kv: KeyValue


class WatchResult(TypedDict, total=False):
    """Hold the changes of one message of a watch."""

    events: list[Event]
    canceled: bool


class WatchReply(TypedDict, total=False):
    """Wrap one message of a watch."""

    result: WatchResult


class StoreClient:
    """Call the key-value service.

    :param http: HTTP client
    :param address: ``ip:port`` of the service
    """

    def __init__(self, http: transport.Client, address: str) -> None:
        self._client = http
        self._base = f"http://{address}/v3"

    async def get(self, key: str) -> protocol.Entry | None:
        """Read one key."""
        found = await self._range({"key": _encode(key.encode())})
        return found[0] if found else None

    async def scan(self, prefix: str) -> list[protocol.Entry]:
        """Read all keys that start with a prefix."""
        return await self._range(_make_range(prefix))

    async def swap(
        self, key: str, revision: int, value: bytes, lease: int = 0
    ) -> int | None:
        """Write a key if its revision matches; 0 means absent."""
        put = {"key": _encode(key.encode()), "value": _encode(value)}
        if lease:
            put["lease"] = str(lease)
        reply = await self._txn(key, revision, {"requestPut": put})
        if not reply.get("succeeded", False):
            return None
        return int(reply["header"]["revision"])

    async def delete(self, key: str, revision: int) -> bool:
        """Delete a key if its revision matches."""
        action = {"requestDeleteRange": {"key": _encode(key.encode())}}
        reply = await self._txn(key, revision, action)
        return reply.get("succeeded", False)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""
        reply = await self._write("lease/grant", {"TTL": ttl_s}, LeaseReply)
        return _read_number(reply.get("ID"))

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; False means that it has lapsed."""
        reply = await self._write(
            "lease/keepalive", {"ID": str(lease)}, KeepAliveReply
        )
        return _read_number(reply.get("result", {}).get("TTL", "0")) > 0

    async def watch(
        self, prefix: str, revision: int
    ) -> AsyncIterator[protocol.Entry]:
        """Yield changes below a prefix that are newer than a revision."""
        create = _make_range(prefix) | {"start_revision": str(revision + 1)}
        stream = self._client.open_stream(
            "POST",
            f"{self._base}/watch",
            {},
            msgspec.json.encode({"create_request": create}),
            WATCH_SILENCE_S,
        )
        rest = b""
        try:
            head = await stream.read_head()
            if head.status != 200:
                raise errors.StoreUnavailableError(
                    f"watch answered {head.status}"
                )
            async for chunk in stream.read_chunks():
                lines = (rest + chunk).split(b"\n")
                rest = lines.pop()
                for line in lines:
                    for entry in _read_events(line):
                        yield entry
        except transport_errors.TransportError as err:
            raise errors.StoreUnavailableError(err.message) from err
        finally:
            stream.close()

    async def _range(self, request: dict[str, str]) -> list[protocol.Entry]:
        reply = await self._read("kv/range", request, RangeReply)
        return [_read_kv(kv) for kv in reply.get("kvs", [])]

    async def _txn(
        self, key: str, revision: int, action: dict[str, Any]
    ) -> TxnReply:
        compare = {
            "key": _encode(key.encode()),
            "target": "MOD",
            "result": "EQUAL",
            "modRevision": str(revision),
        }
        body = {"compare": [compare], "success": [action]}
        reply = await self._write("kv/txn", body, TxnReply)
        if reply.get("succeeded") and "revision" not in reply.get(
            "header", {}
        ):
            raise errors.StoreMalformedError("no revision in the answer")
        return reply

    async def _read(self, path: str, body: object, reply: type[T]) -> T:
        url = f"{self._base}/{path}"
        try:
            return await self._client.call(url, body, reply, CALL_TIMEOUT_S)
        except transport_errors.TransportError as err:
            raise classify_error(err) or errors.StoreUnavailableError(
                err.message
            ) from err

    async def _write(self, path: str, body: object, reply: type[T]) -> T:
        url = f"{self._base}/{path}"
        try:
            # One that the client repeats would hide its first answer's loss.
            return await self._client.call(
                url, body, reply, CALL_TIMEOUT_S, repeatable=False
            )
        except transport_errors.MalformedMessageError as err:
            raise errors.StoreMalformedError(err.message) from err
        except transport_errors.TransportError as err:
            raise classify_error(err) or errors.StoreAnswerLostError(
                err.message
            ) from err


def classify_error(
    error: transport_errors.TransportError,
) -> errors.StoreError | None:
    """Return the error of a call that had no effect, None if it may have.

    The service answers 5xx also when a write was accepted and its outcome
    did not arrive in time.
    """
    if isinstance(error, transport_errors.ConnectFailedError):
        return errors.StoreUnavailableError(error.message)
    if not isinstance(error, transport_errors.PeerRefusedError):
        return None
    if error.http_status == TOO_MANY_REQUESTS:
        return errors.StoreBusyError(error.message)
    if error.http_status < SERVER_ERROR:
        return errors.StoreRefusedError(error.message)
    return None


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _make_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": _encode(start), "range_end": _encode(end)}


def _read_kv(kv: KeyValue) -> protocol.Entry:
    try:
        return protocol.Entry(
            base64.b64decode(kv["key"], validate=True).decode(),
            base64.b64decode(kv.get("value", ""), validate=True),
            int(kv["mod_revision"]),
        )
    except (KeyError, ValueError) as err:
        raise errors.StoreMalformedError(f"key and value: {err}") from err


def _read_number(text: str | None) -> int:
    if text is None or not text.isdecimal():
        raise errors.StoreMalformedError(f"{text!r} is not a number")
    return int(text)


def _read_events(line: bytes) -> list[protocol.Entry]:
    try:
        reply = msgspec.json.decode(line, type=WatchReply)
    except client.MALFORMED as err:
        raise errors.StoreMalformedError(str(err)) from err
    result = reply.get("result", {})
    if result.get("canceled"):
        raise errors.StoreUnavailableError("the service ended the watch")
    try:
        return [_read_kv(event["kv"]) for event in result.get("events", [])]
    except KeyError as err:
        raise errors.StoreMalformedError(f"event without {err}") from err


__all__ = (
    "CALL_TIMEOUT_S",
    "StoreClient",
    "classify_error",
)
