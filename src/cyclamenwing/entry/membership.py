"""Heartbeats and gossip of an entry."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import time
from collections.abc import Callable
from typing import Any
from typing import Protocol

import eliot

from cyclamenwing import tasks
from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import fleet_handlers
from cyclamenwing.entry import fleet_view
from cyclamenwing.membership import errors
from cyclamenwing.membership import gossip_sources
from cyclamenwing.membership import host_list
from cyclamenwing.membership import topology
from cyclamenwing.membership import types
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport
from cyclamenwing.transport import server

HEARTBEAT_TIMEOUT_S = 1.0
SYNC_TIMEOUT_S = 2.0
MIN_HEARTBEAT_GAP_S = 0.02


class CatalogFollower(Protocol):
    """Follow the catalog revisions that heartbeats announce."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a listener to call after each adoption."""

    def find_confirmation_age_s(self) -> float | None:
        """Return the time since the revision was last confirmed as current."""

    def record_peer(
        self, address: str, revision: int, age_s: float | None
    ) -> None:
        """Record a peer's revision."""

    def make_rules(self, route: str) -> catalog_types.SidecarRules:
        """Return the rules that the sidecars of a route need."""


class HeartbeatHandler(server.PeerHandler):
    """Serve ``POST /peer/heartbeat``."""

    def initialize(self, membership: Membership) -> None:
        """Store the membership service."""
        self._membership = membership

    async def post(self) -> None:
        """Apply a heartbeat and reply with this entry's state."""
        beat = self.decode_body(types.Heartbeat)
        self.write_json(self._membership.receive(beat))


