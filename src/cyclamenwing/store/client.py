"""Key-value client that speaks the JSON form of etcd's v3 API."""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator
from typing import Any
from typing import TypedDict
from typing import TypeVar

import msgspec

from cyclamenwing import decoding
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

CALL_TIMEOUT_S = 2.0
TOO_MANY_REQUESTS = 429
SERVER_ERROR = 500
WATCH_SILENCE_S = 30.0

T = TypeVar("T")


class KeyValue(TypedDict, total=False):
    """Hold a key as it is on the wire.

    Key and value are base64, integers are decimal strings.
    """

    key: str
    value: str
    mod_revision: str
    lease: str


class RangeReply(TypedDict, total=False):
    """Hold the reply to a range call; no `kvs` means no keys."""

    kvs: list[KeyValue]


class Header(TypedDict, total=False):
    """Hold the store's revision at the time of a reply."""

    revision: str


class TxnReply(TypedDict, total=False):
    """Hold the reply to a transaction; no `succeeded` means a conflict."""

    header: Header
    succeeded: bool


class LeaseReply(TypedDict, total=False):
    """Hold a lease's id and its time to live in seconds."""

    ID: str
    TTL: str


class KeepAliveReply(TypedDict, total=False):
    """Hold the reply to a lease renewal; no TTL means an expired lease."""

    result: LeaseReply


class Event(TypedDict, total=False):
    """Hold one change of a key; no `type` means a write."""

    type: str
    kv: KeyValue


class WatchResult(TypedDict, total=False):
    """Hold the changes in one message of a watch."""

    events: list[Event]
    canceled: bool


class WatchReply(TypedDict, total=False):
    """Hold one message of a watch."""

    result: WatchResult


class StoreClient:
    """Call the key-value store; errors are those of `protocol.Store`.

    :param http: HTTP client
    :param address: ``ip:port`` of the store
    """

    def __init__(self, http: transport.Client, address: str) -> None:
        self._client = http
        self._base = f"http://{address}/v3"

    async def get(self, key: str) -> protocol.Entry | None:
        """Return a key's entry, or None if the key is absent."""
        entries = await self._range({"key": _encode(key.encode())})
        return entries[0] if entries else None

    async def scan(self, prefix: str) -> list[protocol.Entry]:
        """Return the entries of all keys that start with a prefix."""
        return await self._range(_make_range(prefix))

    async def swap(
        self, key: str, revision: int, value: bytes, lease: int = 0
    ) -> int | None:
        """Write a key if its revision matches; 0 means that it is absent.

        :param lease: id of the lease that the key is attached to, 0 for none
        :return: the new revision, or None on a conflict
        """
        put = {"key": _encode(key.encode()), "value": _encode(value)}
        if lease:
            put["lease"] = str(lease)
        reply = await self._txn(key, revision, {"requestPut": put})
        if not reply.get("succeeded", False):
            return None
        return int(reply["header"]["revision"])

    async def delete(self, key: str, revision: int) -> bool:
        """Delete a key if its revision matches; return whether it did."""
        action = {"requestDeleteRange": {"key": _encode(key.encode())}}
        reply = await self._txn(key, revision, action)
        return reply.get("succeeded", False)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease of `ttl_s` seconds and return its id."""
        reply = await self._write("lease/grant", {"TTL": ttl_s}, LeaseReply)
        return _read_number(reply.get("ID"))

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        reply = await self._write(
            "lease/keepalive", {"ID": str(lease)}, KeepAliveReply
        )
        return _read_number(reply.get("result", {}).get("TTL", "0")) > 0

    async def watch(
        self, prefix: str, revision: int
    ) -> AsyncIterator[protocol.Entry]:
        """Yield changes of keys with a prefix after a revision."""
        create = _make_range(prefix) | {"start_revision": str(revision + 1)}
        stream = self._client.open_stream(
            "POST",
            f"{self._base}/watch",
            {},
            msgspec.json.encode({"create_request": create}),
            WATCH_SILENCE_S,
        )
        partial_line = b""
        try:
            head = await stream.read_head()
            if head.status != 200:
                raise errors.StoreUnavailableError(
                    f"watch returned status {head.status}"
                )
            async for chunk in stream.read_chunks():
                lines = (partial_line + chunk).split(b"\n")
                partial_line = lines.pop()
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
            raise errors.StoreMalformedError(
                "transaction reply has no revision"
            )
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
            # If the HTTP client repeated a write after a lost answer, the
            # second answer would hide that the first may have taken effect.
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
    """Return the error of a call without effect, or None if it may have one.

    The store also returns 5xx for a write that it accepted but whose outcome
    it did not learn in time.
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
        raise errors.StoreMalformedError(
            f"malformed key-value pair: {err}"
        ) from err


def _read_number(text: str | None) -> int:
    if text is None or not text.isdecimal():
        raise errors.StoreMalformedError(f"{text!r} is not a decimal number")
    return int(text)


def _read_events(line: bytes) -> list[protocol.Entry]:
    try:
        reply = decoding.decode(line, WatchReply)
    except msgspec.DecodeError as err:
        raise errors.StoreMalformedError(str(err)) from err
    result = reply.get("result", {})
    if result.get("canceled"):
        raise errors.StoreUnavailableError("the store cancelled the watch")
    try:
        return [_read_kv(event["kv"]) for event in result.get("events", [])]
    except KeyError as err:
        raise errors.StoreMalformedError(f"watch event has no {err}") from err


__all__ = (
    "CALL_TIMEOUT_S",
    "StoreClient",
    "classify_error",
)
