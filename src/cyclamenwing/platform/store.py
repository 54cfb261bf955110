"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
import urllib.parse
from collections.abc import Sequence
from typing import TypeVar

import msgspec

from cyclamenwing import decoding
from cyclamenwing.store import errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import h1
from cyclamenwing.transport import pooled_client

CALL_TIMEOUT_S = 1.0
# Time after the end of a watch's own wait by which its answer must arrive;
# a later one counts as lost.
WATCH_GRACE_S = 1.0
# Time for the body of an answer after its head: configurations with thousands
# of routes take seconds on slow links.
BODY_TIMEOUT_S = 5.0
MS_PER_S = 1000
ERA_HEADER = b"store-era"

T = TypeVar("T")


class Item(msgspec.Struct):
    """Hold a key as it is on the wire, or its removal."""

    key: str
    # Standard base64; absent if `deleted`.
    value: str = ""
    # Revision of the last change, or of the removal if `deleted`.
    revision: int = 0
    deleted: bool = False


class RangeReply(msgspec.Struct):
    """Hold one page of the reply to a read of a prefix."""

    items: list[Item]
    # Revision of the store, not of an item.
    at_rev: int
    has_more: bool = False


class WatchReply(msgspec.Struct):
    """Hold the reply to a watch; the next one continues after `at_rev`."""

    events: list[Item]
    at_rev: int


class TxnReply(msgspec.Struct):
    """Hold the reply to a transaction.

    It has the revision after a commit, the current items after a conflict.
    """

    revision: int = 0
    items: list[Item] = []


class KeyValueStore:
    """Implement `protocol.TransactionStore` on the platform's HTTP API.

    :param address: ``ip:port`` of the store
    """

    def __init__(self, http: pooled_client.PooledClient, address: str) -> None:
        self._caller = http
        self._address = address

    async def read(
        self, prefix: str, stale: bool = False
    ) -> protocol.Snapshot:
        """Return the entries of all keys that start with a prefix.

        :param stale: the entries may be some seconds old
        """
        entries: list[protocol.Entry] = []
        after = ""
        revision = 0
        first_era: int | None = None
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            if stale:
                query["allow_stale"] = "1"
            status, body, era = await self._call("GET", "kv-range", query)
            reply = _decode(status, body, RangeReply)
            if first_era not in {None, era}:
                raise errors.StoreUnavailableError(
                    f"the era changed while {prefix} was read"
                )
            first_era = era
            # The pages may be of different revisions. Following changes from
            # the first page's revision repeats some, but misses none.
            revision = revision or reply.at_rev
            entries += [_read_entry(item) for item in reply.items]
            if not reply.has_more or not reply.items:
                return protocol.Snapshot(entries, revision, era=era)
            after = reply.items[-1].key

    async def follow(
        self, prefix: str, revision: int, wait_s: float
    ) -> protocol.Changes:
        """Wait up to `wait_s` seconds for changes after a revision."""
        query = {
            "prefix": prefix,
            "after": str(revision),
            "wait_ms": str(int(wait_s * MS_PER_S)),
        }
        status, body, era = await self._call(
            "GET", "kv-watch", query, timeout_s=wait_s + WATCH_GRACE_S
        )
        if status == 410:
            raise errors.StoreHistoryLostError(
                f"{prefix} has no history after {revision}"
            )
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
            era=era,
        )

    async def commit(
        self,
        expected: Sequence[tuple[str, int]],
        writes: Sequence[tuple[str, bytes]],
    ) -> protocol.Committed | protocol.Conflict:
        """Write keys atomically if all expected revisions match.

        Revision 0 expects that the key is absent.
        """
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
        status, answer, era = await self._call("POST", "kv-txn", {}, body)
        if status == 412:
            reply = _decode(200, answer, TxnReply)
            entries = [
                _read_entry(item)
                for item in reply.items
                if not item.deleted and item.revision
            ]
            return protocol.Conflict(entries, era)
        reply = _decode(status, answer, TxnReply)
        return protocol.Committed(reply.revision, era)

    async def _call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes, int]:
        """Return the status, the body and the era of the answer."""
        target = f"/v1/{name}"
        if query:
            target += "?" + urllib.parse.urlencode(query)
        try:
            head, answer = await self._caller.exchange(
                self._address,
                method,
                target,
                body,
                timeout_s,
                BODY_TIMEOUT_S,
            )
        except transport_errors.ConnectFailedError as err:
            raise errors.StoreUnavailableError(err.message) from err
        except transport_errors.TransportError as err:
            raise errors.StoreAnswerLostError(err.message) from err
        status = head.status
        if status == 429:
            raise errors.StoreBusyError(name)
        if status == 503:
            raise errors.StoreUnavailableError(name)
        if status >= 500:
            raise errors.StoreAnswerLostError(
                f"{name} returned status {status}"
            )
        return status, answer, _read_era(head)


def _read_era(head: h1.ResponseHead) -> int:
    """Return the era of the store's answer, 0 if it names none.

    It is one more than in the header, which may begin at 0.
    """
    value = h1.find_header(head.headers, ERA_HEADER)
    return int(value) + 1 if value and value.isdigit() else 0


def _decode(status: int, body: bytes, kind: type[T]) -> T:
    if status != 200:
        raise errors.StoreRefusedError(
            f"{status} returned by the store: {body[:200]!r}"
        )
    try:
        return decoding.decode(body, kind)
    except msgspec.DecodeError as err:
        raise errors.StoreMalformedError(str(err)) from err


def _read_entry(item: Item) -> protocol.Entry:
    return protocol.Entry(item.key, _read_value(item), item.revision)


def _read_value(item: Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as err:
        raise errors.StoreMalformedError(
            f"{item.key} has an invalid value: {err}"
        ) from err


__all__ = ("KeyValueStore",)
