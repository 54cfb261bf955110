"""Heartbeats of a sidecar."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any
from typing import Protocol

import eliot

from cyclamenwing.catalog import types as catalog_types
from cyclamenwing.membership import errors
from cyclamenwing.membership import gossip_sources
from cyclamenwing.membership import host_list
from cyclamenwing.membership import topology
from cyclamenwing.membership import types
from cyclamenwing.sidecar import blackboard
from cyclamenwing.sidecar import reporting
from cyclamenwing.transport import errors as transport_errors
from cyclamenwing.transport import protocol as transport

HEARTBEAT_TIMEOUT_S = 1.0
MIN_PAUSE_S = 0.02


class Follower(Protocol):
    """Take over the rules that entries send."""

    def adopt(self, rules: catalog_types.SidecarRules) -> bool:
        """Take over rules; False if they are not of a higher revision."""


class Membership:
    """Report a sidecar to entries.

    :param board: the sidecar's state
    :param client: HTTP client
    :param entries: peer addresses of entries
    :param find_address: returns the own address once it is bound
    :param sources: concerns that add to heartbeats
    :param follower: follows the configuration
    :param hosts: ``ip:port`` of the platform's host list, if there is one
    """

    def __init__(
        self,
        board: blackboard.SidecarBoard,
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
        self._reporting = reporting.ReportingBoard(entries)
        self._controller = reporting.ReportingController(
            board.host, board.zone
        )
        self._sequence = 0
        self._woken = asyncio.Event()
        self._sending: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    def list_handlers(self) -> list[Any]:
        """Return handlers for other processes, by path."""
        return []

    def start(self) -> None:
        """Start sending heartbeats."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending heartbeats."""
        for task in (self._task, *self._tasks):
            if task is not None:
                task.cancel()

    async def announce(self) -> None:
        """Send a heartbeat to all reporters and wait for the replies."""
        beat = self._make_beat()
        targets = self._controller.list_targets(self._reporting)
        await asyncio.gather(*(self._send(peer, beat) for peer in targets))

    def wake(self) -> None:
        """Send the next heartbeats at once."""
        self._woken.set()

    async def _run(self) -> None:
        while True:
            self._woken.clear()
            await self._find_entries()
            self._beat_all()
            await asyncio.sleep(MIN_PAUSE_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._find_interval_s()):
                    await self._woken.wait()

    def _beat_all(self) -> None:
        beat = self._make_beat()
        for peer in self._controller.list_targets(self._reporting):
            # An entry that is slow to answer must not delay the others.
            if peer not in self._sending:
                task = asyncio.create_task(self._send(peer, beat))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _find_entries(self) -> None:
        if self._hosts is None or not self._reporting.is_lost():
            return
        try:
            hosts = await host_list.read_hosts(self._client, self._hosts)
        except errors.HostListError as err:
            eliot.log_message("sidecar:hosts", code=err.code)
            return
        self._controller.adopt_hosts(self._reporting, hosts)

    async def _send(self, entry: str, beat: types.Heartbeat) -> None:
        self._sending.add(entry)
        beat = {
            **beat,
            "directory": self._controller.digest_directory(
                self._reporting, entry
            ),
        }
        try:
            reply = await self._client.call(
                f"http://{entry}/peer/heartbeat",
                beat,
                types.HeartbeatReply,
                HEARTBEAT_TIMEOUT_S,
            )
        except transport_errors.TransportError as err:
            eliot.log_message("sidecar:heartbeat", entry=entry, code=err.code)
            if self._controller.record_failure(self._reporting, entry):
                self.wake()
            return
        finally:
            self._sending.discard(entry)
        self._take_reply(entry, reply)

    def _take_reply(self, entry: str, reply: types.HeartbeatReply) -> None:
        self._controller.record_success(self._reporting, entry)
        rules = reply.get("rules")
        if rules is not None and self._follower.adopt(rules):
            # Operators who wait for this revision see it soon.
            self.wake()
        places = reply.get("directory")
        if places is not None:
            self._controller.adopt_places(self._reporting, entry, places)
            self.wake()
        gossip_sources.deliver_gossip(self._sources, None, reply["news"])

    def _find_interval_s(self) -> float:
        return topology.get_heartbeat_interval_s(len(self._reporting.places))

    def _make_beat(self) -> types.Heartbeat:
        self._sequence += 1
        return {
            "host": self._board.host,
            "role": "sidecar",
            "zone": self._board.zone,
            "address": self._find_address(),
            "incarnation": self._board.incarnation,
            "route": self._board.route,
            "leaving": self._board.runs.draining,
            "revision": self._board.revision,
            "load": self._board.running,
            "news": gossip_sources.collect_gossip(self._sources),
            "sequence": self._sequence,
            "interval_s": self._find_interval_s(),
        }


__all__ = (
    "Follower",
    "Membership",
)