class Membership:
    """Send heartbeats to other entries and receive those of all members.

    :param board: the entry's state
    :param client: HTTP client
    :param entries: peer addresses of entries, which may include this one
    :param find_address: returns this entry's peer address once it is bound
    :param sources: components that gossip with heartbeats
    :param follower: follows the catalog
    :param hosts: ``ip:port`` of the platform's host list, if it has one
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        client: transport.Client,
        entries: list[str],
        find_address: Callable[[], str],
        sources: list[gossip_sources.GossipSource],
        follower: CatalogFollower,
        hosts: str | None = None,
    ) -> None:
        self._board = board
        self._client = client
        self._find_address = find_address
        self._sources = sources
        self._follower = follower
        self._hosts = hosts
        self._fleet_view = fleet_view.FleetView(board, entries, find_address)
        self._sequence = 0
        self._sent_session = board.session
        self._round = 0
        self._wake_event = asyncio.Event()
        self._sending: dict[str, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        follower.add_listener(self.wake)

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        fleet_options = {
            "board": self._board,
            "find_address": self._find_address,
        }
        return [
            (r"/peer/heartbeat", HeartbeatHandler, {"membership": self}),
            (
                r"/peer/members",
                fleet_handlers.SyncHandler,
                {"gathered": self._fleet_view},
            ),
            (r"/peer/fleet", fleet_handlers.FleetHandler, fleet_options),
        ]

    def start(self) -> None:
        """Start sending heartbeats."""
        self._tasks.append(tasks.start_loop(self._run))
        self._tasks.append(tasks.start_loop(self._sync))
        if self._hosts is not None:
            self._tasks.append(tasks.start_loop(self._poll_hosts, self._hosts))

    async def close(self) -> None:
        """Announce that this entry is leaving, then stop heartbeats."""
        for task in self._tasks:
            task.cancel()
        self._send_heartbeats()
        pending = list(self._sending.values())
        if pending:
            await asyncio.wait(pending, timeout=HEARTBEAT_TIMEOUT_S)
        for task in pending:
            task.cancel()

    def wake(self) -> None:
        """Send the next heartbeats without waiting for the interval."""
        self._wake_event.set()

    def receive(self, beat: types.Heartbeat) -> types.HeartbeatReply:
        """Apply a heartbeat and return the reply."""
        if self._fleet_view.receive_heartbeat(beat, time.monotonic()):
            self.wake()
        gossip_sources.deliver_gossip(self._sources, beat, beat["news"])
        reply: types.HeartbeatReply = {
            "host": self._board.host,
            "revision": self._board.catalog.revision,
            "news": gossip_sources.collect_gossip(self._sources),
        }
        if beat["role"] == "entry":
            self._answer_entry(beat, reply)
        else:
            self._answer_sidecar(beat, reply)
        return reply

    def _answer_entry(
        self, beat: types.Heartbeat, reply: types.HeartbeatReply
    ) -> None:
        age_s = self._follower.find_confirmation_age_s()
        if age_s is not None:
            reply["confirmed_age_s"] = age_s
        reply["reports"] = self._fleet_view.pick_reports()
        self._follower.record_peer(
            beat["address"], beat["revision"], beat.get("confirmed_age_s")
        )

    def _answer_sidecar(
        self, beat: types.Heartbeat, reply: types.HeartbeatReply
    ) -> None:
        if beat["revision"] < self._board.catalog.revision:
            reply["rules"] = self._follower.make_rules(beat["route"])
        locations = self._fleet_view.list_entry_locations()
        digest = topology.digest_directory(locations)
        if beat.get("directory", digest) != digest:
            reply["directory"] = locations

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(MIN_HEARTBEAT_GAP_S)
            self._wake_event.clear()
            self._fleet_view.suspect_silent(time.monotonic())
            self._send_heartbeats()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._fleet_view.find_interval_s()):
                    await self._wake_event.wait()

    def _send_heartbeats(self) -> None:
        self._round += 1
        targets = self._fleet_view.list_targets(self._round, time.monotonic())
        beat = self._make_heartbeat()
        for address in targets:
            # A peer that is slow to answer must not delay other peers.
            if address not in self._sending:
                task = asyncio.create_task(self._send(address, beat))
                self._sending[address] = task
                task.add_done_callback(
                    functools.partial(self._discard_task, address)
                )

    def _discard_task(self, address: str, _task: asyncio.Task[None]) -> None:
        self._sending.pop(address, None)

    async def _send(self, peer: str, beat: types.Heartbeat) -> None:
        try:
            reply = await self._client.call(
                f"http://{peer}/peer/heartbeat",
                beat,
                types.HeartbeatReply,
                HEARTBEAT_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message(
                "entry:heartbeat_failed", peer=peer, code=err.code
            )
            if self._fleet_view.record_failure(peer):
                self.wake()
            return
        self._fleet_view.record_success(peer)
        self._follower.record_peer(
            peer, reply["revision"], reply.get("confirmed_age_s")
        )
        self._fleet_view.receive_reports(
            reply.get("reports", []), time.monotonic()
        )
        gossip_sources.deliver_gossip(self._sources, None, reply["news"])

    async def _sync(self) -> None:
        while True:
            pause_s = self._fleet_view.find_sync_interval_s()
            for peer in self._fleet_view.list_sync_peers(self._round):
                if await self._sync_with(peer):
                    break
            await asyncio.sleep(pause_s)

    async def _sync_with(self, peer: str) -> bool:
        request: types.SyncRequest = {"digest": self._fleet_view.digest()}
        try:
            reply = await self._client.call(
                f"http://{peer}/peer/members",
                request,
                types.SyncReply,
                SYNC_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message("entry:sync_failed", peer=peer, code=err.code)
            return False
        self._fleet_view.receive_reports(reply["reports"], time.monotonic())
        return True

    async def _poll_hosts(self, address: str) -> None:
        while True:
            try:
                hosts = await host_list.read_hosts(self._client, address)
            except errors.HostListError as err:
                eliot.log_message("entry:hosts", code=err.code)
            else:
                self._fleet_view.adopt_hosts(hosts)
            await asyncio.sleep(self._fleet_view.find_poll_interval_s())

    def _make_heartbeat(self) -> types.Heartbeat:
        if self._sent_session != self._board.session:
            # Sequence numbers start again with each incarnation, and a
            # renewed session is a new incarnation.
            self._sent_session = self._board.session
            self._sequence = 0
        self._sequence += 1
        beat: types.Heartbeat = {
            "host": self._board.host,
            "role": "entry",
            "zone": self._board.zone,
            "address": self._find_address(),
            "incarnation": self._board.session,
            "route": "",
            "leaving": self._board.leaving,
            "revision": self._board.catalog.revision,
            "load": self._board.in_progress,
            "news": gossip_sources.collect_gossip(self._sources),
            "sequence": self._sequence,
            "interval_s": self._fleet_view.find_interval_s(),
            "reports": self._fleet_view.pick_reports(),
        }
        age_s = self._follower.find_confirmation_age_s()
        if age_s is not None:
            beat["confirmed_age_s"] = age_s
        return beat


__all__ = (
    "CatalogFollower",
    "HeartbeatHandler",
    "Membership",
)
