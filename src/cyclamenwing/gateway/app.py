"""Assemble, start and stop a gateway process."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import Any

import eliot

from cyclamenwing import tasks
from cyclamenwing.budget import restoration
from cyclamenwing.gateway import attempts
from cyclamenwing.gateway import blackboard
from cyclamenwing.gateway import calls
from cyclamenwing.gateway import clock
from cyclamenwing.gateway import cold_notices
from cyclamenwing.gateway import connections
from cyclamenwing.gateway import delivery
from cyclamenwing.gateway import eras
from cyclamenwing.gateway import explanation
from cyclamenwing.gateway import follower
from cyclamenwing.gateway import grants
from cyclamenwing.gateway import handler
from cyclamenwing.gateway import operator_calls
from cyclamenwing.gateway import peers
from cyclamenwing.gateway import poison_records
from cyclamenwing.gateway import poison_requests
from cyclamenwing.gateway import pools
from cyclamenwing.gateway import read_ahead
from cyclamenwing.gateway import reclaims
from cyclamenwing.gateway import registration
from cyclamenwing.gateway import relay
from cyclamenwing.gateway import release_loop
from cyclamenwing.gateway import releases
from cyclamenwing.gateway import reservations
from cyclamenwing.gateway import settings as gateway_settings
from cyclamenwing.gateway import stream_origins
from cyclamenwing.gateway import version_checks
from cyclamenwing.gateway import watches
from cyclamenwing.membership import delegates
from cyclamenwing.metrics import recorder
from cyclamenwing.routing import cold_limits
from cyclamenwing.routing import endpoints
from cyclamenwing.routing import evacuations
from cyclamenwing.routing import placement
from cyclamenwing.routing import rate_limits
from cyclamenwing.routing import retry_budget
from cyclamenwing.routing import versions
from cyclamenwing.store import errors as store_errors
from cyclamenwing.store import protocol
from cyclamenwing.transport import h1
from cyclamenwing.transport import h1_server
from cyclamenwing.transport import pooled_client

READY_PATH = b"/v1/ready"
IDLE_CHECK_INTERVAL_S = 1.0
# A draining gateway serves new requests and keeps idle client connections open
# this long: the load balancer removes a host only after two failed readiness
# checks, a second apart.
LOAD_BALANCER_DELAY_S = 2.6
# Time at the end of the shutdown grace that is reserved for answering the
# requests still in progress, returning holdings to the pools and stopping.
SHUTDOWN_MARGIN_S = 0.7
FINAL_ANSWERS_TIMEOUT_S = 0.1
RETURN_TIMEOUT_S = 0.4
# Part of it in which tokens that are on their way here may still arrive.
INCOMING_TIMEOUT_S = 0.2
DRAIN_POLL_INTERVAL_S = 0.05
FINAL_ANSWERS_POLL_INTERVAL_S = 0.005
MS_PER_S = 1000


class Gateway:
    """Hold the components of a gateway process and run them.

    :param store: client of the store on the platform
    :param codec: keys and decoders of what the gateway reads from the store
    :param dialect: translation of the platform's HTTP headers
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        store: protocol.TransactionStore,
        http: pooled_client.PooledClient,
        codec: follower.Codec,
        dialect: calls.Dialect,
    ) -> None:
        incarnation = f"{settings.host}-{secrets.token_hex(4)}"
        bounds = settings.bounds
        metrics = recorder.Recorder()
        self._settings = settings
        self.board = board = blackboard.Blackboard(
            settings=settings,
            incarnation=incarnation,
            escrow=restoration.EraEscrow(incarnation),
            placement=placement.Placement(settings.availability_zone),
            retry_budget=retry_budget.WindowedRetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            ),
            metrics=metrics,
            directory=endpoints.Directory(
                limits=rate_limits.RateLimits(
                    settings.host,
                    incarnation,
                    cold_limits.ColdLimits(
                        settings.host,
                        incarnation,
                        bounds.cold_over,
                        bounds.cold_slack,
                    ),
                ),
                evacuations=evacuations.Evacuations(
                    bounds.evacuate_ms / MS_PER_S
                ),
            ),
            eras=eras.EraTracker(metrics),
            roster=delegates.Roster(
                delegates.Member(
                    settings.host,
                    settings.control,
                    settings.availability_zone,
                    settings.limits.capacity,
                    int(time.time() * MS_PER_S),
                ),
                clock.read_time(),
            ),
            versions=versions.VersionHistory(clock.read_time()),
            # A pause between the two readings must not make peers seem behind.
            started_wall_s=time.time(),
            started_s=clock.read_time(),
        )
        self._configurations = follower.ConfigurationFollower(board, codec)
        self._endpoints = follower.EndpointFollower(board, codec)
        self._codec = codec
        poison_tracker = poison_requests.PoisonRequestTracker(board)
        self._peers = peers.Peers(
            board, http, self._configurations.adopt, poison_tracker
        )
        self._store = relay.RelayedStore(store, board, http)
        self._registration = registration.Registration(board, self._store)
        settled = self._registration.settled
        self._watched = watches.DelegatedStore(
            self._store, board, http, settled
        )
        self._pools = pools.PoolClient(board, self._store, settled)
        self._poison_records = [
            poison_records.PoisonRecordStore(
                board, self._store, settled, source
            )
            for source in (
                poison_records.PartRecords(board),
                poison_records.RequestRecords(board),
            )
        ]
        self._streams = stream_origins.StreamOrigins(
            board,
            http,
            version_checks.VersionCheck(
                board, self._store, self._endpoints, codec
            ).check,
        )
        self._releases = releases.PredecessorRelease(
            board, self._store, self._pools.request_draw
        )
        self._release_loop = release_loop.ReleaseLoop(
            board, self._pools, self._peers, self._releases
        )
        self._reclaims = reclaims.HoldingsReclaim(
            board, self._store, self._peers, self._pools
        )
        grant_client = grants.GrantClient(board, http)
        self._reservations = reservations.Reservations(
            board,
            self._pools,
            self._peers.request_tokens,
            grant_client.request_grant,
            grant_client.return_tokens,
            grant_client.ask_pledged,
        )
        self._peers.transfer_tokens = self._reservations.transfer_to_peer
        self._peers.handlers.update({
            relay.RELAY_PATH: self._store.answer_peer,
            watches.WATCH_PATH: self._watched.answer,
            stream_origins.NOTE_PATH: self._streams.answer_note,
            stream_origins.QUERY_PATH: self._streams.answer_query,
            grants.GRANT_PATH: self._reservations.answer_grant,
            grants.RETURN_PATH: self._reservations.answer_return,
            grants.PLEDGE_PATH: self._reservations.pledges.answer,
        })
        self._operator_calls = operator_calls.OperatorCalls(
            settings.operator_key_sha256,
            {
                explanation.EXPLAIN_PATH: explanation.PlacementExplainer(
                    board
                ).answer
            },
        )
        self._connections = connections.ConnectionPool()
        self._handler = handler.RequestHandler(
            board,
            dialect,
            self._reservations,
            poison_tracker,
            attempts.Attempts(
                board, dialect, self._peers, self._connections, poison_tracker
            ),
            self._streams,
            delivery.HeldAnswers(
                read_ahead.ReadAhead.from_config(settings.limits.memory_mb),
                metrics,
            ),
        )
        self._client_server = h1_server.Server(
            self._handler.handle, self._get_limits
        )
        self._ready_server = h1_server.Server(self._answer_ready, h1.Limits)
        self._control_server = h1_server.Server(
            self._answer_control, h1.Limits
        )
        self._metrics_server = h1_server.Server(
            self._answer_metrics, h1.Limits
        )
        self._servers = (
            self._client_server,
            self._ready_server,
            self._control_server,
            self._metrics_server,
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
        """Build a gateway and start it in the running event loop.

        :param make_store: called with an HTTP caller and the store's address
        """
        http = pooled_client.PooledClient()
        gateway = cls(
            settings, make_store(http, settings.store), http, codec, dialect
        )
        gateway.start()
        return gateway

    def start(self) -> None:
        """Bind all addresses and start the background tasks."""
        settings = self._settings
        self.address = self._client_server.bind_address(settings.listen)
        self._ready_server.bind_address(settings.ready)
        self._control_server.bind_address(settings.control)
        if settings.metrics:
            self._metrics_server.bind_address(settings.metrics)
        configuration_follower = self._follow(
            self._codec.configuration_prefix,
            self._configurations.load_snapshot,
            self._configurations.apply_change,
        )
        endpoint_follower = self._follow(
            self._codec.endpoints_prefix,
            self._endpoints.load_snapshot,
            self._endpoints.apply_change,
        )
        self._configurations.follower = configuration_follower
        self._endpoints.follower = endpoint_follower
        for run in (
            configuration_follower.run,
            endpoint_follower.run,
            self._registration.run,
            self._peers.run,
            self._store.probe,
            self._pools.run,
            self._reservations.run,
            *(records.run for records in self._poison_records),
            self._streams.run,
            self._release_loop.run,
            self._reclaims.run,
            self._close_idle_connections,
        ):
            self._tasks.append(tasks.start_loop(run))
        eliot.log_message(
            "gateway:started",
            host=settings.host,
            incarnation=self.board.incarnation,
            listen=self.address,
            wall=time.time(),
        )

    async def close(self) -> None:
        """Drain requests, return holdings to the pools, then stop.

        Draining ends once no request is active and the load balancer has
        had time to remove the host, at the latest shortly before the end of
        the shutdown grace. From then on no request begins, so that none is
        active when the connections close.
        """
        board = self.board
        started_s = clock.read_time()
        board.drain_started_s = started_s
        board.shutdown_deadline_s = (
            started_s + self._settings.bounds.grace_s - SHUTDOWN_MARGIN_S
        )
        eliot.log_message("gateway:leaving", active=board.active_requests)
        self._client_server.drain()
        await self._drain(started_s, board.shutdown_deadline_s)
        await self._end_requests()
        await self._return_holdings()
        cut = len(self._client_server.connections)
        self.stop()
        eliot.log_message(
            "gateway:stopped", active=board.active_requests, cut=cut
        )

    async def _drain(self, started_s: float, deadline_s: float) -> None:
        while (now_s := clock.read_time()) < deadline_s:
            if now_s - started_s >= LOAD_BALANCER_DELAY_S:
                self._client_server.close_idle()
                if (
                    not self.board.active_requests
                    and not self._client_server.count_active()
                ):
                    return
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    async def _end_requests(self) -> None:
        """Accept no more requests and answer those in progress."""
        self.board.admission_closed = True
        self._client_server.stop()
        eliot.log_message(
            "gateway:admission_closed",
            active=self.board.active_requests,
            connections=len(self._client_server.connections),
        )
        self._handler.interrupt()
        until_s = clock.read_time() + FINAL_ANSWERS_TIMEOUT_S
        while self._client_server.connections and clock.read_time() < until_s:
            self._client_server.close_idle()
            await asyncio.sleep(FINAL_ANSWERS_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Cancel all tasks and close all connections at once."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.stop()
            for connection in list(server.connections):
                connection.close()

    async def _return_holdings(self) -> None:
        try:
            async with asyncio.timeout(RETURN_TIMEOUT_S):
                await self._reservations.wait_for_incoming(INCOMING_TIMEOUT_S)
                self._reservations.pledges.end_all()
                await self._reservations.return_idle(0.0)
                if self.board.roster.acts_as_delegate:
                    await self._pools.return_holdings()
        except (store_errors.StoreError, TimeoutError) as err:
            eliot.log_message("funds:return_failed", reason=str(err))

    def _follow(
        self, prefix: str, load_snapshot: Any, apply_change: Any
    ) -> follower.Follower:
        return follower.Follower(
            self._watched, self.board, prefix, load_snapshot, apply_change
        )

    def _get_limits(self) -> h1.Limits:
        config = self.board.configuration
        return config.limits if config else h1.Limits()

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
            self._connections.close_expired()
            cold_notices.report_warm(self.board)
            directory = self.board.directory
            directory.limits.trim(directory.registered, clock.read_time())

    async def _answer_control(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        if request.target.decode("latin-1") in self._operator_calls.handlers:
            await self._operator_calls.handle(connection, request)
        else:
            await self._peers.handle(connection, request)

    async def _answer_ready(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        ready = self.board.ready and request.target == READY_PATH
        await connection.respond(200 if ready else 503, (), b"")

    async def _answer_metrics(
        self, connection: h1.ServerConnection, request: h1.Request
    ) -> None:
        # Imported at the first scrape to save memory: hosts are small and may
        # have no metrics scraper.
        from cyclamenwing.metrics import exposition  # noqa: PLC0415

        body = exposition.render_metrics(self.board.metrics)
        kind = exposition.CONTENT_TYPE.encode()
        await connection.respond(200, ((b"Content-Type", kind),), body)


__all__ = ("Gateway",)
