"""Stand-in of the key-value service, the JSON form of etcd's v3 API."""

from __future__ import annotations

import asyncio
import collections
import time
from typing import Any
from typing import NamedTuple

import msgspec
from tornado import iostream

from cyclamenwing.standin import faults
from cyclamenwing.standin import faulty
from cyclamenwing.standin import keyvalue
from cyclamenwing.standin import memory
from cyclamenwing.standin import rates
from cyclamenwing.transport import server

API = "/v3/"
EXPIRY_INTERVAL_S = 0.2


class RateLimits(NamedTuple):
    """Limit calls a second, a new watch counting as a read."""

    reads_per_s: float | None = None
    writes_per_s: float | None = None


NO_LIMITS = RateLimits()


class StoreState:
    """Hold the data, the faults and the count of calls.

    :param table: faults by call
    :param limits: rate limits
    """

    def __init__(
        self, table: faults.FaultTable, limits: RateLimits = NO_LIMITS
    ) -> None:
        self.data = memory.MemoryData()
        self.table = table
        self.reads = rates.Rate(limits.reads_per_s)
        self.writes = rates.Rate(limits.writes_per_s)
        self.calls: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.open_watches = 0
        self.closing = False
        self.changed = asyncio.Condition()

    def describe(self) -> dict[str, Any]:
        """Return the counts of calls and waiting watches."""
        return {
            "calls": self.calls,
            "refused": self.refused,
            "waiting": self.open_watches,
        }

    async def announce(self) -> None:
        """Wake the waiting watches."""
        async with self.changed:
            self.changed.notify_all()

    def admit(self, call: str) -> bool:
        """Tell whether a call is within its rate."""
        rate = self.writes if call in keyvalue.WRITES else self.reads
        if rate.admit(time.monotonic()):
            return True
        self.refused[call] += 1
        return False


class StoreHandler(faulty.FaultyHandler):
    """Serve one call of the key-value API."""

    def initialize(self, state: StoreState) -> None:
        """Take the shared state."""
        self.state = state
        self.table = state.table

    async def prepare(self) -> None:
        """Count the call, whatever comes of it."""
        self.state.calls[self.request.path.removeprefix(API)] += 1
        await super().prepare()

    def on_connection_close(self) -> None:
        """End the watch of a client that has gone."""
        super().on_connection_close()
        asyncio.get_running_loop().create_task(self.state.announce())

    async def post(self, call: str) -> None:
        """Apply a call, or the fault that the table sets for it."""
        if not self.state.admit(call):
            self._refuse(429, 8, "etcdserver: too many requests")
            return
        try:
            body = self.decode_body(dict[str, Any])
            await _SERVE.get(call, StoreHandler.apply)(self, call, body)
        except ValueError as err:
            self._refuse(400, 3, str(err))
        except iostream.StreamClosedError:
            return

    async def apply(self, call: str, body: dict[str, Any]) -> None:
        """Apply a call and answer."""
        reply = keyvalue.apply_call(self.state.data, call, body)
        await self.state.announce()
        await self.answer(reply)

    async def watch(self, call: str, body: dict[str, Any]) -> None:
        """Send a range's changes until the client goes."""
        create = body.get("create_request", {})
        sent = int(create.get("start_revision", "0")) - 1
        try:
            low, high = keyvalue.read_range(create)
        except (KeyError, TypeError) as err:
            raise ValueError(f"create_request: {err}") from err
        self.state.open_watches += 1
        try:
            await self._send({"result": {"created": True}})
            await self._spoil_watch()
            while not self.state.closing and not self.gone.is_set():
                events = keyvalue.list_events(self.state.data, low, high, sent)
                sent = max(sent, self.state.data.revision)
                if events:
                    await self._send({"result": {"events": events}})
                async with self.state.changed:
                    await self.state.changed.wait()
        finally:
            self.state.open_watches -= 1

    async def _spoil_watch(self) -> None:
        kind = self.fault["kind"] if self.fault is not None else "slow"
        if kind == "silent":
            await self.gone.wait()
        elif kind == "garbage":
            self.write(faulty.GARBAGE + b"\n")
            await self.flush()
        elif kind != "slow":
            self.cut()
            self.gone.set()

    async def _send(self, message: object) -> None:
        self.write(msgspec.json.encode(message) + b"\n")
        await self.flush()

    def _refuse(self, status: int, code: int, message: str) -> None:
        self.set_status(status)
        self.write_json({"code": code, "message": message})


class StoreStandin:
    """Serve the key-value API on one address.

    :param address: ``ip:port`` to bind
    :param table: faults by call
    :param limits: rate limits
    """

    def __init__(
        self,
        address: str,
        table: faults.FaultTable | None = None,
        limits: RateLimits = NO_LIMITS,
    ) -> None:
        self.state = StoreState(table or faults.FaultTable(), limits)
        options = {"state": self.state}
        self._listener = server.Listener(
            server.make_application([
                (r"/v3/(kv/range|kv/txn)", StoreHandler, options),
                (r"/v3/(lease/grant|lease/keepalive)", StoreHandler, options),
                (r"/v3/(watch)", StoreHandler, options),
                (r"/faults", faulty.FaultHandler, options),
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


_SERVE = {"watch": StoreHandler.watch}

__all__ = (
    "RateLimits",
    "StoreStandin",
    "StoreState",
)
