"""Heartbeats of an entry."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import time
from collections.abc import Callable
from typing import Any
from typing import Protocol

import eliot

from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.entry import blackboard
from cyclamenwing.entry import gathering
from cyclamenwing.entry import views
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
MIN_PAUSE_S = 0.02


class Follower(Protocol):
    """Follow the configuration with what heartbeats say of it."""

    def listen(self, listener: Callable[[], None]) -> None:
        """Call a listener after each adoption."""

    def find_age_s(self) -> float | None:
        """Return the age of the revision's confirmation."""

    def note_peer(
        self, address: str, revision: int, age_s: float | None
    ) -> None:
        """Take note of a peer's revision."""

    def make_rules(self, route: str) -> catalog_types.SidecarRules:
        """Return what the sidecars of a route need."""


class HeartbeatHandler(server.PeerHandler):
    """Serve ``POST /peer/heartbeat``."""

    def initialize(self, membership: Membership) -> None:
        """Take the part that hears heartbeats."""
        self._membership = membership

    async def post(self) -> None:
        """Take over a heartbeat and answer with the own state."""
        beat = self.decode_body(types.Heartbeat)
        self.write_json(self._membership.receive(beat))


class Membership:
    """Send heartbeats to other entries and hear those of all.

    :param board: the entry's state
    :param client: HTTP client
    :param entries: peer addresses of entries, the own one among them
    :param find_address: returns the own peer address once it is bound
    :param sources: concerns that add to heartbeats
    :param follower: follows the configuration
    :param hosts: ``ip:port`` of the platform's host list, if there is one
    """

    def __init__(
        self,
        board: blackboard.EntryBoard,
        client: transport.Client,
        entries: list[str],
        find_address: Callable[[], str],
        sources: list[gossip_sources.GossipSource],
        follower: Follower,
        hosts: str | None = None,
    ) -> None:
        self._board = board
        self._client = client
        self._find_address = find_address
        self._sources = sources
        self._follower = follower
        self._hosts = hosts
        self._gathered = gathering.Gathering(board, entries, find_address)
        self._sequence = 0
        self._told_as = board.session
        self._round = 0
        self._woken = asyncio.Event()
        self._sending: dict[str, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        follower.listen(self.wake)

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
                views.SyncHandler,
                {"gathered": self._gathered},
            ),
            (r"/peer/fleet", views.FleetHandler, fleet_options),
        ]

    def start(self) -> None:
        """Start sending heartbeats."""
        self._tasks.append(asyncio.create_task(self._run()))
        self._tasks.append(asyncio.create_task(self._sync()))
        if self._hosts is not None:
            poll = self._poll_hosts(self._hosts)
            self._tasks.append(asyncio.create_task(poll))

    async def close(self) -> None:
        """Tell others of leaving, then stop sending heartbeats."""
        for task in self._tasks:
            task.cancel()
        self._beat_all()
        pending = list(self._sending.values())
        if pending:
            await asyncio.wait(pending, timeout=HEARTBEAT_TIMEOUT_S)
        for task in pending:
            task.cancel()

    def wake(self) -> None:
        """Send the next heartbeats at once."""
        self._woken.set()

    def receive(self, beat: types.Heartbeat) -> types.HeartbeatReply:
        """Take over a heartbeat and return the reply."""
        if self._gathered.receive(beat, time.monotonic()):
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
        age_s = self._follower.find_age_s()
        if age_s is not None:
            reply["confirmed_age_s"] = age_s
        reply["reports"] = self._gathered.pick_reports()
        self._follower.note_peer(
            beat["address"], beat["revision"], beat.get("confirmed_age_s")
        )

    def _answer_sidecar(
        self, beat: types.Heartbeat, reply: types.HeartbeatReply
    ) -> None:
        if beat["revision"] < self._board.catalog.revision:
            reply["rules"] = self._follower.make_rules(beat["route"])
        places = self._gathered.list_places()
        known = topology.digest_directory(places)
        if beat.get("directory", known) != known:
            reply["directory"] = places

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(MIN_PAUSE_S)
            self._woken.clear()
            self._gathered.suspect_silent(time.monotonic())
            self._beat_all()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._gathered.find_interval_s()):
                    await self._woken.wait()

    def _beat_all(self) -> None:
        self._round += 1
        targets = self._gathered.list_targets(self._round, time.monotonic())
        beat = self._make_beat()
        for address in targets:
            # A peer that is slow to answer must not delay the others.
            if address not in self._sending:
                task = asyncio.create_task(self._send(address, beat))
                self._sending[address] = task
                task.add_done_callback(
                    functools.partial(self._forget, address)
                )

    def _forget(self, address: str, _task: asyncio.Task[None]) -> None:
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
            eliot.log_message("entry:heartbeat", peer=peer, code=err.code)
            if self._gathered.record_failure(peer):
                self.wake()
            return
        self._gathered.record_success(peer)
        self._follower.note_peer(
            peer, reply["revision"], reply.get("confirmed_age_s")
        )
        self._gathered.hear_reports(reply.get("reports", []), time.monotonic())
        gossip_sources.deliver_gossip(self._sources, None, reply["news"])

    async def _sync(self) -> None:
        while True:
            pause_s = self._gathered.find_sync_s()
            for peer in self._gathered.list_sync_peers(self._round):
                if await self._sync_with(peer):
                    break
            await asyncio.sleep(pause_s)

    async def _sync_with(self, peer: str) -> bool:
        request: types.SyncRequest = {"digest": self._gathered.digest()}
        try:
            reply = await self._client.call(
                f"http://{peer}/peer/members",
                request,
                types.SyncReply,
                SYNC_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message("entry:sync", peer=peer, code=err.code)
            return False
        self._gathered.hear_reports(reply["reports"], time.monotonic())
        return True

    async def _poll_hosts(self, address: str) -> None:
        while True:
            try:
                hosts = await host_list.read_hosts(self._client, address)
            except errors.HostListError as err:
                eliot.log_message("entry:hosts", code=err.code)
            else:
                self._gathered.adopt_hosts(hosts)
            await asyncio.sleep(self._gathered.find_poll_s())

    def _make_beat(self) -> types.Heartbeat:
        if self._told_as != self._board.session:
            # A renewed session counts as another incarnation.
            self._told_as = self._board.session
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
            "interval_s": self._gathered.find_interval_s(),
            "reports": self._gathered.pick_reports(),
        }
        age_s = self._follower.find_age_s()
        if age_s is not None:
            beat["confirmed_age_s"] = age_s
        return beat


__all__ = (
    "Follower",
    "HeartbeatHandler",
    "Membership",
)
