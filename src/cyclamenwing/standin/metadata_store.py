"""In-memory stand-in of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import urllib.parse
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import msgspec

from cyclamenwing import decoding
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_server
from cyclamenwing.transport import pooled_client

PAGE_ITEMS = 50
MAX_TXN_ENTRIES = 32
RESERVED_PREFIXES = ("op/", "servers/")

Answer = tuple[int, Any]


class Copy(NamedTuple):
    """Hold the state of a store at one time."""

    items: dict[str, tuple[bytes, int]]
    history: list[tuple[str, int]]
    revision: int


class MetadataStoreStandin:
    """Serve ranges, watches and transactions, with faults set by tests.

    :ivar era: value of `Store-Era` in all answers
    :ivar error_status: status that answers every call; 0 disables it
    :ivar txn_pause_s: delay before each transaction is applied
    :ivar lose_txn_answers: whether transactions are applied, but the
        connection is closed without an answer
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[tuple[str, int]] = []
        self.revision = 1
        self.era = 0
        self.compacted_revision = 0
        self.error_status = 0
        self.txn_pause_s = 0.0
        self.lose_txn_answers = False
        self.calls: list[str] = []
        self._changed = asyncio.Condition()
        self._server = h1_server.Server(self._handle, h1.Limits)

    def listen(self) -> str:
        """Bind a free port and return the address."""
        return self._server.bind_address("127.0.0.1:0")

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.stop()
        for connection in list(self._server.connections):
            connection.close()

    async def put(self, key: str, value: bytes | None) -> None:
        """Write or delete a key, as another client of the store does."""
        async with self._changed:
            self._write(key, value)
            self._changed.notify_all()

    def compact(self) -> None:
        """Compact the history; watches after an older revision get 410."""
        self.compacted_revision = self.revision

    def copy(self) -> Copy:
        """Return a copy of the present state."""
        return Copy(dict(self.items), list(self.history), self.revision)

    async def restore(self, copy: Copy) -> None:
        """Return to an earlier state; revisions after it are reused."""
        async with self._changed:
            self.items = dict(copy.items)
            self.history = list(copy.history)
            self.revision = copy.revision
            self.compacted_revision = min(
                self.compacted_revision, copy.revision
            )
            self.era += 1
            self._changed.notify_all()

    def _write(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        self.history.append((key, self.revision))
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision)

    async def _handle(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        url = urllib.parse.urlsplit(request.target.decode())
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls.append(url.path)
        if self.error_status:
            await connection.respond(
                self.error_status, self._make_headers(), b""
            )
            return
        call = _CALLS.get(url.path)
        if call is None:
            await connection.respond(404, self._make_headers(), b"")
            return
        status, answer = await call(self, query, request.body)
        if self.lose_txn_answers and url.path == "/v1/kv-txn":
            connection.close()
            return
        body = msgspec.json.encode(answer)
        await connection.respond(status, self._make_headers(), body)

    def _make_headers(self) -> h1.Headers:
        era = str(self.era).encode()
        return (*pooled_client.JSON_HEADERS, (b"Store-Era", era))

    async def _range(self, query: dict[str, str], _: bytes) -> Answer:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return 200, {
            "items": [self._encode_item(key) for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "at_rev": self.revision,
        }

    async def _watch(self, query: dict[str, str], _: bytes) -> Answer:
        after = int(query["after"])
        if after < self.compacted_revision or after > self.revision:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._list_events(query["prefix"], after)
                    )
        return 200, {
            "events": self._list_events(query["prefix"], after),
            "at_rev": self.revision,
        }

    async def _txn(self, _: dict[str, str], body: bytes) -> Answer:
        await asyncio.sleep(self.txn_pause_s)
        txn = decoding.decode(body, dict[str, Any])
        expected, writes = txn["expected"], txn["replace"]
        if len(expected) + len(writes) > MAX_TXN_ENTRIES:
            return 400, {"error": "too many entries"}
        if any(r["key"].startswith(RESERVED_PREFIXES) for r in writes):
            return 403, {"error": "reserved"}
        if any(
            self.items.get(entry["key"], (b"", 0))[1] != entry["revision"]
            for entry in expected
        ):
            current = [
                self._encode_item(entry["key"])
                for entry in expected
                if entry["key"] in self.items
            ]
            return 412, {"items": current}
        async with self._changed:
            self.revision += 1
            for entry in writes:
                value = base64.b64decode(entry["value"], validate=True)
                self.items[entry["key"]] = (value, self.revision)
                self.history.append((entry["key"], self.revision))
            self._changed.notify_all()
        return 200, {"revision": self.revision}

    def _list_events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            self._encode_item(key)
            if key in self.items
            else {"key": key, "revision": revision, "deleted": True}
            for key, revision in self.history
            if revision > after and key.startswith(prefix)
        ]

    def _encode_item(self, key: str) -> dict[str, Any]:
        value, revision = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease": 0,
        }


_CALLS: dict[str, Callable[..., Any]] = {
    "/v1/kv-range": MetadataStoreStandin._range,
    "/v1/kv-watch": MetadataStoreStandin._watch,
    "/v1/kv-txn": MetadataStoreStandin._txn,
}

__all__ = (
    "Copy",
    "MetadataStoreStandin",
)
