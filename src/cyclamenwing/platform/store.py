"""The platform's metadata store as the product's journal."""

from __future__ import annotations

import base64
import binascii
import urllib.parse
from collections.abc import Sequence
from typing import TypeVar

import msgspec

from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import caller
from cyclamenwing.transport import errors as transport_errors

CALL_TIMEOUT_S = 1.0
# A watch that is not answered this long after its own wait has gone silent.
WATCH_SLACK_S = 1.0
MS_PER_S = 1000

T = TypeVar("T")


class Item(msgspec.Struct):
    """Hold a key as the store sends it, or its removal."""

    key: str
    # Standard base64; absent where `deleted`.
    value: str = ""
    # Revision of the last change, of the removal where `deleted`.
    revision: int = 0
    deleted: bool = False


class RangeReply(msgspec.Struct):
    """Answer a read of a prefix."""

    items: list[Item]
    # The store's revision, not that of an item.
    at_rev: int
    has_more: bool = False


class WatchReply(msgspec.Struct):
    """Answer a watch; the next one continues after `at_rev`."""

    events: list[Item]
    at_rev: int


class TxnReply(msgspec.Struct):
    """Answer a transaction: its revision, or the items as they are."""

    revision: int = 0
    items: list[Item] = []


class KeyValueStore:
    """Speak the platform's key-value form.

    :param address: ``ip:port`` of the store
    """

    def __init__(self, http: caller.Caller, address: str) -> None:
        self._caller = http
        self._address = address

    async def read(self, prefix: str) -> protocol.Snapshot:
        """Read all keys below a prefix."""
        entries: list[protocol.Entry] = []
        after = ""
        revision = 0
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            status, body = await self._call("GET", "kv-range", query)
            reply = _decode(status, body, RangeReply)
            # Pages are no snapshot: changes after the first are seen again.
            revision = revision or reply.at_rev
            entries += [_read_entry(item) for item in reply.items]
            if not reply.has_more or not reply.items:
                return protocol.Snapshot(entries, revision)
            after = reply.items[-1].key

    async def follow(
        self, prefix: str, revision: int, wait_s: float
    ) -> protocol.Changes:
        """Wait for changes after a revision."""
        query = {
            "prefix": prefix,
            "after": str(revision),
            "wait_ms": str(int(wait_s * MS_PER_S)),
        }
        status, body = await self._call(
            "GET", "kv-watch", query, timeout_s=wait_s + WATCH_SLACK_S
        )
        if status == 410:
            raise errors.StoreHistoryLostError(f"{prefix} after {revision}")
        reply = _decode(status, body, WatchReply)
        return protocol.Changes(
            [
                protocol.Change(
                    item.key,
                    None if item.deleted else _read_value(item),
                    item.revision,
                )
                for item in reply.events
            ],
            reply.at_rev,
        )

    async def commit(
        self,
        expected: Sequence[tuple[str, int]],
        writes: Sequence[tuple[str, bytes]],
    ) -> protocol.Committed | protocol.Conflict:
        """Write keys at once if all expected revisions hold; 0 is absent."""
        body = msgspec.json.encode({
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in expected
            ],
            "replace": [
                {"key": key, "value": base64.b64encode(value).decode()}
                for key, value in writes
            ],
            "remove": [],
        })
        status, answer = await self._call("POST", "kv-txn", {}, body)
        if status == 412:
            reply = _decode(200, answer, TxnReply)
            return protocol.Conflict([
                _read_entry(item)
                for item in reply.items
                if not item.deleted and item.revision
            ])
        reply = _decode(status, answer, TxnReply)
        return protocol.Committed(reply.revision)

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        target = f"/v1/{name}"
        if query:
            target += "?" + urllib.parse.urlencode(query)
        try:
            status, answer = await self._caller.call(
                self._address, method, target, body, timeout_s
            )
        except transport_errors.ConnectFailedError as err:
            raise errors.StoreUnavailableError(err.message) from err
        except transport_errors.TransportError as err:
            raise errors.StoreAnswerLostError(err.message) from err
        if status == 429:
            raise errors.StoreBusyError(name)
        if status == 503:
            raise errors.StoreUnavailableError(name)
        if status >= 500:
            raise errors.StoreAnswerLostError(f"{name}: {status}")
        return status, answer


def _decode(status: int, body: bytes, kind: type[T]) -> T:
    if status != 200:
        raise errors.StoreRefusedError(f"{status}: {body[:200]!r}")
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as err:
        raise errors.StoreMalformedError(str(err)) from err


def _read_entry(item: Item) -> protocol.Entry:
    return protocol.Entry(item.key, _read_value(item), item.revision)


def _read_value(item: Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as err:
        raise errors.StoreMalformedError(f"{item.key}: {err}") from err


__all__ = ("KeyValueStore",)
