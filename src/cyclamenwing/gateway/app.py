"""Wiring and life of a gateway process."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Coroutine
from typing import Any

import eliot

from cyclamenwing.budget import escrow
from cyclamenwing.gateway import attempts
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import connections
from cyclamenwing.gateway import exchange
from cyclamenwing.gateway import follower
from cyclamenwing.gateway import funds
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import relay
from cyclamenwing.gateway import settings as gateway_settings
from cyclamenwing.gateway import succession
from cyclamenwing.gateway import suspects
from cyclamenwing.metrics import recorder
from cyclamenwing.routing import allowance
from cyclamenwing.routing import placement
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import caller
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1server

READY_PATH = b"/v1/ready"
SWEEP_INTERVAL_S = 1.0
# The balancer takes a host out after two misses, a second apart.
ROTATION_S = 2.6
# Left of the grace for returning budgets and ending the process.
END_MARGIN_S = 0.7
RELEASE_TIMEOUT_S = 0.4
POLL_S = 0.05
# An earlier process's holdings are looked after for this long.
SUCCESSION_S = 12.0
SUCCESSION_PAUSE_S = 0.05


class Gateway:
    """Run a gateway until it is told to leave."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        store: protocol.TransactionStore,
        http: caller.Caller,
        codec: follower.Codec,
        dialect: calls.Dialect,
    ) -> None:
        incarnation = f"{settings.host}-{secrets.token_hex(4)}"
        bounds = settings.bounds
        self._settings = settings
        self.board = board = blackboard.Blackboard(
            settings=settings,
            incarnation=incarnation,
            escrow=escrow.Escrow(incarnation),
            placement=placement.Placement(settings.availability_zone),
            allowance=allowance.RetryAllowance(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            ),
            metrics=recorder.Recorder(),
            began_s=clock.read_time(),
        )
        self._configurations = follower.ConfigurationFollower(board, codec)
        self._endpoints = follower.EndpointFollower(board, codec)
        self._codec = codec
        found = suspects.Suspects(board)
        self._peers = peers.Peers(
            board, http, self._configurations.adopt, found
        )
        self._store = relay.RelayedStore(store, board, http)
        self._peers.relayed = self._store
        self._pools = pools.Pools(board, self._store)
        self._funds = funds.Funds(board, self._pools, self._peers.ask_tokens)
        self._peers.give_tokens = self._funds.give
        self._connections = connections.Connections()
        self._exchange = exchange.Exchange(
            board,
            dialect,
            self._funds,
            found,
            attempts.Attempts(
                board, dialect, self._peers, self._connections, found
            ),
        )
        self._front = h1server.Server(self._exchange.handle, self._limits)
        self._ready = h1server.Server(self._answer_ready, h1.Limits)
        self._control = h1server.Server(self._peers.handle, h1.Limits)
        self._metrics = h1server.Server(self._answer_metrics, h1.Limits)
        self._servers = (
            self._front,
            self._ready,
            self._control,
            self._metrics,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self.address = settings.listen

    @classmethod
    def from_config(
        cls,
        settings: gateway_settings.GatewaySettings,
        make_store: Any,
        codec: follower.Codec,
        dialect: calls.Dialect,
    ) -> Gateway:
        """Build a gateway and start it in the running loop."""
        http = caller.Caller()
        made = cls(
            settings, make_store(http, settings.store), http, codec, dialect
        )
        made.start()
        return made

    def start(self) -> None:
        """Bind all addresses and start the background work."""
        settings = self._settings
        self.address = self._front.bind_address(settings.listen)
        self._ready.bind_address(settings.ready)
        self._control.bind_address(settings.control)
        if settings.metrics:
            self._metrics.bind_address(settings.metrics)
        configurations = self._follow(
            self._codec.configuration_prefix,
            self._configurations.accept,
            self._configurations.apply,
        )
        servers = self._follow(
            self._codec.endpoints_prefix,
            self._endpoints.accept,
            self._endpoints.apply,
        )
        self._endpoints.follower = servers
        for work in (
            configurations.run(),
            servers.run(),
            self._peers.register(self._store),
            self._peers.run(),
            self._store.probe(),
            self._pools.run(),
            self._succeed(),
            self._sweep(),
        ):
            self._start_task(work)
        eliot.log_message(
            "gateway:started",
            host=settings.host,
            incarnation=self.board.incarnation,
            listen=self.address,
            wall=time.time(),
        )

    async def close(self) -> None:
        """Leave: finish the work in progress, return budgets, end."""
        board = self.board
        started_s = clock.read_time()
        board.leaving_s = started_s
        board.ends_s = started_s + self._settings.bounds.grace_s - END_MARGIN_S
        eliot.log_message("gateway:leaving", active=board.active)
        self._front.drain()
        while True:
            await asyncio.sleep(POLL_S)
            now_s = clock.read_time()
            if now_s >= board.ends_s:
                break
            if now_s - started_s >= ROTATION_S:
                self._front.close_idle()
                if not board.active and not self._front.count_busy():
                    break
        await self._release()
        self.stop()
        eliot.log_message("gateway:stopped", active=board.active)

    def stop(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.stop()
            for connection in list(server.connections):
                connection.close()

    async def _succeed(self) -> None:
        """Free what the host's earlier processes left, by proof of age."""
        until_s = clock.read_time() + SUCCESSION_S
        while clock.read_time() < until_s:
            await asyncio.sleep(SUCCESSION_PAUSE_S)
            for dead in list(self.board.predecessors):
                await self._close_predecessor(dead)
        for dead in self.board.predecessors:
            eliot.log_message("funds:predecessor_kept", holder=dead.holder)

    async def _close_predecessor(self, dead: succession.Predecessor) -> None:
        statements = []
        if (
            dead.boot_elapsed_s is None
            or dead.boot_elapsed_s > escrow.OUTAGE_AGE_S
        ):
            statements = await self._peers.ask_statements(dead.holder)
        age = succession.bound_age(dead, len(self.board.members), statements)
        if age is None:
            return
        try:
            await self._pools.close_predecessor(dead, age)
        except store_errors.StoreError as err:
            eliot.log_message("funds:close_failed", code=err.code)

    async def _release(self) -> None:
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._pools.release()
        except (store_errors.StoreError, TimeoutError) as err:
            eliot.log_message("funds:release_failed", reason=str(err))

    def _follow(
        self, prefix: str, accept: Any, apply: Any
    ) -> follower.Follower:
        return follower.Follower(
            self._store, self.board, prefix, accept, apply
        )

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        task.add_done_callback(_report_end)
        self._tasks.append(task)

    def _limits(self) -> h1.Limits:
        known = self.board.configuration
        return known.limits if known else h1.Limits()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._connections.sweep()

    async def _answer_ready(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        ready = self.board.ready and request.target == READY_PATH
        await connection.respond(200 if ready else 503, (), b"")

    async def _answer_metrics(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        # Loaded at the first scrape: hosts are small and may have none.
        from cyclamenwing.metrics import exposition  # noqa: PLC0415

        body = exposition.render_metrics(self.board.metrics)
        kind = exposition.CONTENT_TYPE.encode()
        await connection.respond(200, ((b"Content-Type", kind),), body)


def _report_end(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    err = task.exception()
    if err is not None:
        eliot.log_message("gateway:task_failed", reason=repr(err))
        raise err


__all__ = ("Gateway",)
