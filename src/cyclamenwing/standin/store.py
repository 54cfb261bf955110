"""Stand-in of the key-value service: the JSON gateway of etcd's v3 API."""

from __future__ import annotations

import asyncio
import collections
import time
from typing import Any
from typing import NamedTuple

import msgspec
from tornado import iostream

from cyclamenwing.standin import fault_handlers
from cyclamenwing.standin import faults
from cyclamenwing.standin import keyvalue
from cyclamenwing.standin import memory
from cyclamenwing.standin import rate_limit
from cyclamenwing.transport import server

API_PREFIX = "/v3/"
EXPIRY_INTERVAL_S = 0.2


class RateLimits(NamedTuple):
    """Limit calls per second; None for no limit.

    A new watch counts as a read.
    """

    reads_per_s: float | None = None
    writes_per_s: float | None = None


NO_LIMITS = RateLimits()


class StoreState:
    """Hold the data, the faults and the call counts.

    :param table: faults by call
    :param limits: rate limits
    """

    def __init__(
        self, table: faults.FaultTable, limits: RateLimits = NO_LIMITS
    ) -> None:
        self.data = memory.MemoryData()
        self.table = table
        self.read_limit = rate_limit.RateLimit(limits.reads_per_s)
        self.write_limit = rate_limit.RateLimit(limits.writes_per_s)
        self.calls: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.open_watches = 0
        self.closing = False
        self.data_changed = asyncio.Condition()

    def describe(self) -> dict[str, Any]:
        """Return the counts of calls, refused calls and open watches."""
        return {
            "calls": self.calls,
            "refused": self.refused,
            "waiting": self.open_watches,
        }

    async def notify_watches(self) -> None:
        """Wake the open watches."""
        async with self.data_changed:
            self.data_changed.notify_all()

    def admit(self, call: str) -> bool:
        """Return whether a call is within its rate limit."""
        limit = (
            self.write_limit if call in keyvalue.WRITES else self.read_limit
        )
        if limit.admit(time.monotonic()):
            return True
        self.refused[call] += 1
        return False


class StoreHandler(fault_handlers.FaultyHandler):
    """Serve one call of the key-value API."""

    def initialize(self, state: StoreState) -> None:
        """Store the state that all handlers share."""
        self.state = state
        self.table = state.table

    async def prepare(self) -> None:
        """Count the call, whether it succeeds or not."""
        self.state.calls[self.request.path.removeprefix(API_PREFIX)] += 1
        await super().prepare()

    def on_connection_close(self) -> None:
        """Wake the watches, so that the client's watch ends."""
        super().on_connection_close()
        asyncio.get_running_loop().create_task(self.state.notify_watches())

    async def post(self, call: str) -> None:
        """Apply a call and the fault chosen by the table."""
        if not self.state.admit(call):
            self._send_error(429, 8, "etcdserver: too many requests")
            return
        try:
            body = self.decode_body(dict[str, Any])
            await _CALL_HANDLERS.get(call, StoreHandler.apply)(
                self, call, body
            )
        except ValueError as err:
            self._send_error(400, 3, str(err))
        except iostream.StreamClosedError:
            return

    async def apply(self, call: str, body: dict[str, Any]) -> None:
        """Apply a call, wake the watches and answer."""
        reply = keyvalue.apply_call(self.state.data, call, body)
        await self.state.notify_watches()
        await self.answer(reply)

    async def watch(self, call: str, body: dict[str, Any]) -> None:
        """Stream a range's changes until the client disconnects.

        :raises ValueError: if the range is malformed
        """
        create = body.get("create_request", {})
        sent_revision = int(create.get("start_revision", "0")) - 1
        try:
            low, high = keyvalue.read_range(create)
        except (KeyError, TypeError) as err:
            raise ValueError(f"create_request: {err}") from err
        self.state.open_watches += 1
        try:
            await self._send({"result": {"created": True}})
            await self._apply_watch_fault()
            while not self.state.closing and not self.disconnected.is_set():
                events = keyvalue.list_events(
                    self.state.data, low, high, sent_revision
                )
                sent_revision = max(sent_revision, self.state.data.revision)
                if events:
                    await self._send({"result": {"events": events}})
                async with self.state.data_changed:
                    await self.state.data_changed.wait()
        finally:
            self.state.open_watches -= 1

    async def _apply_watch_fault(self) -> None:
        kind = self.fault["kind"] if self.fault is not None else "slow"
        if kind == "silent":
            await self.disconnected.wait()
        elif kind == "garbage":
            self.write(fault_handlers.GARBAGE + b"\n")
            await self.flush()
        elif kind != "slow":
            self.close_connection()
            self.disconnected.set()

    async def _send(self, message: object) -> None:
        self.write(msgspec.json.encode(message) + b"\n")
        await self.flush()

    def _send_error(self, status: int, code: int, message: str) -> None:
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
                (r"/faults", fault_handlers.FaultHandler, options),
            ]),
            address,
        )
        self.address = self._listener.address
        self._expiry = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """End all watches and stop the server."""
        self._expiry.cancel()
        self.state.closing = True
        await self.state.notify_watches()
        await self._listener.close()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            revision = self.state.data.revision
            self.state.data.expire_leases(time.monotonic())
            if self.state.data.revision != revision:
                await self.state.notify_watches()


_CALL_HANDLERS = {"watch": StoreHandler.watch}

__all__ = (
    "RateLimits",
    "StoreStandin",
    "StoreState",
)
