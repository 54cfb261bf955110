"""Stand-in of the key-value service, the JSON form of etcd's v3 API."""

from __future__ import annotations

import asyncio
import base64
import collections
import time
from typing import Any

import msgspec
from tornado import iostream

from cyclamenwing.standin import faults
from cyclamenwing.standin import memory
from cyclamenwing.transport import server

EXPIRY_INTERVAL_S = 0.2


class StoreState:
    """Hold the data, the faults and the count of calls.

    :param table: faults by call
    """

    def __init__(self, table: faults.FaultTable) -> None:
        self.data = memory.MemoryData()
        self.table = table
        self.calls: collections.Counter[str] = collections.Counter()
        self.waiting = 0
        self.closing = False
        self.changed = asyncio.Condition()

    async def announce(self) -> None:
        """Wake the waiting watches."""
        async with self.changed:
            self.changed.notify_all()


class StoreHandler(server.CodedHandler):
    """Serve one call of the key-value API."""

    def initialize(self, state: StoreState) -> None:
        """Take the shared state."""
        self._state = state
        self._gone = False

    def on_connection_close(self) -> None:
        """End the watch of a client that has gone."""
        self._gone = True
        asyncio.get_running_loop().create_task(self._state.announce())

    async def post(self, call: str) -> None:
        """Apply a call, or the fault that the table sets for it."""
        self._state.calls[call] += 1
        fault = self._state.table.match(call)
        await self._state.table.delay(fault)
        if fault is not None and fault["kind"] == "down":
            self.set_status(503)
            self.write_json({"code": 14, "message": "unavailable"})
            return
        body = self.decode_body(dict[str, Any])
        if call == "watch":
            await self._watch(body)
            return
        reply = _CALLS[call](self._state, body)
        await self._state.announce()
        if fault is not None and fault["kind"] == "lost_answer":
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.write_json(reply)

    async def _watch(self, body: dict[str, Any]) -> None:
        create = body["create_request"]
        start = int(create.get("start_revision", "0"))
        low, high = _read_range(create)
        sent = start - 1
        self._state.waiting += 1
        try:
            await self._send({"result": {"created": True}})
            while not self._state.closing and not self._gone:
                events = [
                    _write_event(change)
                    for change in self._state.data.changes
                    if change.revision > sent and low <= change.key < high
                ]
                sent = max(sent, self._state.data.revision)
                if events:
                    await self._send({"result": {"events": events}})
                async with self._state.changed:
                    await self._state.changed.wait()
        except iostream.StreamClosedError:
            return
        finally:
            self._state.waiting -= 1

    async def _send(self, message: object) -> None:
        self.write(msgspec.json.encode(message) + b"\n")
        await self.flush()


class FaultHandler(server.CodedHandler):
    """Let a test replace the fault table and read the call counts."""

    def initialize(self, state: StoreState) -> None:
        """Take the shared state."""
        self._state = state

    async def post(self) -> None:
        """Replace the faults."""
        self._state.table.faults = self.decode_body(list[faults.Fault])
        self.write_json({"faults": len(self._state.table.faults)})

    async def get(self) -> None:
        """Return the counts of calls and waiting watches."""
        self.write_json({
            "calls": self._state.calls,
            "waiting": self._state.waiting,
        })


class StoreStandin:
    """Serve the key-value API on one address.

    :param address: ``ip:port`` to bind
    :param table: faults by call
    """

    def __init__(
        self, address: str, table: faults.FaultTable | None = None
    ) -> None:
        self.state = StoreState(table or faults.FaultTable())
        options = {"state": self.state}
        self._listener = server.Listener(
            server.make_application([
                (r"/v3/(kv/range|kv/txn)", StoreHandler, options),
                (r"/v3/(lease/grant|lease/keepalive)", StoreHandler, options),
                (r"/v3/(watch)", StoreHandler, options),
                (r"/faults", FaultHandler, options),
            ]),
            address,
        )
        self.address = self._listener.address
        self._expiry = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop serving."""
        self._expiry.cancel()
        self.state.closing = True
        await self.state.announce()
        await self._listener.close()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            before = self.state.data.revision
            self.state.data.expire_leases(time.monotonic())
            if self.state.data.revision != before:
                await self.state.announce()


def _read_range(body: dict[str, Any]) -> tuple[str, str]:
    low = base64.b64decode(body["key"]).decode()
    end = base64.b64decode(body.get("range_end", "")).decode()
    return low, end or low + "\0"


def _apply_range(state: StoreState, body: dict[str, Any]) -> object:
    low, high = _read_range(body)
    found = sorted(
        (key, record)
        for key, record in state.data.records.items()
        if low <= key < high
    )
    return {
        "header": {"revision": str(state.data.revision)},
        "kvs": [_write_kv(key, rec.value, rec.revision) for key, rec in found],
        "count": str(len(found)),
    }


def _apply_txn(state: StoreState, body: dict[str, Any]) -> object:
    compare = body["compare"][0]
    action = body["success"][0]
    put = action.get("requestPut")
    key = base64.b64decode(compare["key"]).decode()
    value = base64.b64decode(put["value"]) if put else None
    lease = int(put.get("lease", "0")) if put else 0
    written = state.data.swap(key, int(compare["modRevision"]), value, lease)
    return {
        "header": {"revision": str(state.data.revision)},
        "succeeded": written is not None,
    }


def _apply_lease_grant(state: StoreState, body: dict[str, Any]) -> object:
    ttl_s = int(body["TTL"])
    lease = state.data.grant_lease(ttl_s, time.monotonic())
    return {"ID": str(lease), "TTL": str(ttl_s)}


def _apply_keepalive(state: StoreState, body: dict[str, Any]) -> object:
    ttl_s = state.data.keep_lease(int(body["ID"]), time.monotonic())
    result = {"ID": body["ID"]}
    if ttl_s:
        result["TTL"] = str(int(ttl_s))
    return {"result": result}


def _write_kv(key: str, value: bytes, revision: int) -> dict[str, str]:
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(value).decode(),
        "mod_revision": str(revision),
    }


def _write_event(change: memory.Change) -> dict[str, Any]:
    event: dict[str, Any] = {
        "kv": _write_kv(change.key, change.value, change.revision)
    }
    if change.deleted:
        event["type"] = "DELETE"
    return event


_CALLS = {
    "kv/range": _apply_range,
    "kv/txn": _apply_txn,
    "lease/grant": _apply_lease_grant,
    "lease/keepalive": _apply_keepalive,
}

__all__ = (
    "StoreStandin",
    "StoreState",
)
